"""Datagrams between the conductors of a tier."""

import socket
from collections.abc import Callable

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import Ids, shared, shares
from kestrelplank.interface import Event, PeerLoads, PeerMessage
from kestrelplank.sockets.connection import address
from kestrelplank.sockets.loop import READ, Loop

MOST_BYTES = 256
MOST_AT_ONCE = 64  # read in one pass, so that a flood of them can't hold up the rest


class Peers:
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

    def tell(self, peer: int | None, body: bytes) -> None:
        to = self._everyone if peer is None else self._peers[peer] if peer < len(self._peers) else None
        if to is None or len(body) > MOST_BYTES:
            self._counters.trouble("datagrams_not_sent", "too long" if to else "no such peer")
            return
        try:
            self._sock.sendto(body, to)
            self._counters.add("datagrams_sent")
        except OSError as err:  # they may be lost anyway
            self._counters.trouble("datagrams_not_sent", err)

    def share(self, parts: dict[int, float]) -> None:
        for body in shares(parts, self._ids.node_ids):
            self.tell(None, body)

    def _ready(self, events: int) -> None:
        for _ in range(MOST_AT_ONCE):
            try:
                body, sender = self._sock.recvfrom(MOST_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as err:  # what came back for one that we sent
                self._counters.trouble("datagrams_failed", err)
                return
            if sender not in self._peers or len(body) > MOST_BYTES:
                self._counters.trouble("datagrams_skipped", f"{len(body)} bytes from {sender}")
                continue
            self._counters.add("peer_in")
            parts, number = shared(body, self._ids), self._peers.index(sender)
            self._on_event(PeerMessage(number, body) if parts is None else PeerLoads(number, parts))

    def close(self) -> None:
        self._loop.forget(self._sock)
        self._sock.close()
