"""Any order, doubling, truncation and loss, on both wires of the edge at once: clients that pipeline in any pieces, and
servers that answer as servers in trouble may. What is counted is what reached each side.

Two planted defects must be found: one that repeats what must not be repeated, and one that takes any answer for ours.
"""

import asyncio
from dataclasses import dataclass, field

import pytest
from edge import stage as staging
from edge.stage import answer, request_head
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as some

from kestrelplank.edge import server_connections
from kestrelplank.forwarding import retry_policy
from kestrelplank.forwarding.retry_policy import CallKind

ONCE, SAFE = "/once/x", "/safe/x"
WITHIN = 200  # ms that clients wait: longer than the least that is worth an offer
PROMISES = (408, 421, 429, 503)

# What a server does with a request that it has read whole. All but `not run` count as a run.
MOVES = (
    "answer",
    "answer",
    "answer",
    "answer twice",
    "answer, and again late",
    "answer of another first",
    "answer of another only",
    "answer without id",
    "answer with two ids",
    "answer without stamp",
    "not run",
    "not run twice",
    "fail",
    "early, then close",
    "silent",
    "reset",
    "close",
    "torn, then reset",
    "torn, then close",
    "torn, then silent",
    "garbage",
    "answer, then close",
    "answer, says it closes",
)


@dataclass
class Request:
    """One request of a client, and what servers do with it, arrival by arrival. `cut`: where answers are torn."""

    once: bool
    size: int
    moves: list[str]
    cut: int


@dataclass
class Seen:
    """What the servers saw and the clients got."""

    runs: dict[str, int] = field(default_factory=dict)
    arrivals: dict[str, int] = field(default_factory=dict)
    answers: dict[str, tuple] = field(default_factory=dict)
    strange: list[str] = field(default_factory=list)


requests = some.builds(
    Request,
    once=some.booleans(),
    size=some.sampled_from([0, 1, 300]),
    moves=some.lists(some.sampled_from(MOVES), min_size=1, max_size=2),
    cut=some.integers(0, 150),
)
# Each connection: its requests, where their bytes are cut into pieces, and how much of one more request follows.
connections = some.tuples(
    some.lists(requests, min_size=1, max_size=4),
    some.lists(some.integers(0, 1500), max_size=4),
    some.integers(0, 60),
)


def body_of(name, size):
    return (name.encode() * 300)[:size]


def answer_of(name):
    return b"answer to " + name.encode()


def script_for(asked, seen):
    """Servers that do what was drawn for each request."""
    former = ["nobody"]

    async def script(server, connection):
        while True:
            _, fields = await connection.head()
            name = fields["x-attempt-id"]
            if name not in asked:
                seen.strange.append(f"unasked {name}")
                return
            move = asked[name].moves[seen.arrivals.get(name, 0) % len(asked[name].moves)]
            seen.arrivals[name] = seen.arrivals.get(name, 0) + 1
            whole = answer(fields, answer_of(name))
            if move == "early, then close":
                seen.runs[name] = seen.runs.get(name, 0) + 1
                connection.write(whole)
                return
            body = await connection._read(int(fields.get("content-length", "0")))
            if body != body_of(name, asked[name].size):
                seen.strange.append(f"changed {name}")
            if not move.startswith("not run"):
                seen.runs[name] = seen.runs.get(name, 0) + 1
            other = answer({"x-attempt-id": former[0]}, answer_of(former[0]))
            refusal = answer(fields, b"", 503, "X-Not-Executed: 1\r\n")
            torn = whole[: min(asked[name].cut, len(whole) - 1)]
            plain = b"HTTP/1.1 200 X\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nno"
            connection.write(
                {
                    "answer twice": whole * 2,
                    "answer of another first": other + whole,
                    "answer of another only": other,
                    "answer without id": plain,
                    "answer with two ids": answer(fields, b"no", 200, "X-Attempt-Id: another\r\n"),
                    "answer without stamp": whole.replace(b"X-Server-Seal: s\r\n", b""),
                    "not run": refusal,
                    "not run twice": refusal * 2,
                    "fail": answer(fields, b"failed", 500),
                    "silent": b"",
                    "reset": b"",
                    "close": b"",
                    "garbage": b"\x00\xff no answer\r\n\r\n",
                    "answer, says it closes": answer(fields, answer_of(name), 200, "Connection: close\r\n"),
                }.get(move, torn if "torn" in move else whole)
            )
            former[0] = name
            if move == "answer, and again late":
                await connection.writer.drain()
                for _ in range(3):
                    await asyncio.sleep(0)
                connection.write(whole)
            elif move.endswith("reset"):
                await connection.writer.drain()
                connection.reset()
                return
            elif move.endswith("close") or move == "garbage":
                return
            elif move.endswith("silent") or move == "answer of another only":
                await connection.reader.read()
                return

    return script


async def client(stage, number, drawn, asked, seen):
    """One client's connection: its requests pipelined in pieces, one more that breaks off, and the answers in order."""
    found, cuts, rest = drawn
    names = [f"c{number}-r{place}" for place in range(len(found))]
    data = b""
    for name, request in zip(names, found):
        asked[name] = request
        path = ONCE if request.once else SAFE
        data += request_head(path, request.size, name, WITHIN) + body_of(name, request.size)
    data += request_head(ONCE, 7, "never")[:rest]
    connection = await stage.client()
    places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    for first, last in zip(places, places[1:]):
        connection.writer.write(data[first:last])
        for _ in range(3):
            await asyncio.sleep(0)
    for name in names:
        seen.answers[name] = await connection.answer()
    connection.close()


def broken(asked, seen):
    """The rules that are broken, each by the request it was broken for."""
    found = list(seen.strange)
    for name, request in asked.items():
        status, fields, body = seen.answers[name] or (None, {}, b"")
        if status is None:
            found.append(f"{name}: no answer")
        if request.once and seen.runs.get(name, 0) > 1:
            found.append(f"{name}: ran twice")
        if seen.arrivals.get(name, 0) > 2:
            found.append(f"{name}: sent more often than its route allows")
        if request.once and status in PROMISES and seen.runs.get(name, 0):
            found.append(f"{name}: ran, and was refused with a promise")
        if status is not None and 200 <= status < 300:
            mine = (fields.get("x-attempt-id"), fields.get("x-server-seal"), body)
            if mine != (name, "s", answer_of(name)):
                found.append(f"{name}: got {mine}")
    return found


async def play(drawn):
    """Plays what was drawn; returns the rules that were broken."""
    asked, seen = {}, Seen()
    script = script_for(asked, seen)
    async with asyncio.timeout(30), staging.staged(script, script) as stage:
        stage.program.forwarder.retry_budget.capacity = lambda: 100.0
        stage.program.forwarder.retry_budget._balance.clear()
        await asyncio.gather(*(client(stage, number, one, asked, seen) for number, one in enumerate(drawn)))
        for _ in range(3):
            await asyncio.sleep(0)
        if stage.program.context.buffered_body_bytes:
            seen.strange.append("bodies are held for ever")
        if any(endpoint.in_flight for endpoint in stage.program.forwarder.endpoints.by_name.values()):
            seen.strange.append("a server is thought busy for ever")
    return broken(asked, seen)


@settings(max_examples=40, suppress_health_check=[HealthCheck.too_slow])
@given(some.lists(connections, min_size=1, max_size=3))
def test_whatever_happens_on_both_wires_each_client_gets_its_own_answer_and_nothing_runs_twice(drawn):
    assert asyncio.run(play(drawn)) == []


def repeats(monkeypatch):
    """What ended without proof is sent again, whatever it is."""
    row = {
        **retry_policy.RETRY_TABLE[CallKind.NON_IDEMPOTENT_REQUEST],
        **dict.fromkeys(retry_policy.UNPROVEN_OUTCOMES, retry_policy.UNKNOWN_BUT_IDEMPOTENT),
    }
    monkeypatch.setitem(retry_policy.RETRY_TABLE, CallKind.NON_IDEMPOTENT_REQUEST, row)


def takes_any(monkeypatch):
    """The next answer on the connection is ours, whatever id it bears."""
    monkeypatch.setattr(server_connections, "is_answer_to", lambda answer, attempt: True)


@pytest.mark.parametrize("plant, wrong", [(repeats, "ran twice"), (takes_any, ": got ")])
def test_a_planted_defect_is_found(plant, wrong, monkeypatch):
    """The same examples as above must break the rule that the defect breaks."""
    plant(monkeypatch)
    found = []

    @settings(max_examples=60, suppress_health_check=list(HealthCheck), phases=[Phase.generate])
    @given(some.lists(connections, min_size=1, max_size=3))
    def search(drawn):
        if not any(wrong in one for one in found):
            found.extend(asyncio.run(play(drawn)))

    search()
    assert any(wrong in one for one in found)
