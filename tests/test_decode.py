import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestrelplank.decode import PEER_LOAD, PEER_LOADS, Ids, checksum, decode_peer_loads, encode_peer_loads, text
from kestrelplank.state import membership_datagram


def known(names):
    ids = Ids(text)
    for name in names:
        ids.node(name)
    return ids


@given(st.lists(st.floats(0, 60_000), max_size=300), st.data())
def test_peer_loads_arrive_as_sent_whatever_is_lost_doubled_or_out_of_order(figures, data):
    told = known(f"s-{place}" for place in range(len(figures)))
    heard = known(f"s-{place}" for place in reversed(range(len(figures))))
    bodies = encode_peer_loads(dict(enumerate(figures)), told.node_ids)
    assert all(len(body) <= 256 for body in bodies)
    arrived = data.draw(st.lists(st.sampled_from(bodies), max_size=20)) if bodies else []
    found = {}
    for body in arrived:
        found.update(decode_peer_loads(body, heard))
    for node, ops in found.items():
        assert ops == pytest.approx(figures[told.nodes[heard.node_ids[node]]], rel=1e-3, abs=1e-3)
    assert set(arrived) != set(bodies) or len(found) == len(figures)


@pytest.mark.parametrize(
    "body", [b"", b"hello", bytes([PEER_LOADS, 1, 2, 3]), membership_datagram.encode(1, [(1, 2, 3)], [])]
)
def test_a_datagram_of_another_kind_is_left_to_others(body):
    assert decode_peer_loads(body, known([])) is None


@pytest.mark.parametrize("ops", [float("nan"), float("inf"), -1.0])
def test_unknown_nodes_and_impossible_loads_are_passed_over(ops):
    ids = known(["a", "b"])
    body = bytes([PEER_LOADS]) + b"".join(
        PEER_LOAD.pack(checksum(name), figure) for name, figure in [("a", ops), ("b", 2.0), ("c", 3.0)]
    )
    assert decode_peer_loads(body, ids) == [(1, 2.0)]


def test_a_forgotten_node_is_no_longer_known_by_its_checksum():
    ids = known(["a"])
    ids.forget(0)
    assert decode_peer_loads(encode_peer_loads({0: 1.0}, {0: "a"})[0], ids) == []
