import socket

import pytest
from parties import MS, StubServer, wait_until

from kestrelplank.sockets.http import Client


class Asker:
    def __init__(self):
        self.outcomes = []

    def on_answer(self, status, body):
        self.outcomes.append((status, body))

    def on_failure(self, why):
        self.outcomes.append(why.split(":")[0])


GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"


@pytest.mark.parametrize(
    "answer, outcome, kept",
    [
        (GOOD, (200, b"yes"), True),
        (b"HTTP/1.1 503 no\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", (503, b"no"), True),
        (GOOD.replace(b"\r\n\r", b"\r\nConnection: close\r\n\r"), (200, b"yes"), False),
        (b"RELAY 9\r\n\r\n", "unreadable", False),
        (b"\x00\xff\x00", "unreadable", False),
        (b"HTTP/1.1 200 OK\r\n" + b"X" * 40_000, "too large", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b"x" * 900, "too large", False),
        (GOOD[:-1], "silent", False),
        (b"", "silent", False),
        (None, "ended", False),
    ],
)
@pytest.mark.parametrize("piece", [1, 100_000])
def test_a_call_ends_in_one_outcome_however_the_answer_comes(kit, answer, outcome, kept, piece):
    def does(visitor, path, body):
        if answer is None:
            visitor.connection.close("broken off")
        for at in range(0, len(answer or b""), piece):
            visitor.connection.write(answer[at : at + piece])

    party, asker = StubServer(kit, does), Asker()
    client = Client(kit.loop, kit.pool, party.at, asker, 250 * MS, 500)
    for number in (1, 2):
        client.call("GET", "/", b"", (100 if outcome == "silent" else 20_000) * MS)
        wait_until(kit.loop, lambda number=number: len(asker.outcomes) == number)
    assert asker.outcomes == [outcome] * 2 and len(party.connections) == (1 if kept else 2)
    client.close()
    party.close()


def test_a_connection_that_never_comes_up_is_given_up(kit):
    with socket.socket() as full:  # takes one connection that nobody accepts, and leaves the next unanswered
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        first, asker = socket.create_connection(full.getsockname()), Asker()
        client = Client(kit.loop, kit.pool, "%s:%d" % full.getsockname(), asker, 100 * MS, 500)
        client.call("GET", "/", b"", 5000 * MS)
        wait_until(kit.loop, lambda: asker.outcomes)
        assert asker.outcomes == ["does not come up"]
        first.close()


@pytest.mark.parametrize("outcome", [GOOD, "silent", "ended"])
def test_a_call_that_is_out_ends_where_it_went_and_the_next_goes_to_the_new_address(kit, outcome):
    old, new = StubServer(kit), StubServer(kit, lambda visitor, path, body: visitor.connection.write(GOOD))
    asker = Asker()
    client = Client(kit.loop, kit.pool, old.at, asker, 250 * MS, 500)
    client.call("GET", "/", b"", (50 if outcome == "silent" else 20_000) * MS)
    wait_until(kit.loop, lambda: old.requests)
    client.move(new.at)
    if outcome == GOOD:
        old.connections[0].connection.write(GOOD)
    elif outcome == "ended":
        old.connections[0].connection.close("over")
    wait_until(kit.loop, lambda: asker.outcomes)
    client.call("GET", "/", b"", 20_000 * MS)
    wait_until(kit.loop, lambda: len(asker.outcomes) == 2)
    assert asker.outcomes == [(200, b"yes") if outcome == GOOD else outcome, (200, b"yes")]
    assert len(old.requests) == len(old.connections) == len(new.requests) == 1
    client.close()
    old.close()
    new.close()
