import pytest
from assigner_parties import NODE_REPORT, SLICE_REPORT
from parties import sample_ids

from kestrelplank.assigner.telemetry_messages import read_report
from kestrelplank.decode import MalformedError
from kestrelplank.interface import (
    NodeReport,
    SliceReport,
)


def test_report_becomes_an_event_in_internal_units():
    assert read_report(list(NODE_REPORT), sample_ids(), 9, 0) == NodeReport(
        0,
        0,
        9.0,
        3.0,
        41_500_000,
        1_000_000_000,
        {"in_flight": 7.0, "utilization": 0.5},
    )
    assert read_report(list(SLICE_REPORT), sample_ids(), 9, 0) == SliceReport(8, 0, 4.0, 1.0, 500_000_000)
    aborted_earlier = read_report([*SLICE_REPORT[:8], b"5", *SLICE_REPORT[9:]], sample_ids(), 9, 0)
    assert (aborted_earlier.ops, aborted_earlier.aborted) == (4.0, 5.0)  # ops of earlier windows may abort in this one
    assert (
        read_report([*NODE_REPORT[:7], b"errors", b"9", *NODE_REPORT[11:13]], sample_ids(), 9, 0).mean_latency_ns
        is None
    )


@pytest.mark.parametrize(
    "message, position, value",
    [
        (NODE_REPORT, 2, b"mars"),
        (NODE_REPORT, 2, b"b"),
        (NODE_REPORT, 4, b"s-9"),
        (NODE_REPORT, 6, b"nan"),
        (NODE_REPORT, 6, b"-1"),
        (NODE_REPORT, 6, b"38654705664"),
        (NODE_REPORT, 6, b"1_0"),
        (NODE_REPORT, 6, b" 9"),
        (NODE_REPORT, 6, b"2"),
        (NODE_REPORT, 8, b"inf"),
        (NODE_REPORT, 8, b"10"),
        (NODE_REPORT, 9, b"rt"),
        (NODE_REPORT, 10, b"soon"),
        (NODE_REPORT, 10, b"-41"),
        (NODE_REPORT, 10, b"1e30"),
        (NODE_REPORT, 12, b"1e999"),
        (NODE_REPORT, 12, b"0"),
        (NODE_REPORT, 12, b"-5"),
        (NODE_REPORT, 11, b"total"),
        (NODE_REPORT, 5, b"sum"),
        (NODE_REPORT, 2, b"\xff"),
        (NODE_REPORT, 0, b"downstream"),
        (NODE_REPORT, 14, b"util:1e30"),
        (NODE_REPORT, 14, b"util:-1"),
        (NODE_REPORT, 14, b"util"),
        (NODE_REPORT, 14, b"util:0.5:1"),
        (SLICE_REPORT, 2, b"9"),
        (SLICE_REPORT, 2, b"-1"),
        (SLICE_REPORT, 2, b"1_0"),
        (SLICE_REPORT, 2, b""),
        (SLICE_REPORT, 2, b"9" * 5000),
        (SLICE_REPORT, 4, b"sing"),
        (SLICE_REPORT, 6, b"-1"),
        (SLICE_REPORT, 8, b"1e30"),
        (SLICE_REPORT, 10, b"0"),
        (SLICE_REPORT, 9, b"route"),
    ],
)
def test_invalid_report_is_rejected(message, position, value):
    message = list(message)
    message[position] = value
    ids = sample_ids()
    ids.zone("b")
    with pytest.raises(MalformedError):
        read_report(message, ids, 9, 0)
