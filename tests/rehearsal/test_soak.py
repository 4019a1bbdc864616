"""Guards the rules of a complete gateway under overlapping signals, restarts and changes, on connections that stay open."""

import pytest

from kestrelplank.rehearsal.soak import play
from kestrelplank.rehearsal.soak_script import SoakForm

SEED, REFUSALS_SEED = 39, 84
FORM = SoakForm(minutes=0.7, load_per_s=40)
REFUSAL_RULES = {"MIXED", "UNASKED", "TWICE", "REFUSED", "ROUTE", "OWNER"}


@pytest.mark.starts_early
def test_a_soak_breaks_no_rule():
    report = play(SEED, FORM)
    assert report.violations == []
    assert report.left_behind == []
    assert {"SIGTERM", "SIGKILL", "configure", "resend", "replace_server"} <= report.played.keys()
    always_checked = (
        "MIXED",
        "UNASKED",
        "TWICE",
        "ROUTE",
        "LOST",
        "CONFIG",
        "CONFIG (back)",
        "CONFIG (read)",
        "DENIED",
    )
    assert [rule for rule in always_checked if report.checked[rule] == 0] == []
    assert report.served > 0.25 * report.requests  # a low bound, as the count depends on the load of the machine


# Guards against requests that are answered as refused and run: servers send copies of refusals, and refuse what they ran.
@pytest.mark.starts_early
def test_a_soak_runs_nothing_that_was_refused():
    report = play(REFUSALS_SEED, FORM)
    assert [violation for violation in report.violations if violation.rule in REFUSAL_RULES] == []
    assert report.refusals["run"] > 0 and report.refusals["copies"] > 0
