import socket

from parties import sample_ids, wait_until

from kestrelplank.assigner.peer_datagrams import PeerDatagrams
from kestrelplank.interface import (
    PeerLoads,
    PeerMessage,
)


def test_datagrams_reach_one_or_all_peers_and_unknown_senders_are_skipped(kit):
    others = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for sock in others:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5)
    at = ["%s:%d" % sock.getsockname() for sock in others]
    peers = PeerDatagrams(kit.loop, kit.counters, "127.0.0.1:0", at[:2], at[2], sample_ids(), kit.events.append)
    peers.send(1, b"one")
    peers.send(None, b"all")
    peers.send(7, b"nobody")
    peers.send(0, b"x" * 257)
    assert others[1].recv(300) == b"one" and others[2].recv(300) == b"all"
    others[2].sendto(b"stranger", peers._sock.getsockname())
    others[0].sendto(b"x" * 257, peers._sock.getsockname())
    others[1].sendto(b"peer", peers._sock.getsockname())
    peers.share_loads({1: 7.5})
    others[0].sendto(others[2].recv(300), peers._sock.getsockname())
    wait_until(kit.loop, lambda: len(kit.events) == 2)
    assert (
        kit.events == [PeerMessage(1, b"peer"), PeerLoads(0, [(1, 7.5)])]
        and kit.counters.counts["datagrams_skipped"] == 2
    )
    peers.close()
    for sock in others:
        sock.close()
