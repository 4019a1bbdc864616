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


def play(*steps, grace=2 * S, weight_step=0.0):
    """Return the nodes and the entries reported by each step; a step is (now, set or None)."""
    reported, reports = ReportedNodes(ReportSettings(grace, weight_step)), []
    for now, new in steps:
        if new is not None:
            reported.accept(now, new)
        reports.append(
            [
                (name, condition, weight, started_at)
                for name, condition, _, _, weight, started_at in reported.advance(now)
            ]
        )
    return reported, reports


def test_nodes_of_the_first_set_have_no_start_time_and_later_ones_start_now():
    _, reports = play((0, nodes(a=())), (5, nodes(a=(), b=())))
    assert reports == [[("a", "up", 1.0, None)], [("b", "up", 1.0, 5)]]


def test_unlisted_node_drains_for_the_grace_period_and_is_then_removed():
    reported, reports = play((0, nodes(a=(), b=())), (S, nodes(a=())), (3 * S - 1, None), (3 * S, None), (9 * S, None))
    assert reports[1:] == [[("b", "draining", 1.0, None)], [], [("b", "removed", 1.0, None)], []]
    assert reported.due_at(9 * S) is None and [entry[0] for entry in reported.all_entries()] == ["a"]


@pytest.mark.parametrize("returns_at, started_at", [(2 * S, 2 * S), (7 * S, 7 * S)])
def test_node_that_returns_starts_now_whether_it_was_draining_or_removed(returns_at, started_at):
    _, reports = play((0, nodes(a=(), b=())), (S, nodes(a=())), (returns_at - 1, None), (returns_at, nodes(a=(), b=())))
    assert reports[-1] == [("b", "up", 1.0, started_at)]


def test_node_listed_as_draining_is_not_removed_and_starts_now_when_the_drain_ends():
    reported, reports = play(
        (0, nodes(a=(), b=())), (S, nodes(a=(), b=(1.0, True))), (9 * S, None), (10 * S, nodes(a=(), b=()))
    )
    assert reports[1:] == [[("b", "draining", 1.0, None)], [], [("b", "up", 1.0, 10 * S)]]


def test_weight_0_is_reported_as_draining():
    _, reports = play((0, nodes(a=(), b=())), (S, nodes(a=(), b=(0.0,))))
    assert reports[1] == [("b", "draining", 1.0, None)]


def test_node_with_another_address_or_zone_is_a_new_process():
    node_set = NodeSet({"a": ListedNode("x", "10.0.0.1:1")})
    for other in (ListedNode("x", "10.0.0.1:2"), ListedNode("y", "10.0.0.1:1")):
        assert play((0, node_set), (S, NodeSet({"a": other})))[1][1] == [("a", "up", 1.0, S)]


def test_weight_moves_by_one_step_per_second_up_to_the_listed_weight():
    reported, reports = play(
        (0, nodes(a=(1.0,))),
        (S, nodes(a=(1.5,))),
        (2 * S, None),
        (2 * S + 1, None),
        (4 * S, None),
        (9 * S, None),
        (19 * S, None),
        weight_step=0.2,
    )
    weights = [[weight for _, _, weight, _ in step] for step in reports]
    assert weights == [[1.0], [1.0], [1.2], [], [pytest.approx(1.5)], [], []] and reported.due_at(19 * S) is None


def test_weight_decreases_by_the_same_factor_as_it_increases():
    _, reports = play((0, nodes(a=(100.0,))), (0, nodes(a=(1.0,))), (S, None), (2 * S, None), weight_step=1.0)
    assert [step[0][2] for step in reports[2:]] == [50.0, 25.0]


def test_frequent_changes_do_not_delay_weight_steps():
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
    """Checks these invariants on what `advance` returns.

    Ready nodes are up, a node drains for the grace period before its removal, a node that returns has a new start time,
    and a weight changes by at most one step per second.
    """
    reported, now, reports, draining_since = ReportedNodes(ReportSettings(S, 0.5)), 0, {}, {}
    for wait, fields in steps:
        now += wait
        new = NodeSet({name: ListedNode("x", f"10.0.0.1:{ord(name)}", *more) for name, more in fields.items()})
        reported.accept(now, new)
        for name, condition, _, _, weight, started_at in reported.advance(now):
            before = reports.get(name)
            if condition == "draining":
                draining_since.setdefault(name, now)
            elif condition == "removed":
                assert before[0] == "draining" and now - draining_since.pop(name) >= S
            else:
                draining_since.pop(name, None)
                if before and before[0] != "up":
                    assert started_at == now
                elif before:
                    assert (
                        before[1] / 1.5 ** (wait / S + 1) - 1e-9 <= weight <= before[1] * 1.5 ** (wait / S + 1) + 1e-9
                    )
            reports[name] = condition, weight, started_at
        assert {name for name, (condition, *_) in reports.items() if condition == "up"} == set(new.ready_nodes())
        assert sorted(entry[:1] for entry in reported.all_entries()) == sorted(
            (name,) for name, (condition, *_) in reports.items() if condition != "removed"
        )
