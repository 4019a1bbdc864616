from collections import deque

import pytest

from kestrelplank.policy import Conductor
from kestrelplank.policy.channel import Channel
from kestrelplank.policy.levels import Levels
from kestrelplank.policy.node import GONE, Node, Slice

S = 1_000_000_000
SETTINGS = dict(
    envelope=8,
    most_waiting=6000,
    most_messages=0,
    messages_span=10 * S,
    subscribe=False,
    report_every=S,
    cold_from=0.2,
    warm_up=10 * S,
    exclusive=False,
    usual_again=1,
    only_draining_binds=False,
    write_life=S,
    lease=S,
    fall_multiple=3.0,
    grace=2 * S,
    levels="",
    op_types=[],
    pick="random",
    lines_per_s=6000,
    may_tell=False,
    conductors=2,
)


class Orders(list):
    """A writer that keeps what it was told as tuples."""

    def __getattr__(self, word):
        return lambda *fields: self.append((word, *fields))


def fleet(states, tables):
    conductor = Conductor(0, 1, SETTINGS)
    for index, state in enumerate(states):
        conductor.node(index, 0).state = state
    for number, lines in tables.items():
        kept = conductor.slices[number] = Slice(number)
        kept.want.update(lines)
        kept.sent.update(lines)
    return conductor


@pytest.mark.parametrize("state", ["draining", "removed"])
@pytest.mark.parametrize("lines, want", [({0: 1.0}, [1]), ({0: 1.0, 2: 1.0}, [2])])
def test_a_slice_leaves_a_node_that_goes(state, lines, want):
    conductor = fleet([state, "up", "up"], {3: lines})
    conductor.evacuate(0)
    assert list(conductor.slices[3].want) == want


@pytest.mark.parametrize("fresh, stale", [(True, False), (False, True)])
def test_a_proxy_that_rejoins_is_told_of_withdrawals_it_may_hold(fresh, stale):
    conductor = fleet(["up"], {})
    conductor.on_joined(0, 4, 0, 1.0, fresh)
    assert conductor.nodes[0].untold is stale


@pytest.mark.parametrize("room, lines", [(9000, {("line", 3, 1, 1.0), ("take_out", 0, True)}), (25, set())])
def test_a_withdrawal_waits_for_the_slice_it_would_leave_bare(room, lines):
    conductor, out = fleet(["up", "up"], {3: {0: 1.0}}), Orders()
    conductor.channel.most_waiting = room
    conductor.channel.waiting = {proxy: deque() for proxy in (4, 5, 6)}
    conductor.nodes[0].out = conductor.nodes[0].stale = True
    conductor.slices[3].want = {1: 1.0}
    conductor.flush(0, out)
    assert {order for order in out if order[0] != "mark"} == lines


@pytest.mark.parametrize("trouble", ["restarted", "barred"])
def test_the_last_nodes_are_never_taken_out(trouble):
    conductor = fleet(["up"], {3: {0: 1.0}})
    for node in conductor.nodes.values():
        node.stripped = trouble != "restarted"
        node.barred_until = S if trouble == "barred" else 0
    conductor.evacuate(0)
    assert not any(node.shut(0) for node in conductor.nodes.values())


@pytest.mark.parametrize("proved, wait, opened", [(False, 9 * S, False), (True, S // 2, False), (True, S, True)])
def test_an_exclusive_slice_opens_only_when_the_old_owner_is_surely_done(proved, wait, opened):
    conductor, out = fleet(["up", "up"], {3: {0: 1.0}}), Orders()
    kept, conductor.exclusive = conductor.slices[3], True
    conductor.channel.waiting[4] = deque()
    kept.want, kept.sent, kept.closing = {1: 1.0}, {}, 7
    if not proved:
        conductor.channel.waiting[4].append(7)
    conductor.hand_over(0, kept, out)
    conductor.hand_over(wait, kept, out)
    assert (out == [("line", 3, 1, 1.0)]) is opened


@pytest.mark.parametrize("fresh, owners", [(True, [1, 0, 0]), (False, [0, 0, 0])])
def test_a_fresh_node_gains_one_slice_in_a_turn(fresh, owners):
    conductor = fleet(["up", "up"], {number: {0: 1.0} for number in range(3)})
    for kept in conductor.slices.values():
        kept.past.extend([1.0] * 5)
    conductor.nodes[1].fresh, conductor.nodes[0].settles_at, conductor.exclusive = fresh, 9 * S, True
    conductor.turn(0)
    assert [conductor.slices[number].owner() for number in range(3)] == owners


@pytest.mark.parametrize("binds, state, owner", [(False, "removed", 1), (True, "dropped", 0)])
def test_a_node_that_a_list_merely_drops_keeps_its_work_where_only_draining_binds(binds, state, owner):
    conductor = fleet(["up", "up"], {3: {0: 1.0}})
    conductor.only_draining = binds
    conductor.on_roster(0, "delta", [(0, "removed", 0, 0, 1.0, None)])
    conductor.evacuate(0)
    assert conductor.nodes[0].state == state and conductor.slices[3].owner() == owner


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
    """Its slices move and proxies are kept from it within the grace; with no list, or one that drops sound nodes, later."""
    conductor, out = fleet(["up"], {}), Orders()
    conductor.listed, conductor.only_draining = listed, binds
    conductor.on_tenure(0, 3, True)
    conductor.on_line(0, 3, 7, 1.0)
    for now in range(0, after + 1, S // 10):
        conductor.round(now, [], out)
    assert (conductor.slices[3].owner() == 0) is (("take_out", 7, True) in out) is gone


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
def test_a_slice_too_hot_to_be_moved_is_split_and_folded_back(split, heat, other, parts):
    conductor = fleet(["up", "up", "up"], {3: {0: 1.0}, 4: {2: 1.0}, 5: {0: 1.0}})
    conductor.split = split
    for number, ops in ((3, heat), (4, 4.0), (5, other)):
        conductor.slices[number].past.extend([ops] * 5)
    if heat < 1:
        conductor.slices[3].want[1] = 1.0
    conductor.turn(0)
    assert list(conductor.slices[3].want) == parts


@pytest.mark.parametrize("ops, owners", [(1.0, [0, 0, 0, 0, 0, 1]), (100.0, [1, 0, 0, 0, 0, 1])])
def test_what_chance_may_have_done_moves_nothing(ops, owners):
    """A node at one and two thirds of the mean: in so few ops that tells nothing."""
    conductor = fleet(["up", "up"], {number: {number // 5: 1.0} for number in range(6)})
    conductor.exclusive = True
    for kept in conductor.slices.values():
        kept.past.extend([ops] * 5)
    conductor.turn(0)
    assert [kept.owner() for kept in conductor.slices.values()] == owners


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
    conductor, out = fleet([state, "up"], {3: {0: 1.0} if named else {1: 1.0}} if held else {}), Orders()
    conductor.nodes[0].out = state in GONE
    for beat in range(600):
        conductor.round(beat * S // 10, [], out)
        if named:
            conductor.slices[3].sent = {0: 1.0}  # the store is not rid of it
    assert (conductor.nodes[0].state if 0 in conductor.nodes else "forgotten") == ends
    assert (("forget", 0) in out) is (ends == "forgotten")
    if state == "removed" and held:
        assert (("take_out", 0, False) in out) is not named


@pytest.mark.parametrize("moves_from, owner", [(9 * S, 2), (0, 1)])
def test_a_conductor_that_knows_no_heat_yet_gives_cold_nodes_nothing(moves_from, owner):
    conductor = fleet(["removed", "up", "up"], {3: {0: 1.0}, 4: {2: 1.0}})
    conductor.nodes[1].boot, conductor.moves_from = 0, moves_from
    for number, ops in ((3, 1.0), (4, 9.0)):
        conductor.slices[number].past.extend([ops] * 5)
    conductor.nodes[2].past.append((45.0, 0.0, 9.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    conductor.evacuate(5 * S)
    assert conductor.slices[3].owner() == owner


@pytest.mark.parametrize("proofs, lines", [([], 60), ([(4, 2)], 20), ([(4, 2), (5, 2), (6, 2)], 0)])
def test_one_proxys_proof_shows_that_all_older_messages_have_left(proofs, lines):
    channel = Channel(4, 600, 0, S, 100)
    channel.waiting = {4: deque([1, 2]), 5: deque([1, 2]), 6: deque([1, 2])}
    channel.unproved = {1: [10, 3], 2: [10, 3]}
    for proxy, mark in proofs:
        channel.applied(proxy, mark)
    assert sum(cost * left for cost, left in channel.unproved.values()) == lines


@pytest.mark.parametrize("unproved, behind", [({}, 0), ({1: [10, 3], 2: [20, 1]}, S // 2)])
def test_a_message_says_how_long_what_waits_before_it_takes_to_leave(unproved, behind):
    channel, out = Channel(4, 600, 0, S, 100), Orders()
    channel.waiting, channel.unproved = {4: deque()}, unproved
    channel.send(0, 5, out)
    assert out == [("mark", 0, True, behind)]


@pytest.mark.parametrize("waiting, due, enough", [(0, 40, True), (0, 5, True), (20, 40, False), (20, 9, True)])
def test_orders_are_gathered_until_their_envelopes_pay(waiting, due, enough):
    channel = Channel(8, 100, 0, S, 100)
    channel.waiting[4] = deque()
    channel.unproved = {1: [waiting, 1]}
    assert (channel.room(0, 0.4, 0, due) > 0) is enough


@pytest.mark.parametrize("own, time", [(6.0, 0.5), (0.0, None)])
def test_a_slow_way_between_zones_does_not_strain_the_fleet(own, time):
    node = Node(0, 0)
    node.past.append((18.0, 0.0, 36.0, own, 0.0, own / 2, 0.0, 0.0))
    assert node.time(2) == time


@pytest.mark.parametrize("slices, told", [({3: {1: 1.0}}, True), ({}, False)])
def test_a_conductor_without_slices_tells_nothing_that_no_proxy_would_prove(slices, told):
    conductor, out = fleet(["removed", "up"], slices), Orders()
    conductor.channel.waiting[4] = deque()
    conductor.nodes[0].out = conductor.nodes[0].stale = True
    conductor.round(0, [], out)
    assert bool(conductor.channel.unproved) is told


@pytest.mark.parametrize(
    "state, late, told", [("draining", False, False), ("draining", True, True), ("up", False, True)]
)
def test_late_drains_and_restarted_nodes_do_not_wait_for_bare_slices(state, late, told):
    conductor, out = fleet([state, "up"], {3: {0: 1.0}}), Orders()
    conductor.nodes[0].stripped = state == "draining"
    conductor.nodes[0].out = conductor.nodes[0].stale = True
    conductor.slices[3].want = {0: 1.0}
    conductor.flush(3 * S if late else 0, out)
    assert (("take_out", 0, True) in out) is told


@pytest.mark.parametrize("shed, came", [(0.0, 5.0), (0.5, 0.0)])
def test_ops_that_come_again_after_rejection_do_not_raise_what_is_shed(shed, came):
    conductor = fleet(["up"], {3: {0: 1.0}})
    conductor.levels.came, conductor.levels.shed = [0.0], shed
    conductor.on_heat(0, 3, 0, 5.0, 0.0, S)
    assert conductor.levels.came == [came]


@pytest.mark.parametrize("acked, let_in, shed", [(5.0, 5.0, 0.55), (1.0, 1.0, 0.568), (5.0, 20.0, 0.8)])
def test_what_a_node_acked_at_best_and_what_is_let_in_bound_what_is_shed(acked, let_in, shed):
    node, levels = Node(0, 0), Levels("share", [dict(target_latency=S, value=1)])
    node.state, levels.came, levels.best = "up", [50.0], 5.0 / 0.98 if acked == 5.0 else 4.92
    node.past.append((2 * let_in, 2 * (let_in - acked), 1.0, 1.0, 0.0, 1.0, 0.0, 0.0))
    levels.close([node])
    assert round(levels.shed, 3) == shed


@pytest.mark.parametrize("failed, strained, barred", [(20.0, False, True), (20.0, True, False), (9.0, False, False)])
def test_only_a_node_that_fails_most_of_its_ops_is_barred(failed, strained, barred):
    conductor = fleet(["up"] * 5, {})
    for node in conductor.nodes.values():
        node.past.append((20.0, failed if node.index == 3 else 0.0, 9.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    conductor.health.judge(0, conductor.nodes.values(), strained)
    assert [node.index for node in conductor.nodes.values() if node.shut(1)] == ([3] if barred else [])


@pytest.mark.parametrize("load, dear", [({"util": 0.8, "acked_per_s": 8.0}, True), ({"inflight": 3.0}, False)])
def test_a_node_that_tells_what_an_op_uses_of_it_is_weighed_by_that(load, dear):
    conductor = fleet(["up"] * 3, {})
    conductor.moves_from = 9 * S
    for index in range(3):
        conductor.on_tries(
            0, index, 0, 20.0, 0.0, S, S, load if index == 2 or not dear else {"util": 0.2, "acked_per_s": 8.0}
        )
    conductor.close_period(S)
    worth = conductor.survey(S)[0]
    assert (worth[2] == worth[0] / 2) is dear


@pytest.mark.parametrize("state, first", [("up", 4), ("removed", 3)])
def test_lines_that_keep_a_node_from_being_let_in_go_first(state, first):
    conductor, out = fleet(["removed", state, "up"], {3: {0: 1.0, 2: 1.0}, 4: {1: 1.0, 2: 1.0}}), Orders()
    for number in (3, 4):
        conductor.slices[number].want = {2: 1.0}
    conductor.nodes[0].out = conductor.nodes[1].out = True
    conductor.flush(0, out)
    assert out[0][1] == first


@pytest.mark.parametrize("reports, owners", [(1, {1, 2}), (5, {1})])
def test_slices_of_a_take_over_do_not_all_go_to_the_idlest_node(reports, owners):
    conductor = fleet(["removed", "up", "up"], {number: {0: 1.0} for number in range(4)} | {8: {1: 1.0}, 9: {2: 1.0}})
    for number, kept in conductor.slices.items():
        kept.past.extend([0.5] * 5 if number > 7 else [0.0] * reports)
    conductor.evacuate(0)
    assert {conductor.slices[number].owner() for number in range(4)} == owners


@pytest.mark.parametrize("most, lines, parts", [(2, [0, 1], 2), (4, [0, 1], 3), (4, [0, 1, 2, 3], 4)])
def test_a_slice_gets_more_lines_where_proxies_pick_from_two(most, lines, parts):
    conductor = fleet(["up"] * 6, {3: dict.fromkeys(lines, 1.0), 4: {0: 1.0}})
    conductor.split, conductor.most_lines = 0.3, most
    for kept in conductor.slices.values():
        kept.past.extend([9.0] * 5)
    conductor.turn(0)
    assert len(conductor.slices[3].want) == parts


@pytest.mark.parametrize(
    "known, listed, state, stripped",
    [(9 * S, ("up", 8 * S), "up", True), (9 * S, ("up", None), "up", True), (8 * S, ("up", 9 * S), "up", False)],
)
@pytest.mark.parametrize("before", ["up", "draining"])
def test_an_older_list_takes_back_no_drain_and_strips_no_node(before, known, listed, state, stripped):
    conductor = fleet([before], {3: {0: 1.0}})
    conductor.nodes[0].boot = known
    conductor.on_roster(10 * S, "delta", [(0, listed[0], 0, 0, 1.0, listed[1])])
    node = conductor.nodes[0]
    assert (node.state, node.stripped) == (before if stripped else state, stripped)
    assert node.boot == max(known, listed[1] or 0)


@pytest.mark.parametrize("nodes, barred", [(6, 1), (24, 3)])
def test_no_more_than_a_seventh_is_barred_when_a_zone_is_lost(nodes, barred):
    conductor = fleet(["up"] * nodes, {})
    for node in conductor.nodes.values():
        node.past.append((20.0, 20.0 if node.index % 3 == 0 else 0.0, 9.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    conductor.health.judge(0, conductor.nodes.values(), False)
    assert sum(node.shut(1) for node in conductor.nodes.values()) == barred


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
    conductor = fleet(["up", "up"], {})
    for start in starts:
        conductor.on_roster(start * S + 1, "delta", [(0, "up", 0, 0, 1.0, start * S)])
    held = conductor.nodes[0].held_until
    assert max(0, held - (starts[-1] * S + 1)) == held_for * S
    conductor.nodes[0].stripped, conductor.moves_from = True, 0
    conductor.slices[3] = kept = Slice(3)
    kept.past.extend([4.0] * 5)
    conductor.nodes[1].past.append((100.0, 0.0, 1.0) * 2 + (0.0, 0.0))
    conductor.evacuate(now * S)
    assert list(kept.want) == ([1] if held_for else [0])


def test_a_flapping_node_is_used_where_nothing_else_lives():
    conductor = fleet(["up", "removed"], {3: {1: 1.0}})
    conductor.nodes[0].held_until = 99 * S
    conductor.evacuate(0)
    assert list(conductor.slices[3].want) == [0]


def meeting(states, tables, heats):
    """A fleet whose slices have five reports of so many ops a second each, among conductors that hear each other."""
    conductor = fleet(states, tables)
    conductor.tells, conductor.period, conductor.levels.came = True, S, [0.0]
    for number, ops in heats.items():
        conductor.slices[number].past.extend([ops] * 5)
    return conductor


@pytest.mark.parametrize("told_at, loads", [(0, {0: 20, 1: 5, 2: 30}), (-10 * S, {0: 20, 1: 0, 2: 0})])
def test_what_other_conductors_bring_to_a_node_counts_while_it_is_new(told_at, loads):
    conductor = meeting(["up", "up", "up"], {3: {0: 1.0}, 4: {0: 1.0}}, {3: 10, 4: 10})
    conductor.on_shared(told_at, 7, [(0, 0.0), (1, 5.0), (2, 30.0), (99, 1.0)])
    assert conductor.survey(0)[1] == loads


def test_slices_that_all_conductors_evacuate_at_once_do_not_all_go_to_the_idlest_node():
    conductor = meeting(["removed", *["up"] * 4], {number: {0: 1.0} for number in range(8)}, dict.fromkeys(range(8), 2))
    for sender in range(4):
        conductor.on_shared(0, sender, [(1, 0.0), (2, 1.0), (3, 2.0), (4, 4.0)])
    conductor.evacuate(0)
    owners = [kept.owner() for kept in conductor.slices.values()]
    assert max(map(owners.count, owners)) <= 3  # alone it would give the idlest five of the eight


def test_fresh_nodes_are_filled_though_the_fullest_node_has_no_line_that_fits():
    # Node 0 has one slice that is too hot for any; the others' slices fit.
    conductor = meeting(
        ["up"] * 6, {0: {0: 1.0}, 1: {1: 1.0}, 2: {1: 1.0}, 3: {2: 1.0}, 4: {2: 1.0}}, {0: 40, 1: 9, 2: 9, 3: 9, 4: 9}
    )
    conductor.nodes[3].fresh = conductor.nodes[4].fresh = True
    conductor.most_lines = 1
    conductor.turn(0)
    owners = [kept.owner() for kept in conductor.slices.values()]
    assert {3, 4} <= set(owners)


@pytest.mark.parametrize("may_tell, conductors, shared", [(True, 2, 1), (True, 1, 0), (False, 2, 0)])
def test_loads_are_told_once_a_turn_where_there_is_somebody_to_hear_them(may_tell, conductors, shared):
    conductor = Conductor(0, 1, {**SETTINGS, "may_tell": may_tell, "conductors": conductors})
    conductor.node(0, 0).state, out = "up", Orders()
    for now in range(0, S, S // 50):
        conductor.round(now, [], out)
    assert [order[0] for order in out].count("share") == shared


@pytest.mark.parametrize(
    "newest, boots, leaves",
    [(3, (0, -20 * S), False), (9, (0, -20 * S), True), (9, (-20 * S, -20 * S), False), (9, (0, 0), False)],
)
def test_a_slice_that_heats_up_leaves_a_cold_node_on_the_first_report_of_it(newest, boots, leaves):
    conductor = meeting(["up", "up"], {3: {0: 1.0}, 4: {1: 1.0}}, {3: 1, 4: 20})
    for node, tries, boot in zip(conductor.nodes.values(), (1, 20), boots):
        node.boot, node.past = boot, deque([(tries, 0, tries / 10, 0, 0, 0, 0, 0)] * 5, maxlen=5)
    conductor.on_heat(0, 3, 0, newest, 0, S)
    conductor.round(0, [], Orders())
    assert (conductor.slices[3].owner() == 1) is leaves


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
def test_a_proxy_that_was_here_is_told_of_no_more_than_it_may_have_missed(answered, left, told_at, untold):
    conductor = fleet(["up"], {})
    conductor.on_joined(0, 4, 0, 1.0, True)
    conductor.channel.send(2 * S, 1, Orders())
    if answered:
        conductor.on_applied(int(2.5 * S), 4, 0, 0)
    if left:
        conductor.on_left(3 * S, 4)
    conductor.nodes[0].told_at = told_at
    conductor.on_joined(5 * S, 4, 0, 1.0, False)
    assert conductor.nodes[0].untold is untold


@pytest.mark.parametrize("fresh, at, untold", [(False, 1, True), (True, 1, False), (False, 9, False)])
def test_a_node_first_heard_of_while_a_restart_settles_is_told_too(fresh, at, untold):
    conductor = fleet([], {})
    conductor.on_joined(0, 4, 0, 1.0, fresh)
    conductor.on_tenure(0, 3, True)
    assert conductor.node(7, at * S).untold is untold
