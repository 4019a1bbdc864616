import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestrelplank.decode import PEER_LOAD, PEER_LOADS, Ids, checksum, shared, shares, text
from kestrelplank.state import membership


def known(names):
    ids = Ids(text)
    for name in names:
        ids.node(name)
    return ids


@given(st.lists(st.floats(0, 60_000), max_size=300), st.data())
def test_peer_loads_arrive_as_sent_whatever_is_lost_doubled_or_out_of_order(figures, data):
    told = known(f"s-{place}" for place in range(len(figures)))
    heard = known(f"s-{place}" for place in reversed(range(len(figures))))
    bodies = shares(dict(enumerate(figures)), told.node_ids)
    assert all(len(body) <= 256 for body in bodies)
    arrived = data.draw(st.lists(st.sampled_from(bodies), max_size=20)) if bodies else []
    found = {}
    for body in arrived:
        found.update(shared(body, heard))
    for node, ops in found.items():
        assert ops == pytest.approx(figures[told.nodes[heard.node_ids[node]]], rel=1e-3, abs=1e-3)
    assert set(arrived) != set(bodies) or len(found) == len(figures)


@pytest.mark.parametrize("body", [b"", b"hello", bytes([PEER_LOADS, 1, 2, 3]), membership.encode(1, [(1, 2, 3)], [])])
def test_a_datagram_of_another_kind_is_left_to_others(body):
    assert shared(body, known([])) is None


@pytest.mark.parametrize("ops", [float("nan"), float("inf"), -1.0])
def test_unknown_nodes_and_impossible_loads_are_passed_over(ops):
    ids = known(["a", "b"])
    body = bytes([PEER_LOADS]) + b"".join(
        PEER_LOAD.pack(checksum(name), figure) for name, figure in [("a", ops), ("b", 2.0), ("c", 3.0)]
    )
    assert shared(body, ids) == [(1, 2.0)]


def test_a_forgotten_node_is_no_longer_known_by_its_checksum():
    ids = known(["a"])
    ids.forget(0)
    assert shared(shares({0: 1.0}, {0: "a"})[0], ids) == []
