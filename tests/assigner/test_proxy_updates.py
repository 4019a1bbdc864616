import json

import pytest
from assigner_parties import SNAPSHOT, add_round, connect_to_relay, finish_call, reconnect
from parties import MS, attach, message, wait_until

from kestrelplank.assigner import proxy_updates
from kestrelplank.interface import (
    EndpointStored,
    ProxyJoined,
    ProxyLeft,
    SliceOwnership,
    WatermarkAcknowledged,
)


def test_updates_become_events_and_nothing_is_sent_on_the_stream(kit):
    relay, updates, _ = connect_to_relay(kit, *SNAPSHOT)
    requested = relay.connections[-1].bytes_received
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
    assert kit.counters.counts["news_skipped"] == 3 and relay.connections[-1].bytes_received == requested
    updates.close()
    relay.close()


@pytest.mark.parametrize(
    "next_update", [None, message("entry", shard=3, endpoint="s-1", w=1.0), message("owner", shard=4, set=True)]
)
def test_assigned_slice_is_emitted_together_with_its_late_endpoints(kit, monkeypatch, next_update):
    """If nothing follows within the delay, the slice is emitted without endpoints."""
    monkeypatch.setattr("kestrelplank.assigner.proxy_updates.QUIET_NS", 1000 * MS)
    relay, updates, _ = connect_to_relay(kit)
    relay.connections[-1].send(message("owner", shard=3, set=True))
    wait_until(kit.loop, lambda: updates._new_slice)
    for _ in range(5):
        kit.loop.at(kit.loop.now() + MS, lambda: None)
        kit.loop.run_once()
    assert not kit.events
    relay.connections[-1].send(*[next_update] if next_update else [])
    wait_until(
        kit.loop, lambda: kit.events and not (next_update and next_update["type"] == "entry" and updates._new_slice)
    )
    assert kit.events[:2] == [SliceOwnership(3, True)] + [EndpointStored(3, 0, 1.0)] * bool(
        next_update and next_update["type"] == "entry"
    )
    updates.close()
    relay.close()


@pytest.mark.parametrize("line", [b"{\n", b"[]\n", b'{"type":"\xff"}\n', b"7\n"])
def test_unreadable_update_restarts_the_stream(kit, line):
    relay, updates, _ = connect_to_relay(kit, *SNAPSHOT)
    relay.connections[-1].send(line + json.dumps(message("detach", node=1)).encode() + b"\n")
    wait_until(kit.loop, lambda: kit.counters.counts["news_started"] == 2)
    relay.connections[-1].send(*SNAPSHOT[1:], {})
    wait_until(kit.loop, lambda: updates._reconciliation is None)
    assert kit.events[6:] == [ProxyLeft(1), ProxyJoined(2, 0, 2.0, False)]
    updates.close()
    relay.close()


@pytest.mark.parametrize("end_of_snapshot", [{}, None])
def test_reconnecting_emits_only_changes_and_known_proxies(kit, end_of_snapshot):
    """The snapshot ends with a keep-alive, or when no update follows for `QUIET_NS`."""
    relay, updates, queue = connect_to_relay(kit, *SNAPSHOT)
    reconnect(
        kit, relay, attach(1), attach(5), *SNAPSHOT[2:4], *([end_of_snapshot] if end_of_snapshot is not None else [])
    )
    wait_until(kit.loop, lambda: updates._reconciliation is None)
    assert kit.events == [
        ProxyJoined(5, 0, 2.0, True),
        ProxyLeft(2),
        SliceOwnership(4, False),
        ProxyJoined(1, 0, 2.0, False),
    ]
    updates.close()
    relay.close()


def test_slice_revoked_right_after_the_snapshot_stays_revoked(kit):
    relay, updates, queue = connect_to_relay(kit, *SNAPSHOT)
    reconnect(kit, relay, *SNAPSHOT, message("owner", shard=3, set=False))
    wait_until(kit.loop, lambda: updates._reconciliation is None and kit.events)
    assert [event for event in kit.events if isinstance(event, SliceOwnership)] == [SliceOwnership(3, False)]
    updates.close()
    relay.close()


def test_slice_that_had_another_owner_is_revoked_and_assigned_again(kit):
    relay, updates, queue = connect_to_relay(kit, *SNAPSHOT)
    queue.suspend()
    add_round(queue, 3, 4)
    reconnect(kit, relay, *SNAPSHOT[:3], message("entry", shard=3, endpoint="s-2", w=1.0), *SNAPSHOT[4:], {})
    wait_until(kit.loop, lambda: updates._reconciliation is None)
    assert kit.events[:3] == [SliceOwnership(3, False), SliceOwnership(3, True), EndpointStored(3, 1, 1.0)]
    assert queue._client.bodies == [[("put", 4), ("fence", 4)]]
    updates.close()
    relay.close()


@pytest.mark.parametrize("answered, requested", [([1, 2], []), ([1], [[("fence", 6)]])])
def test_acknowledgements_lost_with_the_stream_are_requested_again(kit, answered, requested):
    relay, updates, queue = connect_to_relay(kit, *SNAPSHOT)
    add_round(queue, 6)
    finish_call(queue, b'{"ok_count":2}')
    relay.connections[-1].send(*(message("done", node=proxy, nonce=6, latency=1.0) for proxy in answered))
    wait_until(kit.loop, lambda: [type(event) for event in kit.events].count(WatermarkAcknowledged) == len(answered))
    reconnect(kit, relay, *SNAPSHOT, {})
    wait_until(kit.loop, lambda: updates._reconciliation is None)
    assert queue._client.bodies[1:] == requested
    updates.close()
    relay.close()


def test_idle_stream_reconnects(kit, monkeypatch):
    limits = proxy_updates.STREAM_LIMITS._replace(idle_timeout_ns=50 * MS)
    monkeypatch.setattr(proxy_updates, "STREAM_LIMITS", limits)
    relay, updates, _ = connect_to_relay(kit, *SNAPSHOT)
    wait_until(kit.loop, lambda: len(relay.connections) > 1)
    assert kit.counters.counts["news_broken"] >= 1 and not any(isinstance(event, ProxyLeft) for event in kit.events)
    updates.close()
    relay.close()
