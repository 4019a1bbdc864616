import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.state.node_set import (
    InvalidNodeSetError,
    ListedNode,
    NodeList,
    NodeListEntry,
    NodeSet,
    assemble,
    difference,
)


def part(path, *lines, confirms=""):
    return NodeList(
        path, tuple(NodeListEntry(name, listed, number) for number, (name, listed) in enumerate(lines, 1)), confirms
    )


def at(zone, port, **more):
    return ListedNode(zone, f"10.1.0.1:{port}", **more)


def test_a_set_is_the_same_in_whatever_files_and_order_it_was_written():
    one = assemble([part("a", ("n2", at("x", 2)), ("n1", at("x", 1)))])
    two = assemble([part("b", ("n1", at("x", 1))), part("c", ("n2", at("x", 2)))])
    assert one == two and one.hash == two.hash and list(one.nodes) == ["n1", "n2"]
    assert assemble([part("a", ("n1", at("x", 1)), ("n2", at("x", 2, weight=1.5)))]) != one


@pytest.mark.parametrize(
    "first, second, says",
    [
        (
            ("order-4.toronto.example.org", at("toronto", 4)),
            ("order-4.toronto.example.org", at("windsor", 4)),
            "order-4.toronto.example.org stands in zone windsor and in zone toronto (a.ini, line 1)",
        ),
        (("n", at("x", 1)), ("n", at("x", 2)), "n stands at 10.1.0.1:2 and at 10.1.0.1:1 (a.ini, line 1)"),
        (("n", at("x", 1)), ("n", at("x", 1)), "n stands in the lists twice (a.ini, line 1)"),
        (("n", at("x", 1)), ("m", at("y", 1)), "m has the address of n, 10.1.0.1:1 (a.ini, line 1)"),
    ],
)
@pytest.mark.parametrize("apart", [False, True])
def test_what_speaks_against_a_set_is_named_with_both_places(first, second, says, apart):
    parts = [part("a.ini", first), part("b.ini", second)] if apart else [part("a.ini", first, second)]
    with pytest.raises(InvalidNodeSetError) as found:
        assemble(parts)
    assert str(found.value) == ("b.ini, line 1: " if apart else "a.ini, line 2: ") + says


def test_a_zone_whose_weights_sum_to_nothing_is_refused_and_one_that_drains_is_not():
    with pytest.raises(InvalidNodeSetError, match="zone x: the weights of its 2 nodes that do not drain sum to 0"):
        assemble([part("a", ("n", at("x", 1, weight=0.0)), ("m", at("x", 2, weight=0.0)), ("o", at("y", 3)))])
    assert len(assemble([part("a", ("n", at("x", 1, weight=0.0, draining=True)), ("o", at("y", 3)))])) == 2


def test_of_many_conflicts_the_first_are_told_and_the_rest_counted():
    with pytest.raises(InvalidNodeSetError) as found:
        assemble([part("a", *(("n", at("x", 1)) for _ in range(9)))])
    assert len(found.value.conflicts) == 8 and str(found.value).endswith("; and 5 more")


def test_a_difference_names_what_came_went_changed_and_closed():
    old = NodeSet({name: at("x", port) for port, name in enumerate("abcd")})
    new = NodeSet({"a": at("x", 0), "b": at("x", 1, weight=2.0), "c": at("x", 2, draining=True), "e": at("x", 9)})
    found = difference(old, new)
    assert found == (("e",), ("d",), ("b", "c"), ("c",)) and str(found) == "1 added, 1 gone, 2 changed, 1 closed"


def test_nobody_changes_a_set():
    made = NodeSet({"a": at("x", 1)})
    with pytest.raises(TypeError):
        made.nodes["b"] = at("x", 2)
    with pytest.raises(AttributeError):
        made.more = 1


listed = some.builds(
    ListedNode,
    some.sampled_from("xyz"),
    some.integers(1, 40).map(lambda port: f"10.0.0.1:{port}"),
    some.sampled_from((0.0, 0.5, 1.0)),
    some.booleans(),
)


@given(some.lists(some.tuples(some.sampled_from("abcdefgh"), listed), max_size=8), some.integers(0, 8))
def test_what_is_assembled_has_every_node_once_at_an_address_of_its_own_in_any_split(lines, cut):
    try:
        made = assemble([part("a", *lines[:cut]), part("b", *lines[cut:])])
    except InvalidNodeSetError as err:
        names, addresses = [name for name, _ in lines], [listed.address for _, listed in lines]
        assert (
            len(set(names)) < len(names)
            or len(set(addresses)) < len(addresses)
            or any("sum to 0" in conflict.reason for conflict in err.conflicts)
        )
        return
    assert dict(made.nodes) == dict(lines) and len({listed.address for _, listed in lines}) == len(lines)
    assert assemble([part("c", *reversed(lines))]) == made
