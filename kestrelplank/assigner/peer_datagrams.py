"""Datagrams between the assigners of an installation."""

import socket
from collections.abc import Callable, Mapping

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import Ids, decode_peer_loads, encode_peer_loads
from kestrelplank.interface import Event, PeerLoads, PeerMessage
from kestrelplank.sockets.connection import address
from kestrelplank.sockets.loop import READ, Loop

MOST_BYTES = 256  # of a datagram
MOST_AT_ONCE = 64  # read in one pass, so that a flood of them can't hold up the rest


class PeerDatagrams:
    """Sends datagrams to peers, and takes them from peers only.

    :param listen: our own address.
    :param peers: addresses of the peers, by number.
    :param everyone: the address that reaches all of them; empty where there is none.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        listen: str,
        peers: list[str],
        everyone: str,
        ids: Ids,
        on_event: Callable[[Event], None],
    ) -> None:
        self._loop, self._counters, self._ids, self._on_event = loop, counters, ids, on_event
        self._peers, self._everyone = [address(peer) for peer in peers], address(everyone) if everyone else None
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address(listen))
        loop.watch(self._sock, READ, self._ready)

    def send(self, peer: int | None, body: bytes) -> None:
        """Send a datagram to a peer, or to all where `peer` is None."""
        to = self._everyone
        if peer is not None:
            to = self._peers[peer] if peer < len(self._peers) else None
        if to is None or len(body) > MOST_BYTES:
            self._counters.record_fault("datagrams_not_sent", "too long" if to else "no such peer")
            return
        try:
            self._sock.sendto(body, to)
            self._counters.add("datagrams_sent")
        except OSError as err:  # a datagram may be lost anyway
            self._counters.record_fault("datagrams_not_sent", err)

    def share_loads(self, loads: Mapping[int, float]) -> None:
        """Send loads, ops a second by node, to all."""
        for body in encode_peer_loads(loads, self._ids.node_ids):
            self.send(None, body)

    def _ready(self, events: int) -> None:  # noqa: ARG002  the loop's callback
        for _ in range(MOST_AT_ONCE):
            try:
                body, sender = self._sock.recvfrom(MOST_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as err:  # an ICMP error for one that we sent
                self._counters.record_fault("datagrams_failed", err)
                return
            self._take(body, sender)

    def _take(self, body: bytes, sender: tuple[str, int]) -> None:
        if sender not in self._peers or len(body) > MOST_BYTES:
            self._counters.record_fault("datagrams_skipped", f"{len(body)} bytes from {sender}")
            return
        self._counters.add("peer_in")
        loads, number = decode_peer_loads(body, self._ids), self._peers.index(sender)
        self._on_event(PeerMessage(number, body) if loads is None else PeerLoads(number, loads))

    def close(self) -> None:
        """Close the socket."""
        self._loop.forget(self._sock)
        self._sock.close()
