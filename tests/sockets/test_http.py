import socket

import pytest
from parties import MS, StubServer, wait_until

from kestrelplank.sockets.http import Client


class RecordingHandler:
    def __init__(self):
        self.outcomes = []

    def on_answer(self, status, body):
        self.outcomes.append((status, body))

    def on_failure(self, why):
        self.outcomes.append(why.split(":")[0])


RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"


@pytest.mark.parametrize(
    "answer, outcome, reused",
    [
        (RESPONSE, (200, b"yes"), True),
        (b"HTTP/1.1 503 no\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", (503, b"no"), True),
        (RESPONSE.replace(b"\r\n\r", b"\r\nConnection: close\r\n\r"), (200, b"yes"), False),
        (b"RELAY 9\r\n\r\n", "unreadable", False),
        (b"\x00\xff\x00", "unreadable", False),
        (b"HTTP/1.1 200 OK\r\n" + b"X" * 40_000, "too large", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b"x" * 900, "too large", False),
        (RESPONSE[:-1], "silent", False),
        (b"", "silent", False),
        (None, "ended", False),
    ],
)
@pytest.mark.parametrize("chunk_size", [1, 100_000])
def test_call_has_exactly_one_outcome_for_any_response(kit, answer, outcome, reused, chunk_size):
    def serve(visitor, path, body):
        if answer is None:
            visitor.connection.close("broken off")
        for offset in range(0, len(answer or b""), chunk_size):
            visitor.connection.write(answer[offset : offset + chunk_size])

    server, handler = StubServer(kit, serve), RecordingHandler()
    client = Client(kit.loop, kit.pool, server.at, handler, 250 * MS, 500)
    for number in (1, 2):
        client.call("GET", "/", b"", (100 if outcome == "silent" else 20_000) * MS)
        wait_until(kit.loop, lambda number=number: len(handler.outcomes) == number)
    assert handler.outcomes == [outcome] * 2 and len(server.connections) == (1 if reused else 2)
    client.close()
    server.close()


def test_call_fails_when_the_connection_is_not_established_in_time(kit):
    with socket.socket() as listener:  # one connection fills its backlog, so the next is never established
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        first, handler = socket.create_connection(listener.getsockname()), RecordingHandler()
        client = Client(kit.loop, kit.pool, "%s:%d" % listener.getsockname(), handler, 100 * MS, 500)
        client.call("GET", "/", b"", 5000 * MS)
        wait_until(kit.loop, lambda: handler.outcomes)
        assert handler.outcomes == ["does not come up"]
        first.close()


@pytest.mark.parametrize("outcome", [RESPONSE, "silent", "ended"])
def test_call_in_flight_ends_at_the_old_address_and_the_next_uses_the_new_one(kit, outcome):
    old, new = StubServer(kit), StubServer(kit, lambda visitor, path, body: visitor.connection.write(RESPONSE))
    handler = RecordingHandler()
    client = Client(kit.loop, kit.pool, old.at, handler, 250 * MS, 500)
    client.call("GET", "/", b"", (50 if outcome == "silent" else 20_000) * MS)
    wait_until(kit.loop, lambda: old.requests)
    client.move(new.at)
    if outcome == RESPONSE:
        old.connections[0].connection.write(RESPONSE)
    elif outcome == "ended":
        old.connections[0].connection.close("over")
    wait_until(kit.loop, lambda: handler.outcomes)
    client.call("GET", "/", b"", 20_000 * MS)
    wait_until(kit.loop, lambda: len(handler.outcomes) == 2)
    assert handler.outcomes == [(200, b"yes") if outcome == RESPONSE else outcome, (200, b"yes")]
    assert len(old.requests) == len(old.connections) == len(new.requests) == 1
    client.close()
    old.close()
    new.close()
