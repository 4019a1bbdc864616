"""Stand-ins for the outside parties that speak HTTP, and what they say, written from the protocol."""

import json
import socket
from collections.abc import Callable

import httptools

from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.connection import Connection, Listener
from kestrelplank.sockets.loop import Loop

MS = 1_000_000
MOST_UNREAD = 1 << 22


def fail(err: object) -> None:
    """For whoever must not go on after a defect."""
    raise err if isinstance(err, Exception) else RuntimeError(err)


class Kit:
    """The loop and the buffers that parties share."""

    def __init__(self) -> None:
        self.loop, self.pool = Loop(fail), Pool(1 << 16, 4)


class StubConnection:
    """One connection to a stub; its requests, taken apart. `gone` says why it ended, `op` is its owner's to set."""

    def __init__(self, party: "StubServer", sock: socket.socket) -> None:
        self.party, self.gone, self.bytes_in, self.op = party, None, 0, None
        self.parser, self.body, self.path = httptools.HttpRequestParser(self), b"", ""
        self.connection = Connection(party.kit.loop, party.kit.pool, sock, self, MOST_UNREAD)

    def on_data(self, data: memoryview) -> None:
        self.bytes_in += len(data)
        self.parser.feed_data(data)

    def on_close(self, why: str) -> None:
        self.gone = why
        self.party.left(self)

    def on_url(self, url: bytes) -> None:
        self.path, self.body = url.decode(), b""

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.party.asked(self, self.path, self.body)

    def reply(self, value: object, status: int = 200) -> None:
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.connection.write(b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def begin(self) -> None:
        """An answer that does not end; `tell` goes on with it."""
        self.connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def tell(self, *lines: object) -> None:
        for line in lines:
            data = line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n"
            self.connection.write(b"%x\r\n%s\r\n" % (len(data), data))


class StubServer:
    """Listens on a free port of loopback. `answer` says what it does with a request; by default nothing."""

    def __init__(
        self,
        kit: Kit,
        answer: Callable[[StubConnection, str, bytes], None] = lambda visitor, path, body: None,
        at: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self.kit, self.answer = kit, answer
        self.visitors: list[StubConnection] = []
        self.listener = Listener(kit.loop, at, self.accept, fail, MS)
        self.at = "%s:%d" % self.listener.at

    def accept(self, sock: socket.socket) -> None:
        self.visitors.append(StubConnection(self, sock))

    def asked(self, visitor: StubConnection, path: str, body: bytes) -> None:
        self.answer(visitor, path, body)

    def left(self, visitor: StubConnection) -> None:
        """A connection has ended."""

    def close(self) -> None:
        self.listener.close()
        for visitor in list(self.visitors):
            visitor.connection.close("over")


def news(kind, **fields):
    return {"type": kind, "object": fields}


def attach(proxy, cold=True):
    return news("attach", node=proxy, locality="a", w=2.0, cold=cold)


def instance(name, lifecycle="in_service", started=0):
    return {
        "instanceId": name,
        "hostPort": "127.0.0.1:1",
        "zone": "a",
        "machineType": "m",
        "cell": 1,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started,
    }


def node_list(version, *instances, reset=False):
    return {"generation": version, "reset": reset, "instances": list(instances)}
