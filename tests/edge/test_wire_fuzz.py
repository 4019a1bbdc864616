"""Random faults on client and server connections at once: pipelined and fragmented requests, faulty servers.

Guards against answers given to the wrong request and repeated non-idempotent requests. Three injected defects check that
such faults are detected.
"""

import asyncio
from dataclasses import dataclass, field

import pytest
from edge import stage as edge_harness
from edge.stage import answer, request_head
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from kestrelplank.edge import server_connections
from kestrelplank.forwarding import retry_policy
from kestrelplank.forwarding.retry_policy import CallKind, CallOutcome

NON_IDEMPOTENT, IDEMPOTENT = "/once/x", "/safe/x"
TIMEOUT_MS = 200  # client time-out, above the minimum time for an attempt
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # promise that the request has not run

# What a server does with a complete request. All actions except "not run..." count as a run.
ACTIONS = (
    "answer",
    "answer",
    "answer",
    "answer twice",
    "answer, and again late",
    "answer of another first",
    "answer of another only",
    "answer without id",
    "answer with two ids",
    "answer without seal",
    "not run",
    "not run twice",
    "not run, and again late",
    "runs, and says 421",
    "runs, and says 503",
    "fail",
    "early, then close",
    "silent",
    "reset",
    "close",
    "truncated, then reset",
    "truncated, then close",
    "truncated, then silent",
    "garbage",
    "answer, then close",
    "answer, says it closes",
)


@dataclass
class Request:
    """One client request, and the servers' action at each arrival. `truncated_length`: of truncated answers, in bytes."""

    non_idempotent: bool
    size: int
    actions: list[str]
    truncated_length: int


@dataclass
class Observed:
    """Observations of servers and clients. `violations`: rules broken at a server or in the edge."""

    runs: dict[str, int] = field(default_factory=dict)
    arrivals: dict[str, int] = field(default_factory=dict)
    answers: dict[str, tuple] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


requests = st.builds(
    Request,
    non_idempotent=st.booleans(),
    size=st.sampled_from([0, 1, 300]),
    actions=st.lists(st.sampled_from(ACTIONS), min_size=1, max_size=2),
    truncated_length=st.integers(0, 150),
)
# Each connection: its requests, the offsets at which their bytes are split, and the length of a final partial request.
connections = st.tuples(
    st.lists(requests, min_size=1, max_size=4),
    st.lists(st.integers(0, 1500), max_size=4),
    st.integers(0, 60),
)


def body_of(name, size):
    return (name.encode() * 300)[:size]


def answer_of(name):
    return b"answer to " + name.encode()


def script_for(requests_by_id, observed):
    """Return a server script that performs each request's actions."""
    previous_id = ["unknown"]

    async def script(server, connection):
        while True:
            _, fields = await connection.head()
            name = fields["x-attempt-id"]
            if name not in requests_by_id:
                observed.violations.append(f"unexpected request {name}")
                return
            action = requests_by_id[name].actions[observed.arrivals.get(name, 0) % len(requests_by_id[name].actions)]
            observed.arrivals[name] = observed.arrivals.get(name, 0) + 1
            complete = answer(fields, answer_of(name))
            if action == "early, then close":
                observed.runs[name] = observed.runs.get(name, 0) + 1
                connection.write(complete)
                return
            body = await connection._read(int(fields.get("content-length", "0")))
            if body != body_of(name, requests_by_id[name].size):
                observed.violations.append(f"changed body of {name}")
            if not action.startswith("not run"):
                observed.runs[name] = observed.runs.get(name, 0) + 1
            earlier_answer = answer({"x-attempt-id": previous_id[0]}, answer_of(previous_id[0]))
            rejection = answer(fields, b"", 503, "X-Not-Executed: 1\r\n")
            truncated = complete[: min(requests_by_id[name].truncated_length, len(complete) - 1)]
            without_id = b"HTTP/1.1 200 X\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nno"
            connection.write(
                {
                    "answer twice": complete * 2,
                    "answer of another first": earlier_answer + complete,
                    "answer of another only": earlier_answer,
                    "answer without id": without_id,
                    "answer with two ids": answer(fields, b"no", 200, "X-Attempt-Id: another\r\n"),
                    "answer without seal": complete.replace(b"X-Server-Seal: s\r\n", b""),
                    "not run": rejection,
                    "not run twice": rejection * 2,
                    "not run, and again late": rejection,
                    "runs, and says 421": answer(fields, b"refused", 421),
                    "runs, and says 503": answer(fields, b"refused", 503),
                    "fail": answer(fields, b"failed", 500),
                    "silent": b"",
                    "reset": b"",
                    "close": b"",
                    "garbage": b"\x00\xff no answer\r\n\r\n",
                    "answer, says it closes": answer(fields, answer_of(name), 200, "Connection: close\r\n"),
                }.get(action, truncated if "truncated" in action else complete)
            )
            previous_id[0] = name
            if action.endswith("and again late"):
                await connection.writer.drain()
                for _ in range(3):
                    await asyncio.sleep(0)
                connection.write(complete if action.startswith("answer") else rejection)
            elif action.endswith("reset"):
                await connection.writer.drain()
                connection.reset()
                return
            elif action.endswith("close") or action == "garbage":
                return
            elif action.endswith("silent") or action == "answer of another only":
                await connection.reader.read()
                return

    return script


async def client(harness, number, example, requests_by_id, observed):
    """Pipeline a client's requests in fragments with a final partial request, and read the answers in order."""
    drawn_requests, split_offsets, partial_length = example
    names = [f"c{number}-r{position}" for position in range(len(drawn_requests))]
    data = b""
    for name, request in zip(names, drawn_requests):
        requests_by_id[name] = request
        path = NON_IDEMPOTENT if request.non_idempotent else IDEMPOTENT
        data += request_head(path, request.size, name, TIMEOUT_MS) + body_of(name, request.size)
    data += request_head(NON_IDEMPOTENT, 7, "never")[:partial_length]
    connection = await harness.client()
    positions = sorted({0, len(data), *(offset for offset in split_offsets if offset < len(data))})
    for first, last in zip(positions, positions[1:]):
        connection.writer.write(data[first:last])
        for _ in range(3):
            await asyncio.sleep(0)
    for name in names:
        observed.answers[name] = await connection.answer()
    connection.close()


def rule_violations(requests_by_id, observed):
    """Return the violated rules, each with the request concerned."""
    violations = list(observed.violations)
    for name, request in requests_by_id.items():
        status, fields, body = observed.answers[name] or (None, {}, b"")
        if status is None:
            violations.append(f"{name}: no answer")
        if request.non_idempotent and observed.runs.get(name, 0) > 1:
            violations.append(f"{name}: ran twice")
        if observed.arrivals.get(name, 0) > 2:
            violations.append(f"{name}: sent more often than its route allows")
        if request.non_idempotent and status in NOT_EXECUTED_STATUSES and observed.runs.get(name, 0):
            violations.append(f"{name}: ran, and was answered with a status that says it did not")
        if status is not None and 200 <= status < 300:
            received = (fields.get("x-attempt-id"), fields.get("x-server-seal"), body)
            if received != (name, "s", answer_of(name)):
                violations.append(f"{name}: got {received}")
    return violations


async def run_example(example):
    """Run a generated example and return the violated rules."""
    requests_by_id, observed = {}, Observed()
    script = script_for(requests_by_id, observed)
    async with asyncio.timeout(30), edge_harness.running_harness(script, script) as harness:
        harness.program.forwarder.retry_budget.capacity = lambda: 100.0
        harness.program.forwarder.retry_budget._balance.clear()
        await asyncio.gather(
            *(client(harness, number, drawn, requests_by_id, observed) for number, drawn in enumerate(example))
        )
        for _ in range(3):
            await asyncio.sleep(0)
        if harness.program.context.buffered_body_bytes:
            observed.violations.append("the memory of a body was not released")
        if any(endpoint.in_flight for endpoint in harness.program.forwarder.endpoints.by_name.values()):
            observed.violations.append("the in-flight count of a server did not return to 0")
    return rule_violations(requests_by_id, observed)


@settings(max_examples=40, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(connections, min_size=1, max_size=3))
def test_each_client_gets_its_own_answer_and_no_non_idempotent_request_runs_twice(example):
    assert asyncio.run(run_example(example)) == []


def retry_unproven(monkeypatch):
    """Defect: retry non-idempotent requests of unknown outcome."""
    row = {
        **retry_policy.RETRY_TABLE[CallKind.NON_IDEMPOTENT_REQUEST],
        **dict.fromkeys(retry_policy.UNPROVEN_OUTCOMES, retry_policy.UNKNOWN_BUT_IDEMPOTENT),
    }
    monkeypatch.setitem(retry_policy.RETRY_TABLE, CallKind.NON_IDEMPOTENT_REQUEST, row)


def accept_any_answer(monkeypatch):
    """Defect: accept the next answer on the connection whatever its `X-Attempt-Id`."""
    monkeypatch.setattr(server_connections, "is_answer_to", lambda answer, attempt: True)


def believe_statuses(monkeypatch):
    """Defect: take the status of a refusal for the statement that the request has not run."""
    outcomes = {CallOutcome.UNPROVEN_REFUSAL: CallOutcome.NOT_EXECUTED}
    outcome_of = server_connections.outcome_of
    monkeypatch.setattr(
        server_connections, "outcome_of", lambda answer: outcomes.get(outcome_of(answer), outcome_of(answer))
    )


@pytest.mark.parametrize(
    "inject, violation",
    [(retry_unproven, "ran twice"), (accept_any_answer, ": got "), (believe_statuses, "says it did not")],
)
def test_injected_defect_is_detected(inject, violation, monkeypatch):
    """Generated examples must violate the rule that the defect breaks."""
    inject(monkeypatch)
    found = []

    @settings(max_examples=60, suppress_health_check=list(HealthCheck), phases=[Phase.generate])
    @given(st.lists(connections, min_size=1, max_size=3))
    def search(example):
        if not any(violation in text for text in found):
            found.extend(asyncio.run(run_example(example)))

    search()
    assert any(violation in text for text in found)
