"""Tests of the assigner's policy: evacuation, balancing, ejection, load shedding, publication and node lists."""

import tomllib
from collections import deque
from pathlib import Path

import msgspec
import pytest

from kestrelplank import decode
from kestrelplank.interface import SECOND as S
from kestrelplank.interface import (
    EndpointStored,
    NodeEntry,
    NodeListKind,
    NodeListUpdate,
    NodeReport,
    OpTypeSettings,
    PeerLoads,
    PolicySettings,
    ProxyJoined,
    ProxyLeft,
    SliceOwnership,
    SliceReport,
    SliceSplit,
    WatermarkAcknowledged,
)
from kestrelplank.policy import Policy
from kestrelplank.policy.balancing import balance
from kestrelplank.policy.channel import Channel, MessageInFlight
from kestrelplank.policy.ejection import eject_unhealthy
from kestrelplank.policy.evacuation import evacuate
from kestrelplank.policy.fleet_load import FleetLoad
from kestrelplank.policy.load_shedding import LoadShedder
from kestrelplank.policy.node import TO_EVACUATE, Node, NodeState, ReportSums
from kestrelplank.policy.slices import Slice

ROOT = Path(__file__).parent.parent
SETTINGS = PolicySettings(
    message_overhead=8,
    queue_limit=6000,
    message_limit=0,
    message_window_ns=10 * S,
    subscribes_to_nodes=False,
    report_interval_ns=S,
    cold_capacity_share=0.2,
    warm_up_ns=10 * S,
    exclusive_slices=False,
    initial_retry_mode=1,
    only_draining_binds=False,
    write_timeout_ns=S,
    ownership_lease_ns=S,
    overload_multiple=3.0,
    withdrawal_deadline_ns=2 * S,
    admission="",
    op_types=(),
    pick="random",
    orders_per_s=6000,
    peers_may_talk=False,
    assigners=2,
)


class Orders(list):
    """An order writer that records its calls as tuples."""

    def __getattr__(self, name):
        return lambda *fields: self.append((name, *fields))


def policy_with(states, tables, **settings):
    """A policy with nodes in these states that owns slices with these endpoints."""
    policy = Policy(0, 1, with_settings(**settings))
    for index, state in enumerate(states):
        policy.state.node(index, 0).state = NodeState(state)
    for number, endpoints in tables.items():
        owned = policy.slices[number] = Slice(number)
        owned.desired.update(endpoints)
        owned.ordered.update(endpoints)
    return policy


def with_settings(**changes):
    """The settings with these changes."""
    return msgspec.structs.replace(SETTINGS, **changes)


def node_list(*entries, kind=NodeListKind.DELTA):
    """A node list update with these entries."""
    return NodeListUpdate(kind, [NodeEntry(*entry) for entry in entries])


@pytest.mark.parametrize("state", ["draining", "removed"])
@pytest.mark.parametrize("endpoints, expected", [({0: 1.0}, [1]), ({0: 1.0, 2: 1.0}, [2])])
def test_slice_moves_off_a_draining_or_removed_node(state, endpoints, expected):
    policy = policy_with([state, "up", "up"], {3: endpoints})
    evacuate(policy.state, 0)
    assert list(policy.slices[3].desired) == expected


@pytest.mark.parametrize("fresh, order_due", [(True, False), (False, True)])
def test_withdrawals_are_ordered_again_only_for_a_proxy_that_rejoins(fresh, order_due):
    policy = policy_with(["up"], {})
    policy.handle(0, ProxyJoined(4, 0, 1.0, fresh))
    assert policy.nodes[0].joined_order_due is order_due


@pytest.mark.parametrize(
    "queue_limit, expected", [(9000, {("set_endpoint", 3, 1, 1.0), ("set_withdrawn", 0, True)}), (25, set())]
)
def test_withdrawal_is_ordered_only_with_a_replacement_endpoint_for_the_slice(queue_limit, expected):
    policy, out = policy_with(["up", "up"], {3: {0: 1.0}}), Orders()
    policy.channel.queue_limit = queue_limit
    policy.channel.unacknowledged = {proxy: deque() for proxy in (4, 5, 6)}
    policy.nodes[0].withdrawn = policy.nodes[0].order_due = True
    policy.slices[3].desired = {1: 1.0}
    policy.publisher.publish(0, out)
    assert {order for order in out if order[0] != "request_acknowledgement"} == expected


@pytest.mark.parametrize("fault", ["restarted", "ejected"])
def test_last_usable_node_is_not_withdrawn(fault):
    policy = policy_with(["up"], {3: {0: 1.0}})
    for node in policy.nodes.values():
        node.former_slices_removed = fault != "restarted"
        node.ejected_until = S if fault == "ejected" else 0
    evacuate(policy.state, 0)
    assert not any(node.must_withdraw(0) for node in policy.nodes.values())


@pytest.mark.parametrize("acknowledged, wait, opened", [(False, 9 * S, False), (True, S // 2, False), (True, S, True)])
def test_exclusive_slice_opens_only_after_its_old_owner_has_surely_stopped(acknowledged, wait, opened):
    policy, out = policy_with(["up", "up"], {3: {0: 1.0}}, exclusive_slices=True), Orders()
    owned = policy.slices[3]
    policy.channel.unacknowledged[4] = deque()
    owned.desired, owned.ordered, owned.closing_watermark = {1: 1.0}, {}, 7
    if not acknowledged:
        policy.channel.unacknowledged[4].append(7)
    policy.publisher.hand_over(0, owned, out)
    policy.publisher.hand_over(wait, owned, out)
    assert (out == [("set_endpoint", 3, 1, 1.0)]) is opened


@pytest.mark.parametrize("new, owners", [(True, [1, 0, 0]), (False, [0, 0, 0])])
def test_new_node_gets_one_slice_per_pass(new, owners):
    policy = policy_with(["up", "up"], {number: {0: 1.0} for number in range(3)}, exclusive_slices=True)
    for owned in policy.slices.values():
        owned.ops_by_period.extend([1.0] * 5)
    policy.nodes[1].awaiting_load, policy.nodes[0].moves_allowed_at = new, 9 * S
    balance(policy.state, 0)
    assert [policy.slices[number].first_node() for number in range(3)] == owners


@pytest.mark.parametrize("only_draining_binds, state, owner", [(False, "removed", 1), (True, "dropped", 0)])
def test_node_removed_from_the_list_keeps_its_slices_if_only_draining_binds(only_draining_binds, state, owner):
    policy = policy_with(["up", "up"], {3: {0: 1.0}}, only_draining_binds=only_draining_binds)
    policy.handle(0, node_list((0, "removed", 0, 0, 1.0, None)))
    evacuate(policy.state, 0)
    assert policy.nodes[0].state is NodeState(state) and policy.slices[3].first_node() == owner


@pytest.mark.parametrize(
    "listed, only_draining_binds, after, removed",
    [
        (True, False, S // 2, False),
        (True, False, S, True),
        (False, False, S, False),
        (True, True, S, False),
        (False, True, 6 * S, True),
    ],
)
def test_node_known_only_from_the_store_is_removed_once_a_list_should_have_named_it(
    listed, only_draining_binds, after, removed
):
    """It is then withdrawn and its slices move; this takes longer if no list came or removals from lists don't bind."""
    policy, out = policy_with(["up"], {}, only_draining_binds=only_draining_binds), Orders()
    policy.list_received = listed
    policy.handle(0, SliceOwnership(3, True))
    policy.handle(0, EndpointStored(3, 7, 1.0))
    for now in range(0, after + 1, S // 10):
        policy.round(now, [], out)
    assert (policy.slices[3].first_node() == 0) is (("set_withdrawn", 7, True) in out) is removed


@pytest.mark.parametrize(
    "threshold, load, other_load, expected",
    [
        (0.45, 9.0, 1.0, [0, 1]),
        (0.45, 1.2, 6.0, [1]),
        (0.3, 1.2, 6.0, [0, 1]),
        (0.45, 0.1, 1.0, [0, 1]),
        (0.45, 0.1, 9.0, [1]),
    ],
)
def test_endpoints_are_added_to_hot_slices_and_removed_from_cool_ones_on_busy_nodes(
    threshold, load, other_load, expected
):
    policy = policy_with(["up", "up", "up"], {3: {0: 1.0}, 4: {2: 1.0}, 5: {0: 1.0}})
    policy.state.hot_slice_threshold = threshold
    for number, ops in ((3, load), (4, 4.0), (5, other_load)):
        policy.slices[number].ops_by_period.extend([ops] * 5)
    if load < 1:
        policy.slices[3].desired[1] = 1.0
    balance(policy.state, 0)
    assert list(policy.slices[3].desired) == expected


@pytest.mark.parametrize("ops, owners", [(1.0, [0, 0, 0, 0, 0, 1]), (100.0, [1, 0, 0, 0, 0, 1])])
def test_load_difference_within_noise_moves_no_slice(ops, owners):
    """A node has one and two thirds of the mean load, which is within noise at few ops."""
    policy = policy_with(["up", "up"], {number: {number // 5: 1.0} for number in range(6)}, exclusive_slices=True)
    for owned in policy.slices.values():
        owned.ops_by_period.extend([ops] * 5)
    balance(policy.state, 0)
    assert [owned.first_node() for owned in policy.slices.values()] == owners


@pytest.mark.parametrize(
    "state, in_table, owns_slice, final_state",
    [
        ("removed", False, True, "forgotten"),
        ("dropped", False, True, "forgotten"),
        ("removed", False, False, "forgotten"),
        ("draining", False, True, "draining"),
        ("up", False, True, "up"),
        ("removed", True, True, "removed"),
    ],
)
def test_removed_node_in_no_table_is_readmitted_and_forgotten(state, in_table, owns_slice, final_state):
    policy, out = policy_with([state, "up"], {3: {0: 1.0} if in_table else {1: 1.0}} if owns_slice else {}), Orders()
    policy.nodes[0].withdrawn = NodeState(state) in TO_EVACUATE
    for round_number in range(600):
        policy.round(round_number * S // 10, [], out)
        if in_table:
            policy.slices[3].ordered = {0: 1.0}  # the table still contains the node
    assert (policy.nodes[0].state.value if 0 in policy.nodes else "forgotten") == final_state
    assert (("forget_node", 0) in out) is (final_state == "forgotten")
    if state == "removed" and owns_slice:
        assert (("set_withdrawn", 0, False) in out) is not in_table


@pytest.mark.parametrize("loads_known_at, owner", [(9 * S, 2), (0, 1)])
def test_warming_node_gets_no_slices_before_loads_are_known(loads_known_at, owner):
    policy = policy_with(["removed", "up", "up"], {3: {0: 1.0}, 4: {2: 1.0}})
    policy.nodes[1].started_at, policy.state.moves_allowed_at = 0, loads_known_at
    for number, ops in ((3, 1.0), (4, 9.0)):
        policy.slices[number].ops_by_period.extend([ops] * 5)
    policy.nodes[2].periods.append(ReportSums(45.0, 0.0, 9.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    evacuate(policy.state, 5 * S)
    assert policy.slices[3].first_node() == owner


@pytest.mark.parametrize("acknowledgements, expected", [([], 60), ([(4, 2)], 20), ([(4, 2), (5, 2), (6, 2)], 0)])
def test_acknowledgement_by_one_proxy_removes_older_messages_from_the_queue(acknowledgements, expected):
    channel = Channel(with_settings(message_overhead=4, queue_limit=600, message_window_ns=S, orders_per_s=100))
    channel.unacknowledged = {4: deque([1, 2]), 5: deque([1, 2]), 6: deque([1, 2])}
    channel.in_flight = {1: MessageInFlight(10, 3), 2: MessageInFlight(10, 3)}
    for proxy, watermark in acknowledgements:
        channel.acknowledge(proxy, watermark)
    assert channel.queued() == expected


@pytest.mark.parametrize(
    "in_flight, delay", [({}, 0), ({1: MessageInFlight(10, 3), 2: MessageInFlight(20, 1)}, S // 2)]
)
def test_acknowledgement_request_states_the_time_to_send_the_queued_orders(in_flight, delay):
    settings = with_settings(message_overhead=4, queue_limit=600, message_window_ns=S, orders_per_s=100)
    channel, out = Channel(settings), Orders()
    channel.unacknowledged, channel.in_flight = {4: deque()}, in_flight
    channel.send(0, 5, out)
    assert out == [("request_acknowledgement", 0, True, delay)]


@pytest.mark.parametrize("queued, due, has_capacity", [(0, 40, True), (0, 5, True), (20, 40, False), (20, 9, True)])
def test_channel_has_no_capacity_until_due_orders_or_half_a_queue_fit(queued, due, has_capacity):
    channel = Channel(with_settings(message_overhead=8, queue_limit=100, message_window_ns=S, orders_per_s=100))
    channel.unacknowledged[4] = deque()
    channel.in_flight = {1: MessageInFlight(queued, 1)}
    assert (channel.capacity(0, 0.4, 0, due) > 0) is has_capacity


@pytest.mark.parametrize("zone_attempts, expected", [(6.0, 0.5), (0.0, None)])
def test_zone_latency_excludes_attempts_from_other_zones(zone_attempts, expected):
    node = Node(0, 0)
    node.periods.append(ReportSums(18.0, 0.0, 36.0, zone_attempts, 0.0, zone_attempts / 2, 0.0, 0.0))
    assert node.zone_latency_s(2) == expected


@pytest.mark.parametrize("slices, sent", [({3: {1: 1.0}}, True), ({}, False)])
def test_assigner_without_slices_sends_no_orders(slices, sent):
    policy, out = policy_with(["removed", "up"], slices), Orders()
    policy.channel.unacknowledged[4] = deque()
    policy.nodes[0].withdrawn = policy.nodes[0].order_due = True
    policy.round(0, [], out)
    assert bool(policy.channel.in_flight) is sent


@pytest.mark.parametrize(
    "state, late, ordered", [("draining", False, False), ("draining", True, True), ("up", False, True)]
)
def test_late_drains_and_restarts_are_withdrawn_without_a_replacement_endpoint(state, late, ordered):
    policy, out = policy_with([state, "up"], {3: {0: 1.0}}), Orders()
    policy.nodes[0].former_slices_removed = state == "draining"
    policy.nodes[0].withdrawn = policy.nodes[0].order_due = True
    policy.slices[3].desired = {0: 1.0}
    policy.publisher.publish(3 * S if late else 0, out)
    assert (("set_withdrawn", 0, True) in out) is ordered


@pytest.mark.parametrize("shed, counted", [(0.0, 5.0), (0.5, 0.0)])
def test_ops_are_not_counted_while_shedding(shed, counted):
    policy = policy_with(["up"], {3: {0: 1.0}})
    policy.shedder.ops, policy.shedder.shed = [0.0], shed
    policy.handle(0, SliceReport(3, 0, 5.0, 0.0, S))
    assert policy.shedder.ops == [counted]


@pytest.mark.parametrize("acknowledged, admitted, shed", [(5.0, 5.0, 0.55), (1.0, 1.0, 0.568), (5.0, 20.0, 0.8)])
def test_shed_share_follows_best_acknowledged_and_admitted_ops(acknowledged, admitted, shed):
    node, shedder = Node(0, 0), LoadShedder(with_settings(admission="share", op_types=(OpTypeSettings(S, 1.0),)))
    node.state, shedder.ops = NodeState.UP, [50.0]
    shedder.best_acknowledged = 5.0 / 0.98 if acknowledged == 5.0 else 4.92
    node.periods.append(ReportSums(2 * admitted, 2 * (admitted - acknowledged), 1.0, 1.0, 0.0, 1.0, 0.0, 0.0))
    shedder.close_period([node])
    assert round(shedder.shed, 3) == shed


@pytest.mark.parametrize(
    "failures, overloaded, ejected", [(20.0, False, True), (20.0, True, False), (9.0, False, False)]
)
def test_node_is_ejected_only_if_it_fails_most_ops_and_the_fleet_is_not_overloaded(failures, overloaded, ejected):
    policy = policy_with(["up"] * 5, {})
    for node in policy.nodes.values():
        node.periods.append(ReportSums(20.0, failures if node.index == 3 else 0.0, 9.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    eject_unhealthy(0, policy.nodes.values(), overloaded)
    assert [node.index for node in policy.nodes.values() if node.must_withdraw(1)] == ([3] if ejected else [])


@pytest.mark.parametrize(
    "load, halved", [({"utilization": 0.8, "acknowledged_per_s": 8.0}, True), ({"in_flight": 3.0}, False)]
)
def test_node_weight_follows_its_reported_utilization_per_op(load, halved):
    policy = policy_with(["up"] * 3, {})
    policy.state.moves_allowed_at = 9 * S
    for index in range(3):
        reported = load if index == 2 or not halved else {"utilization": 0.2, "acknowledged_per_s": 8.0}
        policy.handle(0, NodeReport(index, 0, 20.0, 0.0, S, S, reported))
    policy.close_period(S)
    weights = FleetLoad(policy.state, S).weights
    assert (weights[2] == weights[0] / 2) is halved


@pytest.mark.parametrize("state, expected", [("up", 4), ("removed", 3)])
def test_endpoints_that_delay_a_readmission_are_removed_first(state, expected):
    policy, out = policy_with(["removed", state, "up"], {3: {0: 1.0, 2: 1.0}, 4: {1: 1.0, 2: 1.0}}), Orders()
    for number in (3, 4):
        policy.slices[number].desired = {2: 1.0}
    policy.nodes[0].withdrawn = policy.nodes[1].withdrawn = True
    policy.publisher.publish(0, out)
    assert out[0][1] == expected


@pytest.mark.parametrize("report_count, owners", [(1, {1, 2}), (5, {1})])
def test_slices_just_taken_over_are_spread_until_loads_are_known(report_count, owners):
    policy = policy_with(
        ["removed", "up", "up"], {number: {0: 1.0} for number in range(4)} | {8: {1: 1.0}, 9: {2: 1.0}}
    )
    for number, owned in policy.slices.items():
        owned.ops_by_period.extend([0.5] * 5 if number > 7 else [0.0] * report_count)
    evacuate(policy.state, 0)
    assert {policy.slices[number].first_node() for number in range(4)} == owners


@pytest.mark.parametrize("max_endpoints, endpoints, expected", [(2, [0, 1], 2), (4, [0, 1], 3), (4, [0, 1, 2, 3], 4)])
def test_slice_gets_more_endpoints_if_proxies_pick_from_two(max_endpoints, endpoints, expected):
    policy = policy_with(["up"] * 6, {3: dict.fromkeys(endpoints, 1.0), 4: {0: 1.0}})
    policy.state.hot_slice_threshold, policy.state.max_endpoints = 0.3, max_endpoints
    for owned in policy.slices.values():
        owned.ops_by_period.extend([9.0] * 5)
    balance(policy.state, 0)
    assert len(policy.slices[3].desired) == expected


@pytest.mark.parametrize(
    "known, listed, state, unchanged",
    [(9 * S, ("up", 8 * S), "up", True), (9 * S, ("up", None), "up", True), (8 * S, ("up", 9 * S), "up", False)],
)
@pytest.mark.parametrize("before", ["up", "draining"])
def test_list_without_a_later_start_neither_ends_a_drain_nor_counts_as_a_restart(
    before, known, listed, state, unchanged
):
    policy = policy_with([before], {3: {0: 1.0}})
    policy.nodes[0].started_at = known
    policy.handle(10 * S, node_list((0, listed[0], 0, 0, 1.0, listed[1])))
    node = policy.nodes[0]
    assert (node.state, node.former_slices_removed) == (NodeState(before if unchanged else state), unchanged)
    assert node.started_at == max(known, listed[1] or 0)


@pytest.mark.parametrize("nodes, ejected", [(6, 1), (24, 3)])
def test_at_most_a_seventh_of_nodes_is_ejected_when_a_zone_fails(nodes, ejected):
    policy = policy_with(["up"] * nodes, {})
    for node in policy.nodes.values():
        node.periods.append(ReportSums(20.0, 20.0 if node.index % 3 == 0 else 0.0, 9.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    eject_unhealthy(0, policy.nodes.values(), False)
    assert sum(node.must_withdraw(1) for node in policy.nodes.values()) == ejected


@pytest.mark.parametrize(
    "starts, now, flapping_s",
    [
        ((5,), 6, 0),
        ((5, 20), 21, 12),
        ((5, 20, 40), 41, 24),
        ((5, 20, 40, 50), 51, 48),
        ((5, 20, 40, 50, 58), 59, 48),
        ((5, 80), 81, 0),
    ],
)
def test_node_with_repeated_starts_in_a_minute_gets_no_slices_for_a_growing_time(starts, now, flapping_s):
    policy = policy_with(["up", "up"], {})
    for start in starts:
        policy.handle(start * S + 1, node_list((0, "up", 0, 0, 1.0, start * S)))
    flapping_until = policy.nodes[0].flapping_until
    assert max(0, flapping_until - (starts[-1] * S + 1)) == flapping_s * S
    policy.nodes[0].former_slices_removed, policy.state.moves_allowed_at = True, 0
    policy.slices[3] = owned = Slice(3)
    owned.ops_by_period.extend([4.0] * 5)
    policy.nodes[1].periods.append(ReportSums(100.0, 0.0, 1.0, 100.0, 0.0, 1.0))
    evacuate(policy.state, now * S)
    assert list(owned.desired) == ([1] if flapping_s else [0])


def test_flapping_node_is_used_if_no_other_node_is_up():
    policy = policy_with(["up", "removed"], {3: {1: 1.0}})
    policy.nodes[0].flapping_until = 99 * S
    evacuate(policy.state, 0)
    assert list(policy.slices[3].desired) == [0]


def fleet_with_peers(states, tables, slice_loads):
    """A policy whose slices have five reports with these loads (ops a second), and which shares loads with peers."""
    policy = policy_with(states, tables)
    policy.shares_loads, policy.state.period_ns, policy.shedder.ops = True, S, [0.0]
    for number, ops in slice_loads.items():
        policy.slices[number].ops_by_period.extend([ops] * 5)
    return policy


@pytest.mark.parametrize("received_at, loads", [(0, {0: 20, 1: 5, 2: 30}), (-10 * S, {0: 20, 1: 0, 2: 0})])
def test_peer_loads_count_until_they_expire(received_at, loads):
    policy = fleet_with_peers(["up", "up", "up"], {3: {0: 1.0}, 4: {0: 1.0}}, {3: 10, 4: 10})
    policy.handle(received_at, PeerLoads(7, [(0, 0.0), (1, 5.0), (2, 30.0), (99, 1.0)]))
    assert FleetLoad(policy.state, 0).loads == loads


def test_slices_evacuated_by_all_assigners_at_once_are_spread():
    policy = fleet_with_peers(
        ["removed", *["up"] * 4], {number: {0: 1.0} for number in range(8)}, dict.fromkeys(range(8), 2)
    )
    for sender in range(4):
        policy.handle(0, PeerLoads(sender, [(1, 0.0), (2, 1.0), (3, 2.0), (4, 4.0)]))
    evacuate(policy.state, 0)
    owners = [owned.first_node() for owned in policy.slices.values()]
    assert max(map(owners.count, owners)) <= 3  # without peers the least loaded node would get five of the eight


def test_new_nodes_are_filled_if_the_most_loaded_node_has_no_fitting_endpoint():
    # Node 0 has one slice with too much load for any other node; the slices of the others fit.
    policy = fleet_with_peers(
        ["up"] * 6, {0: {0: 1.0}, 1: {1: 1.0}, 2: {1: 1.0}, 3: {2: 1.0}, 4: {2: 1.0}}, {0: 40, 1: 9, 2: 9, 3: 9, 4: 9}
    )
    policy.nodes[3].awaiting_load = policy.nodes[4].awaiting_load = True
    policy.state.max_endpoints = 1
    balance(policy.state, 0)
    owners = [owned.first_node() for owned in policy.slices.values()]
    assert {3, 4} <= set(owners)


@pytest.mark.parametrize("may_talk, assigners, shared", [(True, 2, 1), (True, 1, 0), (False, 2, 0)])
def test_loads_are_shared_once_per_pass_if_there_are_peers(may_talk, assigners, shared):
    policy = Policy(0, 1, with_settings(peers_may_talk=may_talk, assigners=assigners))
    policy.state.node(0, 0).state, out = "up", Orders()
    for now in range(0, S, S // 50):
        policy.round(now, [], out)
    assert [order[0] for order in out].count("share_loads") == shared


@pytest.mark.parametrize(
    "newest, starts, leaves",
    [(3, (0, -20 * S), False), (9, (0, -20 * S), True), (9, (-20 * S, -20 * S), False), (9, (0, 0), False)],
)
def test_slice_with_rising_load_leaves_a_warming_node_after_one_report(newest, starts, leaves):
    policy = fleet_with_peers(["up", "up"], {3: {0: 1.0}, 4: {1: 1.0}}, {3: 1, 4: 20})
    for node, attempts, started_at in zip(policy.nodes.values(), (1, 20), starts):
        node.started_at = started_at
        node.periods.extend([ReportSums(attempts, 0, attempts / 10)] * 5)
    policy.handle(0, SliceReport(3, 0, newest, 0, S))
    policy.round(0, [], Orders())
    assert (policy.slices[3].first_node() == 1) is leaves


@pytest.mark.parametrize(
    "acknowledged, left, ordered_at, order_due",
    [
        (True, True, 1 * S, False),
        (True, True, 4 * S, True),
        (False, True, 1 * S, False),
        (False, True, 2 * S, True),
        (False, True, None, False),
        (False, False, 1 * S, False),
        (False, False, 2 * S, True),
    ],
)
def test_rejoining_proxy_gets_only_orders_that_it_may_have_missed(acknowledged, left, ordered_at, order_due):
    policy = policy_with(["up"], {})
    policy.handle(0, ProxyJoined(4, 0, 1.0, True))
    policy.channel.send(2 * S, 1, Orders())
    if acknowledged:
        policy.handle(int(2.5 * S), WatermarkAcknowledged(4, 0, 0))
    if left:
        policy.handle(3 * S, ProxyLeft(4))
    policy.nodes[0].ordered_at = ordered_at
    policy.handle(5 * S, ProxyJoined(4, 0, 1.0, False))
    assert policy.nodes[0].joined_order_due is order_due


@pytest.mark.parametrize("fresh, at, order_due", [(False, 1, True), (True, 1, False), (False, 9, False)])
def test_node_first_known_soon_after_a_restart_gets_an_order(fresh, at, order_due):
    policy = policy_with([], {})
    policy.handle(0, ProxyJoined(4, 0, 1.0, fresh))
    policy.handle(0, SliceOwnership(3, True))
    assert policy.state.node(7, at * S).joined_order_due is order_due


def test_split_slice_passes_its_share_of_load_and_no_endpoint_to_the_new_slice():
    policy = policy_with(["up"], {3: {0: 1.0}})
    policy.slices[3].ops_by_period.extend([8.0, 4.0])
    policy.handle(0, SliceSplit(3, 9, 0.25))
    assert list(policy.slices[3].ops_by_period) == [6.0, 3.0] and list(policy.slices[9].ops_by_period) == [2.0, 1.0]
    assert policy.slices[3].desired == {0: 1.0} and policy.slices[9].desired == {}


def test_policy_settings_are_read_from_wire_settings():
    settings = PolicySettings.from_mapping(
        decode.read_settings(
            {"Categories": [{"Name": "look", "Target": 250.0, "Importance": 3.0}]}, decode.Ids(str), "test"
        )
    )
    assert settings.op_types == (OpTypeSettings(S // 4, 3.0),) and settings.report_interval_ns == S
    assert settings.load_window_ns is None and settings.assigners == 1


def test_deploy_file_lists_every_policy_module():
    listed_modules = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(listed_modules) == sorted(
        str(path.relative_to(ROOT)) for path in (ROOT / "kestrelplank/policy").glob("*.py")
    )
