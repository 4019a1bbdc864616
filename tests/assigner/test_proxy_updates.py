import json

import pytest
from assigner_parties import STANDING, again, end, ordered, relayed
from parties import MS, attach, message, wait_until

from kestrelplank.assigner import proxy_updates
from kestrelplank.interface import (
    EndpointStored,
    ProxyJoined,
    ProxyLeft,
    SliceOwnership,
    WatermarkAcknowledged,
)


def test_updates_become_events_and_nothing_is_written_to_their_stream(kit):
    relay, told, _ = relayed(kit, *STANDING)
    asked = relay.connections[-1].bytes_received
    for line in (
        b'{"type":"moon","object":{}}\n',
        message("attach", node=99, locality="a", w=1, cold=True),
        message("entry", shard=8, endpoint="s-1", w=1.0),
        message("done", node=1, nonce=7, latency=2.5),
        message("done", node=1, nonce=7, latency=9.5),
        message("owner", shard=3, set=False),
        message("detach", node=2),
    ):
        relay.connections[-1].send(line)
    wait_until(kit.loop, lambda: kit.events[-1:] == [ProxyLeft(2)])
    assert kit.events == [
        ProxyJoined(1, 0, 2.0, True),
        ProxyJoined(2, 0, 2.0, True),
        SliceOwnership(3, True),
        EndpointStored(3, 0, 1.0),
        SliceOwnership(4, True),
        EndpointStored(4, 0, 1.0),
        WatermarkAcknowledged(1, 7, 2_500_000),
        SliceOwnership(3, False),
        ProxyLeft(2),
    ]
    assert kit.counters.counts["news_skipped"] == 3 and relay.connections[-1].bytes_received == asked
    told.close()
    relay.close()


@pytest.mark.parametrize(
    "after", [None, message("entry", shard=3, endpoint="s-1", w=1.0), message("owner", shard=4, set=True)]
)
def test_a_slice_is_given_with_its_endpoints_however_late_they_come(kit, monkeypatch, after):
    """Also where nothing follows: then it is bare."""
    monkeypatch.setattr("kestrelplank.assigner.proxy_updates.QUIET_NS", 1000 * MS)
    relay, told, _ = relayed(kit)
    relay.connections[-1].send(message("owner", shard=3, set=True))
    wait_until(kit.loop, lambda: told._new_slice)
    for _ in range(5):
        kit.loop.at(kit.loop.now() + MS, lambda: None)
        kit.loop.run_once()
    assert not kit.events
    relay.connections[-1].send(*[after] if after else [])
    wait_until(kit.loop, lambda: kit.events and not (after and after["type"] == "entry" and told._new_slice))
    assert kit.events[:2] == [SliceOwnership(3, True)] + [EndpointStored(3, 0, 1.0)] * bool(
        after and after["type"] == "entry"
    )
    told.close()
    relay.close()


@pytest.mark.parametrize("line", [b"{\n", b"[]\n", b'{"type":"\xff"}\n', b"7\n"])
def test_an_update_that_cannot_be_read_makes_the_stream_begin_anew(kit, line):
    relay, told, _ = relayed(kit, *STANDING)
    relay.connections[-1].send(line + json.dumps(message("detach", node=1)).encode() + b"\n")
    wait_until(kit.loop, lambda: kit.counters.counts["news_started"] == 2)
    relay.connections[-1].send(*STANDING[1:], {})
    wait_until(kit.loop, lambda: told._reconciliation is None)
    assert kit.events[6:] == [ProxyLeft(1), ProxyJoined(2, 0, 2.0, False)]
    told.close()
    relay.close()


@pytest.mark.parametrize("end", [{}, None])
def test_after_a_break_only_what_changed_becomes_events(kit, end):
    """Also where no sign of life ends what stands: it is over when the burst is."""
    relay, told, made = relayed(kit, *STANDING)
    again(kit, relay, attach(1), attach(5), *STANDING[2:4], *([end] if end is not None else []))
    wait_until(kit.loop, lambda: told._reconciliation is None)
    assert kit.events == [
        ProxyJoined(5, 0, 2.0, True),
        ProxyLeft(2),
        SliceOwnership(4, False),
        ProxyJoined(1, 0, 2.0, False),
    ]
    told.close()
    relay.close()


def test_a_slice_taken_back_right_after_a_reconciliation_stays_taken_back(kit):
    relay, told, made = relayed(kit, *STANDING)
    again(kit, relay, *STANDING, message("owner", shard=3, set=False))
    wait_until(kit.loop, lambda: told._reconciliation is None and kit.events)
    assert [event for event in kit.events if isinstance(event, SliceOwnership)] == [SliceOwnership(3, False)]
    told.close()
    relay.close()


def test_a_slice_that_passed_through_other_hands_is_taken_up_anew(kit):
    relay, told, made = relayed(kit, *STANDING)
    made.suspend()
    ordered(made, 3, 4)
    again(kit, relay, *STANDING[:3], message("entry", shard=3, endpoint="s-2", w=1.0), *STANDING[4:], {})
    wait_until(kit.loop, lambda: told._reconciliation is None)
    assert kit.events[:3] == [SliceOwnership(3, False), SliceOwnership(3, True), EndpointStored(3, 1, 1.0)]
    assert made._client.bodies == [[("put", 4), ("fence", 4)]]
    told.close()
    relay.close()


@pytest.mark.parametrize("answered, asked", [([1, 2], []), ([1], [[("fence", 6)]])])
def test_acknowledgements_lost_with_the_stream_are_requested_again(kit, answered, asked):
    relay, told, made = relayed(kit, *STANDING)
    ordered(made, 6)
    end(made, b'{"ok_count":2}')
    relay.connections[-1].send(*(message("done", node=proxy, nonce=6, latency=1.0) for proxy in answered))
    wait_until(kit.loop, lambda: [type(event) for event in kit.events].count(WatermarkAcknowledged) == len(answered))
    again(kit, relay, *STANDING, {})
    wait_until(kit.loop, lambda: told._reconciliation is None)
    assert made._client.bodies[1:] == asked
    told.close()
    relay.close()


def test_a_stream_that_falls_silent_is_dialled_again(kit, monkeypatch):
    limits = proxy_updates.STREAM_LIMITS._replace(idle_timeout_ns=50 * MS)
    monkeypatch.setattr(proxy_updates, "STREAM_LIMITS", limits)
    relay, told, _ = relayed(kit, *STANDING)
    wait_until(kit.loop, lambda: len(relay.connections) > 1)
    assert kit.counters.counts["news_broken"] >= 1 and not any(isinstance(event, ProxyLeft) for event in kit.events)
    told.close()
    relay.close()
