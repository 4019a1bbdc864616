import json

import pytest
from assigner_parties import SNAPSHOT, add_round, connect_to_relay, finish_call
from parties import MS, message, order_queue, wait_until

from kestrelplank.interface import (
    WatermarkAcknowledged,
)


@pytest.mark.parametrize(
    "outcome",
    [
        None,
        b"{",
        b"[]",
        b'{"ok_count":3,"\xff":1}',
        b"[" * 3000,
        b"\xff\x00",
        b'{"ok_count":true}',
        b'{"ok_count":9}',
        b'{"ok_count":-1}',
        b'{"error":"limit"}',
    ],
)
def test_call_of_unknown_outcome_is_retried_completely_before_newer_calls(kit, outcome):
    queue = order_queue(kit)
    add_round(queue, 1, 2)
    add_round(queue, 3)
    finish_call(queue, outcome)
    assert len(queue._client.bodies) == 1  # the retry is delayed
    wait_until(kit.loop, lambda: len(queue._client.bodies) == 2)
    finish_call(queue, b'{"ok_count":3}')
    first = [("put", 1), ("put", 2), ("fence", 2)]
    assert queue._client.bodies == [first, first, [("put", 3), ("fence", 3)]]


@pytest.mark.parametrize("transit_ns, backlog_ns", [(20_000 * MS, 0), (0, 20_000 * MS)])
@pytest.mark.parametrize("answered", [6, 7])
def test_call_of_unknown_outcome_is_not_retried_once_a_proxy_acknowledges_it(kit, answered, transit_ns, backlog_ns):
    """Newer calls wait for the acknowledgement or the retry; the retry waits for transit time and channel backlog."""
    relay, updates, queue = connect_to_relay(kit, *SNAPSHOT)
    queue._transit_ns = transit_ns
    add_round(queue, 7, backlog_ns=backlog_ns)
    add_round(queue, 8)
    finish_call(queue, None)
    relay.connections[-1].send(message("done", node=1, nonce=answered, latency=1.0))
    wait_until(kit.loop, lambda: isinstance(kit.events[-1], WatermarkAcknowledged))
    assert len(queue._client.bodies) == (1 if answered == 6 else 2) and queue._client.bodies[-1] == [
        ("put", 7 + (answered == 7)),
        ("fence", 7 + (answered == 7)),
    ]
    updates.close()
    relay.close()


@pytest.mark.parametrize(
    "accepted, remaining", [(0, [("put", 2), ("fence", 2)]), (1, [("fence", 2)]), (2, [("put", 3), ("fence", 3)])]
)
def test_only_the_rejected_order_of_a_call_is_dropped(kit, accepted, remaining):
    queue = order_queue(kit)
    add_round(queue, 1, 2)
    add_round(queue, 3)
    finish_call(queue, b'{"ok_count":%d}' % accepted)
    assert queue._client.bodies[-1] == remaining and kit.counters.counts["orders_dropped"] == 1


@pytest.mark.parametrize("first, number, stamp", [(0, 5, 5), (65_000, 5, 65_005), (65_000, 600, 64)])
def test_stamps_are_offset_by_the_first_stamp_of_the_incarnation(kit, first, number, stamp):
    queue = order_queue(kit, first)
    queue.request_acknowledgement(number, True)
    queue.close_round()
    assert queue._client.bodies == [[("fence", stamp)]] and queue.watermark_of(stamp) == number


def test_call_that_the_relay_always_reports_as_malformed_is_given_up(kit):
    queue = order_queue(kit)
    add_round(queue, 1)
    add_round(queue, 2)
    for number in range(1, 6):
        wait_until(kit.loop, lambda number=number: len(queue._client.bodies) == number)
        finish_call(queue, b'{"error":"malformed"}')
    assert queue._client.bodies[-1] == [("put", 2), ("fence", 2)]


def test_orders_are_encoded_and_a_long_round_is_split_into_calls(kit):
    queue = order_queue(kit)
    queue.clear_table(4)
    queue.set_withdrawn(1, True)
    queue.set_withdrawn(1, False)
    queue.set_admission(-1, 0, 1.0, 1)
    queue.set_admission(4, 2, 0.5, 1)
    queue.close_round()
    assert [json.loads(order.encoded) for order in queue._queue[0]] == [
        {"verb": "wipe", "cluster": 4},
        {"verb": "eject", "endpoint": "s-2"},
        {"verb": "uneject", "endpoint": "s-2"},
        {"verb": "gate", "cluster": "*", "gate": 1.0, "again": 1},
        {"verb": "gate", "cluster": 4, "gate": 0.5, "again": 1, "for": ["buy"]},
    ]
    add_round(queue, *range(2500))
    sizes = [sum(len(order.encoded) + 1 for order in call) + 10 for call in queue._queue]
    assert len(sizes) > 3 and max(sizes) <= 60_000
    add_round(queue, *range(2500))
    assert queue.is_full()


def test_orders_wait_while_suspended_and_are_dropped_with_a_revoked_slice(kit):
    queue = order_queue(kit)
    queue.suspend()
    queue.slice_assigned(1)
    add_round(queue, 1, 2)
    queue.slice_revoked(1)
    assert not queue._client.bodies
    queue.resume()
    assert queue._client.bodies == [[("put", 2), ("fence", 2)]]


def test_retried_call_omits_orders_for_a_slice_reassigned_in_flight(kit):
    queue = order_queue(kit)
    queue.slice_assigned(1)
    add_round(queue, 1, 2)
    queue.slice_assigned(1)
    add_round(queue, 1)
    queue.slice_revoked(3)
    finish_call(queue, None)
    wait_until(kit.loop, lambda: len(queue._client.bodies) == 2)
    finish_call(queue, b'{"ok_count":2}')
    assert queue._client.bodies[1:] == [[("put", 2), ("fence", 2)], [("put", 1), ("fence", 1)]]


@pytest.mark.parametrize(
    "endpoints, matches", [({}, True), ({0: 1.0}, True), ({1: 1.0}, False), ({0: 1.0, 1: 1.0}, False)]
)
def test_stored_endpoints_match_the_orders_with_or_without_the_call_in_flight(kit, endpoints, matches):
    queue = order_queue(kit)
    queue.slice_assigned(1)
    add_round(queue, 1)  # of unknown outcome
    assert queue.matches_orders(1, endpoints) is matches


@pytest.mark.parametrize("endpoints", [{}, {0: 1.0}])
def test_response_received_while_suspended_is_processed_on_resume(kit, endpoints):
    queue = order_queue(kit)
    queue.slice_assigned(1)
    add_round(queue, 1)
    queue.suspend()
    finish_call(queue, b'{"ok_count":2}')
    assert queue.matches_orders(1, endpoints)
    queue.resume()
    assert queue.matches_orders(1, {0: 1.0}) and not queue.matches_orders(1, {}) and not queue._queue
