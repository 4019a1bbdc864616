"""A node of a live rehearsal: the emulated one behind HTTP/1.1 on loopback."""

from typing import TYPE_CHECKING
from urllib.parse import parse_qsl, urlsplit

from kestrelplank.emulator.node import FAILED, NOT_STARTED
from kestrelplank.rehearsal.parties import StubConnection, StubServer
from kestrelplank.sockets.connection import address

if TYPE_CHECKING:
    from kestrelplank.rehearsal.live import LiveWorld


class NodeServer:
    """Answers `/op` with the op's figures in its query, and `/health`."""

    def __init__(self, world: "LiveWorld", node: int) -> None:
        self._world, self._number = world, node
        self._node = world.nodes[node]
        self._asking: dict[int, StubConnection] = {}
        self._party: StubServer | None = None
        self._listen(("127.0.0.1", 0))
        self.address = self._party.at

    def _listen(self, at: tuple[str, int]) -> None:
        self._party = StubServer(self._world.kit, self._asked, at)
        self._party.left = self._left

    def _asked(self, visitor: StubConnection, path: str, body: bytes) -> None:
        health = path.startswith("/health")
        if self._node.silent:
            if not health:
                self._offer(visitor, path)
            return
        if health:
            visitor.reply(b"ok\n" if not self._node.fallen else b"fallen\n", 503 if self._node.fallen else 200)
            return
        told = self._offer(visitor, path)
        if told == NOT_STARTED:
            visitor.reply(b"not started\n", 503)
        elif told == FAILED:
            visitor.reply(b"failed\n", 500)
        else:
            self._world.network.look_at(self._number)

    def _offer(self, visitor: StubConnection, path: str) -> str:
        op = dict(parse_qsl(urlsplit(path).query))
        number = int(op["number"])
        self._asking[number] = visitor
        visitor.op = number
        now, work, key = self._world.kit.loop.now(), float(op["work"]), int(op["key"])
        told = self._node.offer(now, number, int(op["type"]), work, key, op["new"] == "1", op["knowing"] == "1")
        self._world.rules.pushed(self._number, self._node.worst_push)
        return told

    def done(self, number: int) -> None:
        """The op has run."""
        visitor = self._asking.pop(number, None)
        if visitor is not None and visitor.gone is None:
            visitor.op = None
            visitor.reply(b"done\n")

    def _left(self, visitor: StubConnection) -> None:
        if self._party and visitor in self._party.visitors:
            self._party.visitors.remove(visitor)
        if visitor.op is not None and self._party:
            self._asking.pop(visitor.op, None)
            self._world.network.cancel(self._number, visitor.op)

    def close(self) -> None:
        """Its process ends, and every connection with it."""
        if self._party:
            self._asking.clear()
            party, self._party = self._party, None
            party.close()

    def open(self) -> None:
        """It listens again where it did."""
        if self._party is None:
            self._listen(address(self.address))
