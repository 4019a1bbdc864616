"""Datagrams between the assigners of an installation."""

import socket
from collections.abc import Callable, Mapping

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import Ids, decode_peer_loads, encode_peer_loads
from kestrelplank.interface import Event, PeerLoads, PeerMessage
from kestrelplank.sockets.connection import address
from kestrelplank.sockets.loop import READ, Loop

MAX_DATAGRAM_BYTES = 256
MAX_DATAGRAMS_PER_PASS = 64  # so that a flood of datagrams does not delay other sockets


class PeerDatagrams:
    """Sends datagrams to peers, and accepts datagrams from peers only.

    :param listen: address of this assigner.
    :param peers: addresses of the peers, by number.
    :param broadcast: broadcast address that reaches all peers; empty if there is none.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        listen: str,
        peers: list[str],
        broadcast: str,
        ids: Ids,
        on_event: Callable[[Event], None],
    ) -> None:
        self._loop, self._counters, self._ids, self._on_event = loop, counters, ids, on_event
        self._peers, self._broadcast = [address(peer) for peer in peers], address(broadcast) if broadcast else None
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address(listen))
        loop.watch(self._sock, READ, self._ready)

    def send(self, peer: int | None, body: bytes) -> None:
        """Send a datagram to a peer, or to all if `peer` is None."""
        to = self._broadcast
        if peer is not None:
            to = self._peers[peer] if peer < len(self._peers) else None
        if to is None or len(body) > MAX_DATAGRAM_BYTES:
            self._counters.record_fault(
                "datagrams_not_sent", "the datagram is too long" if to else "the peer has no address"
            )
            return
        try:
            self._sock.sendto(body, to)
            self._counters.add("datagrams_sent")
        except OSError as err:  # not retried, as any datagram may be lost
            self._counters.record_fault("datagrams_not_sent", err)

    def share_loads(self, loads: Mapping[int, float]) -> None:
        """Send loads, in operations per second by node, to all peers."""
        for body in encode_peer_loads(loads, self._ids.node_ids):
            self.send(None, body)

    def _ready(self, events: int) -> None:  # noqa: ARG002 - signature of the loop's callbacks
        for _ in range(MAX_DATAGRAMS_PER_PASS):
            try:
                body, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as err:  # an ICMP error for a datagram sent earlier
                self._counters.record_fault("datagrams_failed", err)
                return
            self._handle(body, sender)

    def _handle(self, body: bytes, sender: tuple[str, int]) -> None:
        if sender not in self._peers or len(body) > MAX_DATAGRAM_BYTES:
            self._counters.record_fault("datagrams_skipped", f"{len(body)} bytes from {sender}")
            return
        self._counters.add("peer_in")
        loads, number = decode_peer_loads(body, self._ids), self._peers.index(sender)
        self._on_event(PeerMessage(number, body) if loads is None else PeerLoads(number, loads))

    def close(self) -> None:
        """Close the socket."""
        self._loop.forget(self._sock)
        self._sock.close()
