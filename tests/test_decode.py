import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestrelplank.decode import PEER_LOAD, PEER_LOADS, Ids, checksum, decode_peer_loads, encode_peer_loads, text
from kestrelplank.state import membership_datagram


def ids_of(names):
    ids = Ids(text)
    for name in names:
        ids.node(name)
    return ids


@given(st.lists(st.floats(0, 60_000), max_size=300), st.data())
def test_peer_loads_survive_loss_duplication_and_reordering_of_datagrams(loads, data):
    sender_ids = ids_of(f"s-{index}" for index in range(len(loads)))
    receiver_ids = ids_of(f"s-{index}" for index in reversed(range(len(loads))))
    bodies = encode_peer_loads(dict(enumerate(loads)), sender_ids.node_ids)
    assert all(len(body) <= 256 for body in bodies)
    received = data.draw(st.lists(st.sampled_from(bodies), max_size=20)) if bodies else []
    decoded = {}
    for body in received:
        decoded.update(decode_peer_loads(body, receiver_ids))
    for node, ops in decoded.items():
        assert ops == pytest.approx(loads[sender_ids.nodes[receiver_ids.node_ids[node]]], rel=1e-3, abs=1e-3)
    assert set(received) != set(bodies) or len(decoded) == len(loads)


@pytest.mark.parametrize(
    "body", [b"", b"hello", bytes([PEER_LOADS, 1, 2, 3]), membership_datagram.encode(1, [(1, 2, 3)], [])]
)
def test_datagram_of_another_kind_decodes_to_none(body):
    assert decode_peer_loads(body, ids_of([])) is None


@pytest.mark.parametrize("ops", [float("nan"), float("inf"), -1.0])
def test_unknown_nodes_and_invalid_loads_are_skipped(ops):
    ids = ids_of(["a", "b"])
    body = bytes([PEER_LOADS]) + b"".join(
        PEER_LOAD.pack(checksum(name), load) for name, load in [("a", ops), ("b", 2.0), ("c", 3.0)]
    )
    assert decode_peer_loads(body, ids) == [(1, 2.0)]


def test_checksum_of_a_forgotten_node_is_unknown():
    ids = ids_of(["a"])
    ids.forget(0)
    assert decode_peer_loads(encode_peer_loads({0: 1.0}, {0: "a"})[0], ids) == []
