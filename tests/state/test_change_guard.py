import pytest

from kestrelplank.state.change_guard import ChangeLimits, Decision, evaluate_change
from kestrelplank.state.node_set import ListedNode, NodeSet

S = 1_000_000_000
LIMITS = ChangeLimits(0.25, 60 * S, False)


def nodes(x=4, y=4, draining=()):
    names = [f"x{n}" for n in range(x)] + [f"y{n}" for n in range(y)]
    return NodeSet(
        {name: ListedNode(name[0], f"10.0.{ord(name[0]) - 120}.{name[1:]}:1", 1.0, name in draining) for name in names}
    )


@pytest.mark.parametrize(
    "new, decision, reason",
    [
        (nodes(5, 4), Decision.ACCEPTED, "1 added"),
        (nodes(3, 3), Decision.ACCEPTED, "2 gone"),
        (nodes(4, 4, ("x0", "y0")), Decision.ACCEPTED, "2 closed"),
        (nodes(2, 3), Decision.WAITING, "it would close 3 of 8 ready nodes, over 25%; to confirm, put `confirm = "),
        (nodes(4, 4, ("x0", "x1", "y0")), Decision.WAITING, "3 of 8"),
        (nodes(3, 4, ("x0", "y0")), Decision.WAITING, "3 of 8"),
        (nodes(0, 4), Decision.REFUSED, "zone x would be left without a ready node"),
        (nodes(4, 4, ("x0", "x1", "x2", "x3")), Decision.REFUSED, "zone x would be left without a ready node"),
        (nodes(0, 0), Decision.REFUSED, "it lists no node"),
        (nodes(1, 0, ("x0",)), Decision.REFUSED, "it lists no node that is ready"),
    ],
)
def test_decision_on_a_new_set_for_a_set_of_eight_nodes(new, decision, reason):
    verdict = evaluate_change(nodes(), new, (), 0, LIMITS)
    assert verdict.decision == decision and reason in verdict.reason


@pytest.mark.parametrize(
    "confirmed_hashes, unchanged_ns, limits, decision",
    [
        ((nodes().short_hash,), 0, LIMITS, Decision.ACCEPTED),
        ((nodes().hash,), 0, LIMITS, Decision.ACCEPTED),
        ((nodes(9).short_hash,), 0, LIMITS, Decision.WAITING),  # the hash of another set
        ((nodes().hash[:4],), 0, LIMITS, Decision.WAITING),
        (("",), 0, LIMITS, Decision.WAITING),
        ((), 60 * S, LIMITS, Decision.ACCEPTED),
        ((), 60 * S - 1, LIMITS, Decision.WAITING),
        ((), 900 * S, ChangeLimits(0.25, 0, False), Decision.WAITING),
    ],
)
def test_large_closure_needs_the_hash_of_the_set_in_force_or_the_confirmation_period(
    confirmed_hashes, unchanged_ns, limits, decision
):
    assert evaluate_change(nodes(), nodes(2, 3), confirmed_hashes, unchanged_ns, limits).decision == decision


def test_waiting_verdict_has_the_remaining_time_unless_only_a_confirmation_helps():
    assert evaluate_change(nodes(), nodes(2, 3), (), 20 * S, LIMITS).remaining_ns == 40 * S
    assert evaluate_change(nodes(), nodes(2, 3), (), 20 * S, ChangeLimits(0.25, 0, False)).remaining_ns is None


def test_zone_may_be_emptied_if_configured_and_then_counts_as_a_removal():
    limits = ChangeLimits(0.25, 60 * S, True)
    assert evaluate_change(nodes(), nodes(0, 4), (), 0, limits).decision == Decision.WAITING
    assert evaluate_change(nodes(), nodes(0, 4), (nodes().short_hash,), 0, limits).decision == Decision.ACCEPTED
    assert (
        evaluate_change(nodes(), nodes(0, 0), (nodes().short_hash,), 900 * S, limits).decision == Decision.REFUSED
    )  # a set without ready nodes is never accepted


def test_first_set_needs_no_confirmation():
    assert evaluate_change(None, nodes(1, 0), (), 0, LIMITS).decision == Decision.ACCEPTED
    assert evaluate_change(None, nodes(0, 0), (), 0, LIMITS).decision == Decision.REFUSED
