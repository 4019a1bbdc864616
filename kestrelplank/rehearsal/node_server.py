"""A node of a live rehearsal: an emulated node that serves HTTP/1.1 on loopback."""

from typing import Protocol
from urllib.parse import parse_qsl, urlsplit

from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.node import OfferResult
from kestrelplank.rehearsal.stub_server import SocketKit, StubConnection, StubServer
from kestrelplank.sockets.connection import address


class NodeStepper(Protocol):
    """Steps nodes when their ops end."""

    def schedule_step(self, node: int) -> None:
        """Schedule the node's step for the end of its next op."""
        ...

    def cancel_at_node(self, node: int, number: int) -> None:
        """Cancel an op at a node."""
        ...


class NodeServer:
    """Answers `/op`, whose query describes the op, and `/health`."""

    def __init__(self, environment: Environment, kit: SocketKit, number: int, stepper: NodeStepper) -> None:
        self._environment, self._kit, self._number, self._stepper = environment, kit, number, stepper
        self._node = environment.nodes[number]
        self._connection_of: dict[int, StubConnection] = {}  # by number of an op in progress
        self._server: StubServer | None = self._listen(("127.0.0.1", 0))
        self.address = self._server.at

    def _listen(self, at: tuple[str, int]) -> StubServer:
        server = StubServer(self._kit, self._answer, at)
        server.connection_closed = self._connection_closed  # type: ignore[method-assign]
        return server

    def _answer(self, connection: StubConnection, path: str, body: bytes) -> None:  # noqa: ARG002 - a callback
        is_health_check = path.startswith("/health")
        if self._node.silent:
            if not is_health_check:
                self._offer(connection, path)
            return
        if is_health_check:
            fallen = self._node.fallen
            connection.reply(b"fallen\n" if fallen else b"ok\n", 503 if fallen else 200)
            return
        match self._offer(connection, path):
            case OfferResult.NOT_STARTED:
                connection.reply(b"not started\n", 503)
            case OfferResult.FAILED:
                connection.reply(b"failed\n", 500)
            case OfferResult.TAKEN:
                self._stepper.schedule_step(self._number)

    def _offer(self, connection: StubConnection, path: str) -> OfferResult:
        op = dict(parse_qsl(urlsplit(path).query))
        number = int(op["number"])
        self._connection_of[number] = connection
        connection.op = number
        result = self._node.offer(
            self._kit.loop.now(),
            number,
            int(op["type"]),
            float(op["work"]),
            int(op["key"]),
            new_connection=op["new"] == "1",
            start_known=op["knowing"] == "1",
        )
        self._environment.rules.cold_node_loaded(self._number, self._node.worst_overload)
        return result

    def op_done(self, number: int) -> None:
        """Answer an op that has run."""
        connection = self._connection_of.pop(number, None)
        if connection is not None and connection.closed_because is None:
            connection.op = None
            connection.reply(b"done\n")

    def _connection_closed(self, connection: StubConnection) -> None:
        if self._server is None:
            return
        if connection in self._server.connections:
            self._server.connections.remove(connection)
        if connection.op is not None:
            self._connection_of.pop(connection.op, None)
            self._stepper.cancel_at_node(self._number, connection.op)

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server:
            self._connection_of.clear()
            server, self._server = self._server, None
            server.close()

    def open(self) -> None:
        """Listen again on the same address."""
        if self._server is None:
            self._server = self._listen(address(self.address))
