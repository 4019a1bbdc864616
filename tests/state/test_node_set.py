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


def node_list(path, *lines, confirmed_hash=""):
    return NodeList(
        path,
        tuple(NodeListEntry(name, listed, number) for number, (name, listed) in enumerate(lines, 1)),
        confirmed_hash,
    )


def listed_node(zone, port, **attributes):
    return ListedNode(zone, f"10.1.0.1:{port}", **attributes)


def test_set_and_hash_do_not_depend_on_files_or_order():
    first = assemble([node_list("a", ("n2", listed_node("x", 2)), ("n1", listed_node("x", 1)))])
    second = assemble([node_list("b", ("n1", listed_node("x", 1))), node_list("c", ("n2", listed_node("x", 2)))])
    assert first == second and first.hash == second.hash and list(first.nodes) == ["n1", "n2"]
    assert assemble([node_list("a", ("n1", listed_node("x", 1)), ("n2", listed_node("x", 2, weight=1.5)))]) != first


@pytest.mark.parametrize(
    "first, second, message",
    [
        (
            ("order-4.toronto.example.org", listed_node("toronto", 4)),
            ("order-4.toronto.example.org", listed_node("windsor", 4)),
            "order-4.toronto.example.org stands in zone windsor and in zone toronto (a.ini, line 1)",
        ),
        (
            ("n", listed_node("x", 1)),
            ("n", listed_node("x", 2)),
            "n stands at 10.1.0.1:2 and at 10.1.0.1:1 (a.ini, line 1)",
        ),
        (("n", listed_node("x", 1)), ("n", listed_node("x", 1)), "n stands in the lists twice (a.ini, line 1)"),
        (("n", listed_node("x", 1)), ("m", listed_node("y", 1)), "m has the address of n, 10.1.0.1:1 (a.ini, line 1)"),
    ],
)
@pytest.mark.parametrize("in_two_files", [False, True])
def test_conflict_names_both_locations(first, second, message, in_two_files):
    node_lists = (
        [node_list("a.ini", first), node_list("b.ini", second)] if in_two_files else [node_list("a.ini", first, second)]
    )
    with pytest.raises(InvalidNodeSetError) as caught:
        assemble(node_lists)
    assert str(caught.value) == ("b.ini, line 1: " if in_two_files else "a.ini, line 2: ") + message


def test_zone_with_total_weight_0_is_rejected_unless_it_drains():
    with pytest.raises(InvalidNodeSetError, match="zone x: the weights of its 2 nodes that do not drain sum to 0"):
        assemble(
            [
                node_list(
                    "a",
                    ("n", listed_node("x", 1, weight=0.0)),
                    ("m", listed_node("x", 2, weight=0.0)),
                    ("o", listed_node("y", 3)),
                )
            ]
        )
    assert (
        len(
            assemble(
                [node_list("a", ("n", listed_node("x", 1, weight=0.0, draining=True)), ("o", listed_node("y", 3)))]
            )
        )
        == 2
    )


def test_error_names_the_first_conflicts_and_counts_the_others():
    with pytest.raises(InvalidNodeSetError) as caught:
        assemble([node_list("a", *(("n", listed_node("x", 1)) for _ in range(9)))])
    assert len(caught.value.conflicts) == 8 and str(caught.value).endswith("; and 5 more")


def test_difference_lists_added_gone_changed_and_closed_nodes():
    old = NodeSet({name: listed_node("x", port) for port, name in enumerate("abcd")})
    new = NodeSet(
        {
            "a": listed_node("x", 0),
            "b": listed_node("x", 1, weight=2.0),
            "c": listed_node("x", 2, draining=True),
            "e": listed_node("x", 9),
        }
    )
    changes = difference(old, new)
    assert changes == (("e",), ("d",), ("b", "c"), ("c",)) and str(changes) == "1 added, 1 gone, 2 changed, 1 closed"


def test_set_is_immutable():
    node_set = NodeSet({"a": listed_node("x", 1)})
    with pytest.raises(TypeError):
        node_set.nodes["b"] = listed_node("x", 2)
    with pytest.raises(AttributeError):
        node_set.more = 1


listed = some.builds(
    ListedNode,
    some.sampled_from("xyz"),
    some.integers(1, 40).map(lambda port: f"10.0.0.1:{port}"),
    some.sampled_from((0.0, 0.5, 1.0)),
    some.booleans(),
)


@given(some.lists(some.tuples(some.sampled_from("abcdefgh"), listed), max_size=8), some.integers(0, 8))
def test_assembled_set_has_unique_names_and_addresses_in_any_split(lines, cut):
    try:
        node_set = assemble([node_list("a", *lines[:cut]), node_list("b", *lines[cut:])])
    except InvalidNodeSetError as err:
        names, addresses = [name for name, _ in lines], [listed.address for _, listed in lines]
        assert (
            len(set(names)) < len(names)
            or len(set(addresses)) < len(addresses)
            or any("sum to 0" in conflict.reason for conflict in err.conflicts)
        )
        return
    assert dict(node_set.nodes) == dict(lines) and len({listed.address for _, listed in lines}) == len(lines)
    assert assemble([node_list("c", *reversed(lines))]) == node_set
