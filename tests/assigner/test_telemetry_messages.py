import pytest
from assigner_parties import HEAT, REPORT
from parties import sample_ids

from kestrelplank.assigner.telemetry_messages import read_report
from kestrelplank.decode import MalformedError
from kestrelplank.interface import (
    NodeReport,
    SliceReport,
)


def test_a_report_becomes_an_event_in_our_units():
    assert read_report(list(REPORT), sample_ids(), 9, 0) == NodeReport(
        0,
        0,
        9.0,
        3.0,
        41_500_000,
        1_000_000_000,
        {"in_flight": 7.0, "utilization": 0.5},
    )
    assert read_report(list(HEAT), sample_ids(), 9, 0) == SliceReport(8, 0, 4.0, 1.0, 500_000_000)
    aborted_earlier = read_report([*HEAT[:8], b"5", *HEAT[9:]], sample_ids(), 9, 0)
    assert (aborted_earlier.ops, aborted_earlier.aborted) == (4.0, 5.0)  # of those that came earlier
    assert read_report([*REPORT[:7], b"errors", b"9", *REPORT[11:13]], sample_ids(), 9, 0).mean_latency_ns is None


@pytest.mark.parametrize(
    "message, place, value",
    [
        (REPORT, 2, b"mars"),
        (REPORT, 2, b"b"),
        (REPORT, 4, b"s-9"),
        (REPORT, 6, b"nan"),
        (REPORT, 6, b"-1"),
        (REPORT, 6, b"38654705664"),
        (REPORT, 6, b"1_0"),
        (REPORT, 6, b" 9"),
        (REPORT, 6, b"2"),
        (REPORT, 8, b"inf"),
        (REPORT, 8, b"10"),
        (REPORT, 9, b"rt"),
        (REPORT, 10, b"soon"),
        (REPORT, 10, b"-41"),
        (REPORT, 10, b"1e30"),
        (REPORT, 12, b"1e999"),
        (REPORT, 12, b"0"),
        (REPORT, 12, b"-5"),
        (REPORT, 11, b"total"),
        (REPORT, 5, b"sum"),
        (REPORT, 2, b"\xff"),
        (REPORT, 0, b"downstream"),
        (REPORT, 14, b"util:1e30"),
        (REPORT, 14, b"util:-1"),
        (REPORT, 14, b"util"),
        (REPORT, 14, b"util:0.5:1"),
        (HEAT, 2, b"9"),
        (HEAT, 2, b"-1"),
        (HEAT, 2, b"1_0"),
        (HEAT, 2, b""),
        (HEAT, 2, b"9" * 5000),
        (HEAT, 4, b"sing"),
        (HEAT, 6, b"-1"),
        (HEAT, 8, b"1e30"),
        (HEAT, 10, b"0"),
        (HEAT, 9, b"route"),
    ],
)
def test_a_report_that_cannot_be_used_is_skipped(message, place, value):
    message = list(message)
    message[place] = value
    ids = sample_ids()
    ids.zone("b")
    with pytest.raises(MalformedError):
        read_report(message, ids, 9, 0)
