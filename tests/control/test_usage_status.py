"""What `gateway status` prints of usage."""

from kestrelplank.control.usage_status import UsageStatus
from kestrelplank.gateway.status import print_usage


def test_the_status_says_what_is_reported_and_how_late_the_oldest_report_is(capsys):
    print_usage(UsageStatus(360000009, 360000007, 2, 1.5, 52, 1.8e9, 3, 0))
    assert capsys.readouterr().out == (
        "usage: fixed through window 360000009, reported through 360000007, 2 unreported, the oldest due for 1.5 s; "
        "52 edges, 3 late counts\n"
    )
