import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.state.node_set import ListedNode, NodeSet
from kestrelplank.state.reported_nodes import ReportedNodes, ReportSettings

S = 1_000_000_000


def nodes(**listed):
    return NodeSet(
        {name: ListedNode("x", f"10.0.0.1:{port}", *more) for port, (name, more) in enumerate(listed.items())}
    )


def made(*steps, grace=2 * S, weight_step=0.0):
    """What each step told: a step is (now, set or None)."""
    reported, told = ReportedNodes(ReportSettings(grace, weight_step)), []
    for now, new in steps:
        if new is not None:
            reported.accept(now, new)
        told.append([(name, condition, weight, boot) for name, condition, _, _, weight, boot in reported.advance(now)])
    return reported, told


def test_the_first_nodes_have_long_been_there_and_later_ones_come_cold():
    _, told = made((0, nodes(a=())), (5, nodes(a=(), b=())))
    assert told == [[("a", "up", 1.0, None)], [("b", "up", 1.0, 5)]]


def test_a_node_that_vanished_drains_for_the_grace_and_is_gone_then():
    reported, told = made((0, nodes(a=(), b=())), (S, nodes(a=())), (3 * S - 1, None), (3 * S, None), (9 * S, None))
    assert told[1:] == [[("b", "draining", 1.0, None)], [], [("b", "removed", 1.0, None)], []]
    assert reported.due_at(9 * S) is None and [entry[0] for entry in reported.all_entries()] == ["a"]


@pytest.mark.parametrize("back_at, boot", [(2 * S, 2 * S), (7 * S, 7 * S)])
def test_a_node_that_returns_is_cold_whether_it_still_drained_or_was_gone(back_at, boot):
    _, told = made((0, nodes(a=(), b=())), (S, nodes(a=())), (back_at - 1, None), (back_at, nodes(a=(), b=())))
    assert told[-1] == [("b", "up", 1.0, boot)]


def test_a_drain_in_the_list_is_no_departure_and_its_end_is_a_cold_return():
    reported, told = made(
        (0, nodes(a=(), b=())), (S, nodes(a=(), b=(1.0, True))), (9 * S, None), (10 * S, nodes(a=(), b=()))
    )
    assert told[1:] == [[("b", "draining", 1.0, None)], [], [("b", "up", 1.0, 10 * S)]]


def test_a_weight_of_nothing_is_a_drain():
    _, told = made((0, nodes(a=(), b=())), (S, nodes(a=(), b=(0.0,))))
    assert told[1] == [("b", "draining", 1.0, None)]


def test_a_node_at_another_address_or_in_another_zone_is_another_process():
    one = NodeSet({"a": ListedNode("x", "10.0.0.1:1")})
    for other in (ListedNode("x", "10.0.0.1:2"), ListedNode("y", "10.0.0.1:1")):
        assert made((0, one), (S, NodeSet({"a": other})))[1][1] == [("a", "up", 1.0, S)]


def test_a_weight_moves_by_its_step_a_second_and_stops_where_it_shall():
    reported, told = made(
        (0, nodes(a=(1.0,))),
        (S, nodes(a=(1.5,))),
        (2 * S, None),
        (2 * S + 1, None),
        (4 * S, None),
        (9 * S, None),
        (19 * S, None),
        weight_step=0.2,
    )
    weights = [[weight for _, _, weight, _ in step] for step in told]
    assert weights == [[1.0], [1.0], [1.2], [], [pytest.approx(1.5)], [], []] and reported.due_at(19 * S) is None


def test_a_weight_falls_no_faster_than_it_rises():
    _, told = made((0, nodes(a=(100.0,))), (0, nodes(a=(1.0,))), (S, None), (2 * S, None), weight_step=1.0)
    assert [step[0][2] for step in told[2:]] == [50.0, 25.0]


def test_changes_that_come_all_the_time_do_not_hold_a_step_up():
    reported = ReportedNodes(ReportSettings(S, 0.5))
    reported.accept(0, nodes(a=(1.0,)))
    for at in range(0, 3 * S, S // 10):
        reported.accept(at, nodes(a=(9.0 + at / S,)))
        reported.advance(at)
    assert reported.all_entries()[0][4] == pytest.approx(1.5**2)


@given(
    some.lists(
        some.tuples(
            some.integers(0, 3 * S),
            some.dictionaries(
                some.sampled_from("abcd"), some.tuples(some.sampled_from((0.0, 1.0, 4.0)), some.booleans()), max_size=4
            ),
        ),
        max_size=12,
    )
)
def test_any_sequence_of_sets_keeps_the_invariants(steps):
    """Told as a fold of what advance says: who is listed ready is up, no one goes without draining for the grace, no
    one comes back without a later start, and a weight never moves by more than its step between two seconds."""
    reported, now, told, drains = ReportedNodes(ReportSettings(S, 0.5)), 0, {}, {}
    for wait, fields in steps:
        now += wait
        new = NodeSet({name: ListedNode("x", f"10.0.0.1:{ord(name)}", *more) for name, more in fields.items()})
        reported.accept(now, new)
        for name, condition, _, _, weight, boot in reported.advance(now):
            before = told.get(name)
            if condition == "draining":
                drains.setdefault(name, now)
            elif condition == "removed":
                assert before[0] == "draining" and now - drains.pop(name) >= S
            else:
                drains.pop(name, None)
                if before and before[0] != "up":
                    assert boot == now
                elif before:
                    assert (
                        before[1] / 1.5 ** (wait / S + 1) - 1e-9 <= weight <= before[1] * 1.5 ** (wait / S + 1) + 1e-9
                    )
            told[name] = condition, weight, boot
        assert {name for name, (condition, *_) in told.items() if condition == "up"} == set(new.ready_nodes())
        assert sorted(entry[:1] for entry in reported.all_entries()) == sorted(
            (name,) for name, (condition, *_) in told.items() if condition != "removed"
        )
