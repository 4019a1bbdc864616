"""Guards the rules of a complete gateway under overlapping signals, restarts and changes, on connections that stay open."""

import pytest

from kestrelplank.rehearsal.soak import play
from kestrelplank.rehearsal.soak_script import SoakForm

SEED = 39
FORM = SoakForm(minutes=0.7, load_per_s=40)


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
