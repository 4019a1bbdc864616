"""The state of a peer by what its kernel acknowledges. Guards against a peer that reads late and is taken for unreachable."""

import pytest

from kestrelplank.http.tcp_info import TcpInfo
from kestrelplank.http.unread_bytes import (
    EXTENSION_NS,
    PROBED_TIMEOUT_NS,
    STALL_NS,
    USER_TIMEOUT_NS,
    PeerState,
    UnreadBytes,
)
from kestrelplank.time_units import MILLISECOND, SECOND

CHECK_MS = 100


def info(*, probes=0, in_flight=0, unsent=5000, acknowledged=70_000, sent_ms=400, acknowledgement_ms=300):
    return TcpInfo(probes, in_flight, unsent, acknowledged, sent_ms, acknowledgement_ms)


def in_flight(acknowledgement_ms, sent_ms=0):
    return info(in_flight=1, unsent=0, sent_ms=sent_ms, acknowledgement_ms=acknowledgement_ms)


def closed_window(acknowledgement_ms):
    return info(probes=1, acknowledgement_ms=acknowledgement_ms)


def checks(*infos, written_ms=CHECK_MS):
    """Return the states at checks of a peer, the first at that time after the bytes were written."""
    unread = UnreadBytes()
    unread.written(0)
    return unread, [
        unread.check((written_ms + CHECK_MS * number) * MILLISECOND, sample) for number, sample in enumerate(infos)
    ]


def falling_silent(sample, reachable_for=20, silent_for=16):
    """Return the states at checks of a peer that reads nothing, and acknowledges nothing after a while."""
    silent = [sample(CHECK_MS * number) for number in range(1, silent_for + 1)]
    return checks(*[info()] * reachable_for, *silent)[1][reachable_for:]


@pytest.mark.parametrize(
    "sample, state",
    [
        (info(unsent=0), PeerState.UP_TO_DATE),
        (info(), PeerState.REACHABLE),  # its window is closed, and it has acknowledged the newest probe
        (info(sent_ms=300), PeerState.REACHABLE),
        (closed_window(300), PeerState.REACHABLE),  # it does not answer every probe
        (in_flight(200, sent_ms=200), PeerState.REACHABLE),
        (in_flight(200, sent_ms=100), PeerState.SILENT),
        (in_flight(9000), PeerState.SILENT),  # the connection was idle before
    ],
)
def test_state_of_a_peer_by_one_check(sample, state):
    assert checks(sample)[1] == [state]


@pytest.mark.parametrize("seconds", [1, 2, 30])
def test_the_time_out_is_extended_while_the_peer_answers(seconds):
    """The kernel counts from the first unread byte; a check that comes late by half a second does no harm."""
    unread, states = checks(*[info()] * (seconds * 10))
    assert set(states) == {PeerState.REACHABLE}
    assert unread.user_timeout_ns == seconds * SECOND + EXTENSION_NS
    assert unread.check(seconds * SECOND + SECOND, info(unsent=0)) is PeerState.UP_TO_DATE
    assert unread.user_timeout_ns == USER_TIMEOUT_NS


def test_a_peer_that_falls_silent_is_unreachable_after_the_time_out():
    """At 1 s with bytes on their way, at 1.4 s if it is only sent probes."""
    assert falling_silent(in_flight) == [PeerState.SILENT] * 9 + [PeerState.UNREACHABLE] * 7
    assert (
        falling_silent(closed_window) == [PeerState.REACHABLE] * 13 + [PeerState.SILENT] + [PeerState.UNREACHABLE] * 2
    )


def test_a_peer_that_answers_each_second_probe_is_reachable():
    """Linux answers no two probes within half a second."""
    assert set(falling_silent(closed_window, silent_for=13)) == {PeerState.REACHABLE}
    assert PROBED_TIMEOUT_NS > 500 * MILLISECOND + EXTENSION_NS > USER_TIMEOUT_NS


def test_the_kernel_alone_ends_a_connection_whose_time_out_was_never_extended():
    unread, states = checks(*[in_flight(9000)] * 20)
    assert set(states) == {PeerState.SILENT} and unread.user_timeout_ns == USER_TIMEOUT_NS


def test_the_time_out_is_never_extended_by_times_that_the_system_leaves_empty():
    """Guards against a peer that is cut off and never noticed, where TCP_INFO has counts alone."""
    for sample in (info(sent_ms=0, acknowledgement_ms=0), in_flight(0)):
        unread, states = checks(*[sample] * 30)
        assert set(states) == {PeerState.SILENT} and unread.user_timeout_ns == USER_TIMEOUT_NS


def test_one_unanswered_check_does_not_make_a_peer_unreachable():
    """Bytes may have been sent right before the check."""
    assert checks(info(), in_flight(1100), written_ms=1500)[1] == [PeerState.REACHABLE, PeerState.SILENT]


def test_the_time_out_starts_anew_for_bytes_written_later():
    unread, _ = checks(info(), info(unsent=0))
    assert not unread.is_stalled(9 * SECOND)
    unread.written(10 * SECOND)
    unread.check(10 * SECOND + CHECK_MS * MILLISECOND, info())
    assert unread.user_timeout_ns == USER_TIMEOUT_NS
    unread.check(11 * SECOND, info())
    assert unread.user_timeout_ns == SECOND + EXTENSION_NS


def test_a_peer_is_stalled_once_it_has_taken_no_byte_for_a_while():
    unread, _ = checks(*[info()] * 5)
    assert not unread.is_stalled(STALL_NS - 1) and unread.is_stalled(STALL_NS)
    unread.check(STALL_NS, info(acknowledged=80_000))
    assert not unread.is_stalled(2 * STALL_NS - 1) and unread.is_stalled(2 * STALL_NS)
    unread.check(3 * STALL_NS, info(unsent=0))
    assert not unread.is_stalled(9 * STALL_NS)
