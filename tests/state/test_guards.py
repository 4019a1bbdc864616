import pytest

from kestrelplank.state.guards import ACCEPTED, REFUSED, WAITING, Terms, judge
from kestrelplank.state.nodeset import Listed, NodeSet

S = 1_000_000_000
TERMS = Terms(0.25, 60 * S, False)


def nodes(x=4, y=4, draining=()):
    names = [f"x{n}" for n in range(x)] + [f"y{n}" for n in range(y)]
    return NodeSet(
        {name: Listed(name[0], f"10.0.{ord(name[0]) - 120}.{name[1:]}:1", 1.0, name in draining) for name in names}
    )


@pytest.mark.parametrize(
    "new, how, says",
    [
        (nodes(5, 4), ACCEPTED, "1 added"),
        (nodes(3, 3), ACCEPTED, "2 gone"),
        (nodes(4, 4, ("x0", "y0")), ACCEPTED, "2 closed"),
        (nodes(2, 3), WAITING, "it would close 3 of 8 ready nodes, over 25%; to confirm, put `confirm = "),
        (nodes(4, 4, ("x0", "x1", "y0")), WAITING, "3 of 8"),
        (nodes(3, 4, ("x0", "y0")), WAITING, "3 of 8"),
        (nodes(0, 4), REFUSED, "zone x would be left without a ready node"),
        (nodes(4, 4, ("x0", "x1", "x2", "x3")), REFUSED, "zone x would be left without a ready node"),
        (nodes(0, 0), REFUSED, "it lists no node"),
        (nodes(1, 0, ("x0",)), REFUSED, "it lists no node that is ready"),
    ],
)
def test_what_may_follow_a_set_of_eight(new, how, says):
    verdict = judge(nodes(), new, (), 0, TERMS)
    assert verdict.how == how and says in verdict.why


@pytest.mark.parametrize(
    "confirms, stood, terms, how",
    [
        ((nodes().short,), 0, TERMS, ACCEPTED),
        ((nodes().hash,), 0, TERMS, ACCEPTED),
        ((nodes(9).short,), 0, TERMS, WAITING),  # a marker for another list is stale
        ((nodes().hash[:4],), 0, TERMS, WAITING),
        (("",), 0, TERMS, WAITING),
        ((), 60 * S, TERMS, ACCEPTED),
        ((), 60 * S - 1, TERMS, WAITING),
        ((), 900 * S, Terms(0.25, 0, False), WAITING),
    ],
)
def test_a_large_closure_needs_a_marker_that_names_the_set_in_force_or_time(confirms, stood, terms, how):
    assert judge(nodes(), nodes(2, 3), confirms, stood, terms).how == how


def test_who_waits_is_told_how_long_yet_unless_waiting_does_not_help():
    assert judge(nodes(), nodes(2, 3), (), 20 * S, TERMS).left == 40 * S
    assert judge(nodes(), nodes(2, 3), (), 20 * S, Terms(0.25, 0, False)).left is None


def test_a_zone_may_be_emptied_where_the_operator_says_so_and_then_counts_as_a_removal():
    terms = Terms(0.25, 60 * S, True)
    assert judge(nodes(), nodes(0, 4), (), 0, terms).how == WAITING
    assert judge(nodes(), nodes(0, 4), (nodes().short,), 0, terms).how == ACCEPTED
    assert judge(nodes(), nodes(0, 0), (nodes().short,), 900 * S, terms).how == REFUSED  # never the last


def test_the_first_set_of_all_needs_no_second_word():
    assert judge(None, nodes(1, 0), (), 0, TERMS).how == ACCEPTED
    assert judge(None, nodes(0, 0), (), 0, TERMS).how == REFUSED
