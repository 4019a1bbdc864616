import socket

from parties import sample_ids, wait_until

from kestrelplank.assigner.peer_datagrams import PeerDatagrams
from kestrelplank.interface import (
    PeerLoads,
    PeerMessage,
)


def test_datagrams_reach_one_or_all_peers_and_unknown_senders_are_skipped(kit):
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5)
    addresses = ["%s:%d" % sock.getsockname() for sock in sockets]
    peers = PeerDatagrams(
        kit.loop, kit.counters, "127.0.0.1:0", addresses[:2], addresses[2], sample_ids(), kit.events.append
    )
    peers.send(1, b"one")
    peers.send(None, b"all")
    peers.send(7, b"nobody")
    peers.send(0, b"x" * 257)
    assert sockets[1].recv(300) == b"one" and sockets[2].recv(300) == b"all"
    sockets[2].sendto(b"stranger", peers._sock.getsockname())
    sockets[0].sendto(b"x" * 257, peers._sock.getsockname())
    sockets[1].sendto(b"peer", peers._sock.getsockname())
    peers.share_loads({1: 7.5})
    sockets[0].sendto(sockets[2].recv(300), peers._sock.getsockname())
    wait_until(kit.loop, lambda: len(kit.events) == 2)
    assert (
        kit.events == [PeerMessage(1, b"peer"), PeerLoads(0, [(1, 7.5)])]
        and kit.counters.counts["datagrams_skipped"] == 2
    )
    peers.close()
    for sock in sockets:
        sock.close()
