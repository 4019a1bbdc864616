"""Guards the script of a soak: a seed reproduces it, and it keeps enough machines up."""

import pytest

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.rehearsal.soak_script import FaultKind, SoakForm, draw_script

FORM = SoakForm(minutes=3, members=5, edges=4)
SEEDS = range(1, 6)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_seed_reproduces_the_script_and_another_seed_does_not(seed):
    assert draw_script(seed, FORM) == draw_script(seed, FORM)
    assert draw_script(seed, FORM).faults != draw_script(seed + 1, FORM).faults


def test_the_scripts_hold_every_kind_of_fault():
    kinds = {fault.kind for seed in SEEDS for fault in draw_script(seed, FORM).faults}
    assert kinds == set(FaultKind)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_majority_of_members_and_one_edge_stay_up_while_faults_strike(seed):
    faults = [fault for fault in draw_script(seed, FORM).faults if fault.kind in (FaultKind.KILL, FaultKind.FREEZE)]
    for names, limit in ((FORM.member_names, 2), (FORM.edge_names, 3)):
        for fault in faults:
            down = {f.target for f in faults if f.target in names and f.at_s <= fault.at_s < f.at_s + f.duration_s}
            assert len(down) <= limit


def test_valid_configurations_are_valid_and_invalid_ones_are_not():
    planned = [configuration for seed in SEEDS for configuration in draw_script(seed, FORM).configurations]
    assert {configuration.defect is None for configuration in planned} == {True, False}
    for configuration in planned:
        parsed = parse_configuration(configuration.text())
        assert (parsed.value_or(None) is not None) == (configuration.defect is None), configuration.change
