import json

import pytest
from assigner_parties import STANDING, end, ordered, relayed
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
def test_a_call_of_unknown_outcome_is_sent_again_complete_before_anything_newer(kit, outcome):
    made = order_queue(kit)
    ordered(made, 1, 2)
    ordered(made, 3)
    end(made, outcome)
    assert len(made._client.bodies) == 1  # not at once: no spin
    wait_until(kit.loop, lambda: len(made._client.bodies) == 2)
    end(made, b'{"ok_count":3}')
    first = [("put", 1), ("put", 2), ("fence", 2)]
    assert made._client.bodies == [first, first, [("put", 3), ("fence", 3)]]


@pytest.mark.parametrize("transit, behind", [(20_000 * MS, 0), (0, 20_000 * MS)])
@pytest.mark.parametrize("answered", [6, 7])
def test_a_call_of_unknown_outcome_that_a_proxy_acknowledges_is_not_sent_again(kit, answered, transit, behind):
    """Nothing newer goes before that, or before it was sent again; no proof comes before what waits has left."""
    relay, told, made = relayed(kit, *STANDING)
    made._transit_ns = transit
    ordered(made, 7, behind=behind)
    ordered(made, 8)
    end(made, None)
    relay.connections[-1].send(message("done", node=1, nonce=answered, latency=1.0))
    wait_until(kit.loop, lambda: isinstance(kit.events[-1], WatermarkAcknowledged))
    assert len(made._client.bodies) == (1 if answered == 6 else 2) and made._client.bodies[-1] == [
        ("put", 7 + (answered == 7)),
        ("fence", 7 + (answered == 7)),
    ]
    told.close()
    relay.close()


@pytest.mark.parametrize(
    "taken, left", [(0, [("put", 2), ("fence", 2)]), (1, [("fence", 2)]), (2, [("put", 3), ("fence", 3)])]
)
def test_only_the_order_that_failed_is_dropped(kit, taken, left):
    made = order_queue(kit)
    ordered(made, 1, 2)
    ordered(made, 3)
    end(made, b'{"ok_count":%d}' % taken)
    assert made._client.bodies[-1] == left and kit.counters.counts["orders_dropped"] == 1


@pytest.mark.parametrize("first, number, stamp", [(0, 5, 5), (65_000, 5, 65_005), (65_000, 600, 64)])
def test_marks_differ_from_those_of_a_former_incarnation(kit, first, number, stamp):
    made = order_queue(kit, first)
    made.request_acknowledgement(number, True)
    made.close_round()
    assert made._client.bodies == [[("fence", stamp)]] and made.watermark_of(stamp) == number


def test_a_call_that_the_relay_can_never_read_does_not_stop_the_queue(kit):
    made = order_queue(kit)
    ordered(made, 1)
    ordered(made, 2)
    for number in range(1, 6):
        wait_until(kit.loop, lambda number=number: len(made._client.bodies) == number)
        end(made, b'{"error":"malformed"}')
    assert made._client.bodies[-1] == [("put", 2), ("fence", 2)]


def test_every_order_is_encoded_and_a_long_round_is_several_calls(kit):
    made = order_queue(kit)
    made.clear_table(4)
    made.set_withdrawn(1, True)
    made.set_withdrawn(1, False)
    made.set_admission(-1, 0, 1.0, 1)
    made.set_admission(4, 2, 0.5, 1)
    made.close_round()
    assert [json.loads(order.encoded) for order in made._queue[0]] == [
        {"verb": "wipe", "cluster": 4},
        {"verb": "eject", "endpoint": "s-2"},
        {"verb": "uneject", "endpoint": "s-2"},
        {"verb": "gate", "cluster": "*", "gate": 1.0, "again": 1},
        {"verb": "gate", "cluster": 4, "gate": 0.5, "again": 1, "for": ["buy"]},
    ]
    ordered(made, *range(2500))
    sizes = [sum(len(order.encoded) + 1 for order in call) + 10 for call in made._queue]
    assert len(sizes) > 3 and max(sizes) <= 60_000
    ordered(made, *range(2500))
    assert made.is_full()


def test_orders_wait_while_updates_are_away_and_are_dropped_with_a_slice_that_is_lost(kit):
    made = order_queue(kit)
    made.suspend()
    made.slice_given(1)
    ordered(made, 1, 2)
    made.slice_taken_back(1)
    assert not made._client.bodies
    made.resume()
    assert made._client.bodies == [[("put", 2), ("fence", 2)]]


def test_a_call_that_is_out_is_sent_again_without_orders_for_a_slice_lost_meanwhile(kit):
    made = order_queue(kit)
    made.slice_given(1)
    ordered(made, 1, 2)
    made.slice_given(1)
    ordered(made, 1)
    made.slice_taken_back(3)
    end(made, None)
    wait_until(kit.loop, lambda: len(made._client.bodies) == 2)
    end(made, b'{"ok_count":2}')
    assert made._client.bodies[1:] == [[("put", 2), ("fence", 2)], [("put", 1), ("fence", 1)]]


@pytest.mark.parametrize("lines, agrees", [({}, True), ({0: 1.0}, True), ({1: 1.0}, False), ({0: 1.0, 1: 1.0}, False)])
def test_what_the_store_holds_is_compared_with_what_was_ordered(kit, lines, agrees):
    made = order_queue(kit)
    made.slice_given(1)
    ordered(made, 1)  # may have been carried out, or not
    assert made.explains(1, lines) is agrees


@pytest.mark.parametrize("lines", [{}, {0: 1.0}])
def test_an_answer_that_comes_while_updates_are_away_waits_for_the_reconciliation(kit, lines):
    made = order_queue(kit)
    made.slice_given(1)
    ordered(made, 1)
    made.suspend()
    end(made, b'{"ok_count":2}')
    assert made.explains(1, lines)
    made.resume()
    assert made.explains(1, {0: 1.0}) and not made.explains(1, {}) and not made._queue
