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
    """A writer that keeps what it was told as tuples."""

    def __getattr__(self, word):
        return lambda *fields: self.append((word, *fields))


def fleet(states, tables, **settings):
    """A policy that knows nodes in these states, and owns slices with these endpoints."""
    policy = Policy(0, 1, with_settings(**settings))
    for index, state in enumerate(states):
        policy.state.node(index, 0).state = NodeState(state)
    for number, endpoints in tables.items():
        owned = policy.slices[number] = Slice(number)
        owned.desired.update(endpoints)
        owned.ordered.update(endpoints)
    return policy


def with_settings(**changes):
    """The settings, but for these."""
    return msgspec.structs.replace(SETTINGS, **changes)


def node_list(*entries, kind=NodeListKind.DELTA):
    """A node list of such entries."""
    return NodeListUpdate(kind, [NodeEntry(*entry) for entry in entries])


@pytest.mark.parametrize("state", ["draining", "removed"])
@pytest.mark.parametrize("lines, want", [({0: 1.0}, [1]), ({0: 1.0, 2: 1.0}, [2])])
def test_a_slice_leaves_a_node_that_goes(state, lines, want):
    policy = fleet([state, "up", "up"], {3: lines})
    evacuate(policy.state, 0)
    assert list(policy.slices[3].desired) == want


@pytest.mark.parametrize("fresh, stale", [(True, False), (False, True)])
def test_a_proxy_that_rejoins_gets_orders_for_withdrawals_it_may_hold(fresh, stale):
    policy = fleet(["up"], {})
    policy.handle(0, ProxyJoined(4, 0, 1.0, fresh))
    assert policy.nodes[0].joined_order_due is stale


@pytest.mark.parametrize(
    "room, lines", [(9000, {("set_endpoint", 3, 1, 1.0), ("set_withdrawn", 0, True)}), (25, set())]
)
def test_a_withdrawal_waits_for_the_slice_it_would_leave_without_an_endpoint(room, lines):
    policy, out = fleet(["up", "up"], {3: {0: 1.0}}), Orders()
    policy.channel.queue_limit = room
    policy.channel.unacknowledged = {proxy: deque() for proxy in (4, 5, 6)}
    policy.nodes[0].withdrawn = policy.nodes[0].order_due = True
    policy.slices[3].desired = {1: 1.0}
    policy.publisher.publish(0, out)
    assert {order for order in out if order[0] != "request_acknowledgement"} == lines


@pytest.mark.parametrize("trouble", ["restarted", "ejected"])
def test_the_last_nodes_are_never_withdrawn(trouble):
    policy = fleet(["up"], {3: {0: 1.0}})
    for node in policy.nodes.values():
        node.emptied = trouble != "restarted"
        node.ejected_until = S if trouble == "ejected" else 0
    evacuate(policy.state, 0)
    assert not any(node.must_withdraw(0) for node in policy.nodes.values())


@pytest.mark.parametrize("proved, wait, opened", [(False, 9 * S, False), (True, S // 2, False), (True, S, True)])
def test_an_exclusive_slice_opens_only_when_the_old_owner_is_surely_done(proved, wait, opened):
    policy, out = fleet(["up", "up"], {3: {0: 1.0}}, exclusive_slices=True), Orders()
    owned = policy.slices[3]
    policy.channel.unacknowledged[4] = deque()
    owned.desired, owned.ordered, owned.closing_watermark = {1: 1.0}, {}, 7
    if not proved:
        policy.channel.unacknowledged[4].append(7)
    policy.publisher.hand_over(0, owned, out)
    policy.publisher.hand_over(wait, owned, out)
    assert (out == [("set_endpoint", 3, 1, 1.0)]) is opened


@pytest.mark.parametrize("fresh, owners", [(True, [1, 0, 0]), (False, [0, 0, 0])])
def test_a_fresh_node_gains_one_slice_in_a_pass(fresh, owners):
    policy = fleet(["up", "up"], {number: {0: 1.0} for number in range(3)}, exclusive_slices=True)
    for owned in policy.slices.values():
        owned.ops_by_period.extend([1.0] * 5)
    policy.nodes[1].filling, policy.nodes[0].settled_at = fresh, 9 * S
    balance(policy.state, 0)
    assert [policy.slices[number].first_node() for number in range(3)] == owners


@pytest.mark.parametrize("binds, state, owner", [(False, "removed", 1), (True, "dropped", 0)])
def test_a_node_that_a_list_merely_drops_keeps_its_work_where_only_draining_binds(binds, state, owner):
    policy = fleet(["up", "up"], {3: {0: 1.0}}, only_draining_binds=binds)
    policy.handle(0, node_list((0, "removed", 0, 0, 1.0, None)))
    evacuate(policy.state, 0)
    assert policy.nodes[0].state is NodeState(state) and policy.slices[3].first_node() == owner


@pytest.mark.parametrize(
    "listed, binds, after, gone",
    [
        (True, False, S // 2, False),
        (True, False, S, True),
        (False, False, S, False),
        (True, True, S, False),
        (False, True, 6 * S, True),
    ],
)
def test_a_node_that_only_the_store_knows_is_gone_once_the_list_would_name_it(listed, binds, after, gone):
    """Its slices move and proxies are owned from it within the grace; with no list, or one that drops sound nodes, later."""
    policy, out = fleet(["up"], {}, only_draining_binds=binds), Orders()
    policy.listed = listed
    policy.handle(0, SliceOwnership(3, True))
    policy.handle(0, EndpointStored(3, 7, 1.0))
    for now in range(0, after + 1, S // 10):
        policy.round(now, [], out)
    assert (policy.slices[3].first_node() == 0) is (("set_withdrawn", 7, True) in out) is gone


@pytest.mark.parametrize(
    "split, heat, other, parts",
    [
        (0.45, 9.0, 1.0, [0, 1]),
        (0.45, 1.2, 6.0, [1]),
        (0.3, 1.2, 6.0, [0, 1]),
        (0.45, 0.1, 1.0, [0, 1]),
        (0.45, 0.1, 9.0, [1]),
    ],
)
def test_a_slice_too_hot_to_be_moved_is_split_and_joined_again(split, heat, other, parts):
    policy = fleet(["up", "up", "up"], {3: {0: 1.0}, 4: {2: 1.0}, 5: {0: 1.0}})
    policy.state.split_threshold = split
    for number, ops in ((3, heat), (4, 4.0), (5, other)):
        policy.slices[number].ops_by_period.extend([ops] * 5)
    if heat < 1:
        policy.slices[3].desired[1] = 1.0
    balance(policy.state, 0)
    assert list(policy.slices[3].desired) == parts


@pytest.mark.parametrize("ops, owners", [(1.0, [0, 0, 0, 0, 0, 1]), (100.0, [1, 0, 0, 0, 0, 1])])
def test_what_chance_may_have_done_moves_nothing(ops, owners):
    """A node at one and two thirds of the mean: in so few ops that tells nothing."""
    policy = fleet(["up", "up"], {number: {number // 5: 1.0} for number in range(6)}, exclusive_slices=True)
    for owned in policy.slices.values():
        owned.ops_by_period.extend([ops] * 5)
    balance(policy.state, 0)
    assert [owned.first_node() for owned in policy.slices.values()] == owners


@pytest.mark.parametrize(
    "state, named, held, ends",
    [
        ("removed", False, True, "forgotten"),
        ("dropped", False, True, "forgotten"),
        ("removed", False, False, "forgotten"),
        ("draining", False, True, "draining"),
        ("up", False, True, "up"),
        ("removed", True, True, "removed"),
    ],
)
def test_a_node_long_gone_is_let_in_again_and_forgotten(state, named, held, ends):
    policy, out = fleet([state, "up"], {3: {0: 1.0} if named else {1: 1.0}} if held else {}), Orders()
    policy.nodes[0].withdrawn = NodeState(state) in TO_EVACUATE
    for beat in range(600):
        policy.round(beat * S // 10, [], out)
        if named:
            policy.slices[3].ordered = {0: 1.0}  # the store is not rid of it
    assert (policy.nodes[0].state.value if 0 in policy.nodes else "forgotten") == ends
    assert (("forget_node", 0) in out) is (ends == "forgotten")
    if state == "removed" and held:
        assert (("set_withdrawn", 0, False) in out) is not named


@pytest.mark.parametrize("moves_from, owner", [(9 * S, 2), (0, 1)])
def test_an_assigner_that_knows_no_load_yet_gives_cold_nodes_nothing(moves_from, owner):
    policy = fleet(["removed", "up", "up"], {3: {0: 1.0}, 4: {2: 1.0}})
    policy.nodes[1].started_at, policy.state.moves_from_at = 0, moves_from
    for number, ops in ((3, 1.0), (4, 9.0)):
        policy.slices[number].ops_by_period.extend([ops] * 5)
    policy.nodes[2].periods.append(ReportSums(45.0, 0.0, 9.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    evacuate(policy.state, 5 * S)
    assert policy.slices[3].first_node() == owner


@pytest.mark.parametrize("proofs, lines", [([], 60), ([(4, 2)], 20), ([(4, 2), (5, 2), (6, 2)], 0)])
def test_one_proxys_acknowledgement_shows_that_all_older_messages_have_left(proofs, lines):
    channel = Channel(with_settings(message_overhead=4, queue_limit=600, message_window_ns=S, orders_per_s=100))
    channel.unacknowledged = {4: deque([1, 2]), 5: deque([1, 2]), 6: deque([1, 2])}
    channel.in_flight = {1: MessageInFlight(10, 3), 2: MessageInFlight(10, 3)}
    for proxy, mark in proofs:
        channel.acknowledge(proxy, mark)
    assert channel.queued() == lines


@pytest.mark.parametrize(
    "unproved, behind", [({}, 0), ({1: MessageInFlight(10, 3), 2: MessageInFlight(20, 1)}, S // 2)]
)
def test_a_message_says_how_long_what_waits_before_it_takes_to_leave(unproved, behind):
    settings = with_settings(message_overhead=4, queue_limit=600, message_window_ns=S, orders_per_s=100)
    channel, out = Channel(settings), Orders()
    channel.unacknowledged, channel.in_flight = {4: deque()}, unproved
    channel.send(0, 5, out)
    assert out == [("request_acknowledgement", 0, True, behind)]


@pytest.mark.parametrize("waiting, due, enough", [(0, 40, True), (0, 5, True), (20, 40, False), (20, 9, True)])
def test_orders_are_gathered_until_their_overhead_pays(waiting, due, enough):
    channel = Channel(with_settings(message_overhead=8, queue_limit=100, message_window_ns=S, orders_per_s=100))
    channel.unacknowledged[4] = deque()
    channel.in_flight = {1: MessageInFlight(waiting, 1)}
    assert (channel.room(0, 0.4, 0, due) > 0) is enough


@pytest.mark.parametrize("own, time", [(6.0, 0.5), (0.0, None)])
def test_a_slow_way_between_zones_does_not_strain_the_fleet(own, time):
    node = Node(0, 0)
    node.periods.append(ReportSums(18.0, 0.0, 36.0, own, 0.0, own / 2, 0.0, 0.0))
    assert node.zone_latency_s(2) == time


@pytest.mark.parametrize("slices, told", [({3: {1: 1.0}}, True), ({}, False)])
def test_an_assigner_without_slices_orders_nothing_that_no_proxy_would_acknowledge(slices, told):
    policy, out = fleet(["removed", "up"], slices), Orders()
    policy.channel.unacknowledged[4] = deque()
    policy.nodes[0].withdrawn = policy.nodes[0].order_due = True
    policy.round(0, [], out)
    assert bool(policy.channel.in_flight) is told


@pytest.mark.parametrize(
    "state, late, told", [("draining", False, False), ("draining", True, True), ("up", False, True)]
)
def test_late_drains_and_restarted_nodes_do_not_wait_for_slices_without_other_endpoints(state, late, told):
    policy, out = fleet([state, "up"], {3: {0: 1.0}}), Orders()
    policy.nodes[0].emptied = state == "draining"
    policy.nodes[0].withdrawn = policy.nodes[0].order_due = True
    policy.slices[3].desired = {0: 1.0}
    policy.publisher.publish(3 * S if late else 0, out)
    assert (("set_withdrawn", 0, True) in out) is told


@pytest.mark.parametrize("shed, came", [(0.0, 5.0), (0.5, 0.0)])
def test_ops_that_come_again_after_rejection_do_not_raise_what_is_shed(shed, came):
    policy = fleet(["up"], {3: {0: 1.0}})
    policy.shedder.ops, policy.shedder.shed = [0.0], shed
    policy.handle(0, SliceReport(3, 0, 5.0, 0.0, S))
    assert policy.shedder.ops == [came]


@pytest.mark.parametrize("acked, let_in, shed", [(5.0, 5.0, 0.55), (1.0, 1.0, 0.568), (5.0, 20.0, 0.8)])
def test_what_a_node_acknowledged_at_best_and_what_is_admitted_bound_what_is_shed(acked, let_in, shed):
    node, shedder = Node(0, 0), LoadShedder(with_settings(admission="share", op_types=(OpTypeSettings(S, 1.0),)))
    node.state, shedder.ops = NodeState.UP, [50.0]
    shedder.best_acknowledged = 5.0 / 0.98 if acked == 5.0 else 4.92
    node.periods.append(ReportSums(2 * let_in, 2 * (let_in - acked), 1.0, 1.0, 0.0, 1.0, 0.0, 0.0))
    shedder.close_period([node])
    assert round(shedder.shed, 3) == shed


@pytest.mark.parametrize("failed, strained, barred", [(20.0, False, True), (20.0, True, False), (9.0, False, False)])
def test_only_a_node_that_fails_most_of_its_ops_is_ejected(failed, strained, barred):
    policy = fleet(["up"] * 5, {})
    for node in policy.nodes.values():
        node.periods.append(ReportSums(20.0, failed if node.index == 3 else 0.0, 9.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    eject_unhealthy(0, policy.nodes.values(), strained)
    assert [node.index for node in policy.nodes.values() if node.must_withdraw(1)] == ([3] if barred else [])


@pytest.mark.parametrize(
    "load, dear", [({"utilization": 0.8, "acknowledged_per_s": 8.0}, True), ({"in_flight": 3.0}, False)]
)
def test_a_node_that_tells_what_an_op_uses_of_it_is_weighed_by_that(load, dear):
    policy = fleet(["up"] * 3, {})
    policy.state.moves_from_at = 9 * S
    for index in range(3):
        told = load if index == 2 or not dear else {"utilization": 0.2, "acknowledged_per_s": 8.0}
        policy.handle(0, NodeReport(index, 0, 20.0, 0.0, S, S, told))
    policy.close_period(S)
    weights = FleetLoad(policy.state, S).weights
    assert (weights[2] == weights[0] / 2) is dear


@pytest.mark.parametrize("state, first", [("up", 4), ("removed", 3)])
def test_endpoints_that_keep_a_node_from_being_let_in_go_first(state, first):
    policy, out = fleet(["removed", state, "up"], {3: {0: 1.0, 2: 1.0}, 4: {1: 1.0, 2: 1.0}}), Orders()
    for number in (3, 4):
        policy.slices[number].desired = {2: 1.0}
    policy.nodes[0].withdrawn = policy.nodes[1].withdrawn = True
    policy.publisher.publish(0, out)
    assert out[0][1] == first


@pytest.mark.parametrize("reports, owners", [(1, {1, 2}), (5, {1})])
def test_slices_of_a_take_over_do_not_all_go_to_the_idlest_node(reports, owners):
    policy = fleet(["removed", "up", "up"], {number: {0: 1.0} for number in range(4)} | {8: {1: 1.0}, 9: {2: 1.0}})
    for number, owned in policy.slices.items():
        owned.ops_by_period.extend([0.5] * 5 if number > 7 else [0.0] * reports)
    evacuate(policy.state, 0)
    assert {policy.slices[number].first_node() for number in range(4)} == owners


@pytest.mark.parametrize("most, lines, parts", [(2, [0, 1], 2), (4, [0, 1], 3), (4, [0, 1, 2, 3], 4)])
def test_a_slice_gets_more_endpoints_where_proxies_pick_from_two(most, lines, parts):
    policy = fleet(["up"] * 6, {3: dict.fromkeys(lines, 1.0), 4: {0: 1.0}})
    policy.state.split_threshold, policy.state.most_endpoints = 0.3, most
    for owned in policy.slices.values():
        owned.ops_by_period.extend([9.0] * 5)
    balance(policy.state, 0)
    assert len(policy.slices[3].desired) == parts


@pytest.mark.parametrize(
    "known, listed, state, stripped",
    [(9 * S, ("up", 8 * S), "up", True), (9 * S, ("up", None), "up", True), (8 * S, ("up", 9 * S), "up", False)],
)
@pytest.mark.parametrize("before", ["up", "draining"])
def test_an_older_list_takes_back_no_drain_and_empties_no_node(before, known, listed, state, stripped):
    policy = fleet([before], {3: {0: 1.0}})
    policy.nodes[0].started_at = known
    policy.handle(10 * S, node_list((0, listed[0], 0, 0, 1.0, listed[1])))
    node = policy.nodes[0]
    assert (node.state, node.emptied) == (NodeState(before if stripped else state), stripped)
    assert node.started_at == max(known, listed[1] or 0)


@pytest.mark.parametrize("nodes, barred", [(6, 1), (24, 3)])
def test_no_more_than_a_seventh_is_ejected_when_a_zone_is_lost(nodes, barred):
    policy = fleet(["up"] * nodes, {})
    for node in policy.nodes.values():
        node.periods.append(ReportSums(20.0, 20.0 if node.index % 3 == 0 else 0.0, 9.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    eject_unhealthy(0, policy.nodes.values(), False)
    assert sum(node.must_withdraw(1) for node in policy.nodes.values()) == barred


@pytest.mark.parametrize(
    "starts, now, held_for",
    [
        ((5,), 6, 0),
        ((5, 20), 21, 12),
        ((5, 20, 40), 41, 24),
        ((5, 20, 40, 50), 51, 48),
        ((5, 20, 40, 50, 58), 59, 48),
        ((5, 80), 81, 0),
    ],
)
def test_a_node_that_starts_more_than_once_in_a_minute_is_given_nothing_for_longer_each_time(starts, now, held_for):
    policy = fleet(["up", "up"], {})
    for start in starts:
        policy.handle(start * S + 1, node_list((0, "up", 0, 0, 1.0, start * S)))
    held = policy.nodes[0].flapping_until
    assert max(0, held - (starts[-1] * S + 1)) == held_for * S
    policy.nodes[0].emptied, policy.state.moves_from_at = True, 0
    policy.slices[3] = owned = Slice(3)
    owned.ops_by_period.extend([4.0] * 5)
    policy.nodes[1].periods.append(ReportSums(100.0, 0.0, 1.0, 100.0, 0.0, 1.0))
    evacuate(policy.state, now * S)
    assert list(owned.desired) == ([1] if held_for else [0])


def test_a_flapping_node_is_used_where_nothing_else_lives():
    policy = fleet(["up", "removed"], {3: {1: 1.0}})
    policy.nodes[0].flapping_until = 99 * S
    evacuate(policy.state, 0)
    assert list(policy.slices[3].desired) == [0]


def meeting(states, tables, heats):
    """A fleet whose slices have five reports of so many ops a second each, among conductors that hear each other."""
    policy = fleet(states, tables)
    policy.talks, policy.state.period_ns, policy.shedder.ops = True, S, [0.0]
    for number, ops in heats.items():
        policy.slices[number].ops_by_period.extend([ops] * 5)
    return policy


@pytest.mark.parametrize("told_at, loads", [(0, {0: 20, 1: 5, 2: 30}), (-10 * S, {0: 20, 1: 0, 2: 0})])
def test_what_peers_bring_to_a_node_counts_while_it_is_new(told_at, loads):
    policy = meeting(["up", "up", "up"], {3: {0: 1.0}, 4: {0: 1.0}}, {3: 10, 4: 10})
    policy.handle(told_at, PeerLoads(7, [(0, 0.0), (1, 5.0), (2, 30.0), (99, 1.0)]))
    assert FleetLoad(policy.state, 0).loads == loads


def test_slices_that_all_assigners_evacuate_at_once_do_not_all_go_to_the_idlest_node():
    policy = meeting(["removed", *["up"] * 4], {number: {0: 1.0} for number in range(8)}, dict.fromkeys(range(8), 2))
    for sender in range(4):
        policy.handle(0, PeerLoads(sender, [(1, 0.0), (2, 1.0), (3, 2.0), (4, 4.0)]))
    evacuate(policy.state, 0)
    owners = [owned.first_node() for owned in policy.slices.values()]
    assert max(map(owners.count, owners)) <= 3  # alone it would give the idlest five of the eight


def test_fresh_nodes_are_filled_though_the_fullest_node_has_no_endpoint_that_fits():
    # Node 0 has one slice that is too hot for any; the others' slices fit.
    policy = meeting(
        ["up"] * 6, {0: {0: 1.0}, 1: {1: 1.0}, 2: {1: 1.0}, 3: {2: 1.0}, 4: {2: 1.0}}, {0: 40, 1: 9, 2: 9, 3: 9, 4: 9}
    )
    policy.nodes[3].filling = policy.nodes[4].filling = True
    policy.state.most_endpoints = 1
    balance(policy.state, 0)
    owners = [owned.first_node() for owned in policy.slices.values()]
    assert {3, 4} <= set(owners)


@pytest.mark.parametrize("may_tell, conductors, shared", [(True, 2, 1), (True, 1, 0), (False, 2, 0)])
def test_loads_are_shared_once_a_pass_where_there_are_peers(may_tell, conductors, shared):
    policy = Policy(0, 1, with_settings(peers_may_talk=may_tell, assigners=conductors))
    policy.state.node(0, 0).state, out = "up", Orders()
    for now in range(0, S, S // 50):
        policy.round(now, [], out)
    assert [order[0] for order in out].count("share_loads") == shared


@pytest.mark.parametrize(
    "newest, boots, leaves",
    [(3, (0, -20 * S), False), (9, (0, -20 * S), True), (9, (-20 * S, -20 * S), False), (9, (0, 0), False)],
)
def test_a_slice_that_heats_up_leaves_a_cold_node_on_the_first_report_of_it(newest, boots, leaves):
    policy = meeting(["up", "up"], {3: {0: 1.0}, 4: {1: 1.0}}, {3: 1, 4: 20})
    for node, tries, boot in zip(policy.nodes.values(), (1, 20), boots):
        node.started_at = boot
        node.periods.extend([ReportSums(tries, 0, tries / 10)] * 5)
    policy.handle(0, SliceReport(3, 0, newest, 0, S))
    policy.round(0, [], Orders())
    assert (policy.slices[3].first_node() == 1) is leaves


@pytest.mark.parametrize(
    "answered, left, told_at, untold",
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
def test_a_proxy_that_was_here_gets_orders_for_no_more_than_it_may_have_missed(answered, left, told_at, untold):
    policy = fleet(["up"], {})
    policy.handle(0, ProxyJoined(4, 0, 1.0, True))
    policy.channel.send(2 * S, 1, Orders())
    if answered:
        policy.handle(int(2.5 * S), WatermarkAcknowledged(4, 0, 0))
    if left:
        policy.handle(3 * S, ProxyLeft(4))
    policy.nodes[0].ordered_at = told_at
    policy.handle(5 * S, ProxyJoined(4, 0, 1.0, False))
    assert policy.nodes[0].joined_order_due is untold


@pytest.mark.parametrize("fresh, at, untold", [(False, 1, True), (True, 1, False), (False, 9, False)])
def test_a_node_first_known_while_a_restart_settles_is_ordered_too(fresh, at, untold):
    policy = fleet([], {})
    policy.handle(0, ProxyJoined(4, 0, 1.0, fresh))
    policy.handle(0, SliceOwnership(3, True))
    assert policy.state.node(7, at * S).joined_order_due is untold


def test_a_slice_that_is_split_gives_the_new_one_its_share_of_the_load_and_no_endpoint():
    policy = fleet(["up"], {3: {0: 1.0}})
    policy.slices[3].ops_by_period.extend([8.0, 4.0])
    policy.handle(0, SliceSplit(3, 9, 0.25))
    assert list(policy.slices[3].ops_by_period) == [6.0, 3.0] and list(policy.slices[9].ops_by_period) == [2.0, 1.0]
    assert policy.slices[3].desired == {0: 1.0} and policy.slices[9].desired == {}


def test_the_settings_that_decisions_need_are_read_from_those_of_the_wire():
    settings = PolicySettings.from_mapping(
        decode.read_settings(
            {"Categories": [{"Name": "look", "Target": 250.0, "Importance": 3.0}]}, decode.Ids(str), "test"
        )
    )
    assert settings.op_types == (OpTypeSettings(S // 4, 3.0),) and settings.report_interval_ns == S
    assert settings.load_window_ns is None and settings.assigners == 1


def test_every_module_of_the_policy_is_named_in_the_deploy_file():
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(named) == sorted(str(path.relative_to(ROOT)) for path in (ROOT / "kestrelplank/policy").glob("*.py"))
