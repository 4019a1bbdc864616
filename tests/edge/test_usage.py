"""What an edge counts, and what it sends to members."""

import asyncio
from random import Random

import pytest
from edge.stage import IP, answer, answer_all_requests, run_scenario

from kestrelplank.edge.attempt_counting import counted_attempt
from kestrelplank.edge.control_sessions import ControlSessions
from kestrelplank.forwarding.retry_policy import CallKind, CallOutcome
from kestrelplank.rehearsal.loopback import PortReservations
from kestrelplank.time_units import SECOND
from kestrelplank.transport.edge_view import EdgeView
from kestrelplank.transport.messages import decode_at_member
from kestrelplank.transport.wire import FrameConnection
from kestrelplank.usage.edge_usage import EdgeUsage
from kestrelplank.usage.messages import UsageCounts, UsageCountsReply
from kestrelplank.usage.windows import AFTER_ALL_WINDOWS

KEYS = {"museum": "first-key", "library": "key-of-library"}
TENANTS = [{"name": name, "api_keys": [key]} for name, key in KEYS.items()]
HOUR = 3600 * SECOND  # one window for a whole test, or two


def new_usage():
    usage = EdgeUsage("edge-1", 1, HOUR)
    usage.set_own_clock(0, 0)
    return usage


def totals(usage):
    counts = {}
    for window in usage.counter.changes_since(0):
        for tenant, count in window.counts.items():
            counts[tenant] = counts.get(tenant, 0) + count
    return counts


@pytest.mark.parametrize(
    "outcome, count",
    [
        (CallOutcome.ANSWERED, 1),
        (CallOutcome.SERVER_ERROR, 1),
        (CallOutcome.TIMEOUT, 1),
        (CallOutcome.RESET, 1),
        (CallOutcome.ABANDONED, 1),
        (CallOutcome.NOT_EXECUTED, 0),
        (CallOutcome.NO_CONNECTION_FREE, 0),
        (CallOutcome.CONNECT_FAIL, 0),
        (CallOutcome.NOT_SENT, 0),
    ],
)
def test_an_attempt_counts_unless_its_outcome_proves_that_it_has_not_run(outcome, count):
    usage = new_usage()
    with counted_attempt(usage, "museum", CallKind.NON_IDEMPOTENT_REQUEST) as attempt:
        assert totals(usage) == {"museum": 1}
        attempt.outcome = outcome
    assert totals(usage) == {"museum": count}
    assert usage.counter.final_through(2 * HOUR) == 1


def test_an_attempt_whose_task_is_cancelled_counts():
    usage = new_usage()
    with (
        pytest.raises(asyncio.CancelledError),
        counted_attempt(usage, "museum", CallKind.IDEMPOTENT_REQUEST),
    ):
        raise asyncio.CancelledError
    assert totals(usage) == {"museum": 1}


def test_requests_are_counted_by_the_tenant_of_their_key():
    """Also guards against: the client's own tenant header decides who is charged."""

    async def scenario(harness):
        usage = harness.program.context.usage = new_usage()
        harness.configure(tenants=TENANTS)
        for name in ("museum", "library", "museum"):
            headers = f"Authorization: Bearer {KEYS[name]}", "X-Tenant-Name: other"
            assert (await harness.send_request("/safe/x", b"", "me", 2000, "POST", *headers))[0] == 200
        unknown = await harness.send_request("/safe/x", b"", "me", 2000, "POST", "Authorization: Bearer guess")
        assert unknown[0] == 401
        assert totals(usage) == {"museum": 2, "library": 1}

    run_scenario(scenario, answer_all_requests)


@pytest.mark.parametrize(
    "refusal, count",
    [({"status": 503, "more": "X-Not-Executed: 1\r\n"}, 1), ({"status": 500}, 2)],
)
def test_a_retried_request_counts_once_for_each_run(refusal, count):
    """The request that is refused first is answered by the other server."""
    refused = []

    async def refuse_the_first_request(server, connection):
        while True:
            fields, _ = await connection.request()
            connection.write(answer(fields, **({} if refused else refusal)))
            refused.append(server.name)

    async def scenario(harness):
        usage = harness.program.context.usage = new_usage()
        harness.configure(tenants=TENANTS)
        headers = f"Authorization: Bearer {KEYS['museum']}"
        assert (await harness.send_request("/safe/x", b"", "me", 2000, "POST", headers))[0] == 200
        assert len(refused) == 2 and totals(usage) == {"museum": count}

    run_scenario(scenario, refuse_the_first_request, refuse_the_first_request)


class Member:
    """A member that records an edge's counts and answers them."""

    def __init__(self):
        self.received, self.connections = [], []

    def handle(self, connection, message):
        self.connections.append(connection)
        if isinstance(message, UsageCounts):
            self.received.append(message)
            connection.send(UsageCountsReply(message.sent_at, 1, 5 * HOUR))


def test_the_last_counts_are_sent_before_the_sessions_close():
    """Guards against: what was counted since the last heartbeat is lost with each edge that is stopped."""

    async def scenario():
        member, ports = Member(), PortReservations()
        port = ports.reserve([IP])
        listening = await asyncio.get_running_loop().create_server(
            lambda: FrameConnection(decode_at_member, member.handle, lambda connection: None), IP, port
        )
        usage = new_usage()
        sessions = ControlSessions(EdgeView("edge-1", (f"{IP}:1",)), port, Random(1), lambda *args: None, usage)
        sessions.reconcile()
        while usage.time.true_time(0) is None:
            await asyncio.sleep(0.01)
        window = usage.attempt_started(0, "museum")
        usage.counter.attempt_ended(window, "museum", executed=True)
        await sessions.send_last_counts()
        sessions.close()
        while member.received[-1].final_through != AFTER_ALL_WINDOWS:
            await asyncio.sleep(0.01)
        listening.close()
        for connection in member.connections:
            connection.reset()
        ports.release()
        counted = [changed.counts for message in member.received for changed in message.windows]
        assert counted == [{"museum": 1}]

    async def limited():
        async with asyncio.timeout(10):
            await scenario()

    asyncio.run(limited())
