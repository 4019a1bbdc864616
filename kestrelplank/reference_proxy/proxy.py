"""The proxy: takes requests from clients, forwards them to nodes, with one exchange for each op.

Decisions are made by components without I/O: `Admission` for client connections, `Attempts` for ops and their attempts,
a `ConnectionPool` for each node's connections, and `IdempotencyCache` for responses of deduplicated ops. `Proxy` takes
each op from request to response. `client_connection`, `exchange` and `node_connections` move the bytes, with bounded
buffers and backpressure in both directions.
"""

import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from kestrelplank.load_balancing.admission import Admission
from kestrelplank.load_balancing.attempts import Attempts
from kestrelplank.load_balancing.connection_pool import PoolSettings
from kestrelplank.load_balancing.operations import AttemptOutcome, EndReason, Op, Send, Step, Verdict, Wait
from kestrelplank.load_balancing.waiting_queue import retry_after_s
from kestrelplank.reference_proxy.client_connection import ClientConnection
from kestrelplank.reference_proxy.client_connections import ClientConnections
from kestrelplank.reference_proxy.client_request import ClientRequest, OpType, Rejection
from kestrelplank.reference_proxy.exchange import Exchange, ExchangeLimits, Stage
from kestrelplank.reference_proxy.http_messages import Header, proxy_response
from kestrelplank.reference_proxy.keyed_requests import Forward, KeyDecision, KeyedRequests, Replay
from kestrelplank.reference_proxy.node_connection import NodeConnection
from kestrelplank.reference_proxy.node_connections import NodeConnections
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.state.idempotency_cache import IdempotencyCache
from kestrelplank.state.tables import Tables
from kestrelplank.time_units import MILLISECOND

SWEEP_INTERVAL_NS = 100 * MILLISECOND  # between checks for connections that have timed out
RETRY_AFTER_QUEUE_LENGTH = 1 << 10  # waiting ops at which the delay in Retry-After is doubled
NO_OP_TYPE = Rejection(501, "no op type has this method and target")
HEALTH_TARGET = b"/health"


@dataclass(frozen=True, slots=True)
class ProxyCores:
    """The components without I/O that make a proxy's decisions."""

    tables: Tables
    attempts: Attempts
    admission: Admission
    answers: IdempotencyCache


@dataclass(frozen=True, slots=True)
class ProxyHooks:
    """A proxy's callbacks to its owner.

    :param table_of: returns the table that a request is routed by.
    :param on_attempt_ended: called when an attempt ends, with table, node, op type, success and latency (ns).
    :param on_op_ended: called when an op ends, with table, op type and verdict.
    """

    table_of: Callable[[ClientRequest], int]
    on_attempt_ended: Callable[[int, int, int, bool, int], None]
    on_op_ended: Callable[[int, int, Verdict], None]


class Proxy:
    """A proxy; the `RequestHandler` of its client connections.

    Invariant: every submitted op ends exactly once and then holds no resources (checked by `Site.close` in the tests).

    :param listen_at: the address to listen on, or a listening socket.
    :param addresses: node addresses by node index; the caller may change them.
    """

    def __init__(
        self,
        io: ProxyIo,
        listen_at: tuple[str, int] | socket.socket,
        op_types: list[OpType],
        limits: ExchangeLimits,
        cores: ProxyCores,
        pool_settings: PoolSettings,
        addresses: dict[int, str],
        hooks: ProxyHooks,
    ) -> None:
        self._io, self._loop, self._hooks = io, io.loop, hooks
        self._tables, self._attempts, self.admission = cores.tables, cores.attempts, cores.admission
        self._op_types, self.limits, self.stopping = op_types, limits, False
        self.outcomes: Counter[str] = Counter()
        self.exchanges: dict[int, Exchange] = {}  # by op number
        self._last_number = 0
        self._keyed = KeyedRequests(cores.answers, io.counters)
        self.nodes = NodeConnections(
            io.loop, io.buffers, io.counters, pool_settings, addresses, limits.dial_timeout_ns, self._end_attempt
        )
        self.clients = ClientConnections(io, cores.admission, self, listen_at)
        self.listen_address = self.clients.listener.at
        self._timer = io.loop.at(io.loop.now() + SWEEP_INTERVAL_NS, self._close_timed_out)

    def reconfigure(self, op_types: list[OpType], limits: ExchangeLimits) -> None:
        """Use these settings for requests that arrive from now on."""
        self._op_types, self.limits = op_types, limits
        self.nodes.dial_timeout_ns = limits.dial_timeout_ns

    def now(self) -> int:
        """Return the current time (ns)."""
        return self._loop.now()

    def tables_changed(self, tables: list[int]) -> None:
        """Resume ops that wait for an endpoint in these tables; withdraw nodes that no table names."""
        for op, step in self._attempts.tables_changed(self._loop.now(), tables):
            self._apply_step(self.exchanges[op.number], step)
        self._apply_settled()
        named: dict[int, None] = {}
        for table in range(self._tables.size):
            named.update((node, None) for node, _ in self._tables.available(table))
        self.nodes.restrict_to(named)

    # Requests (`RequestHandler`)

    def begin_request(self, exchange: Exchange) -> None:
        """Start a request whose head is complete and that is the first in its connection's queue."""
        request = exchange.request
        exchange.stage = Stage.PROCESSING
        self._last_number += 1
        exchange.number = self._last_number
        if request.method == b"GET" and request.target == HEALTH_TARGET:
            self._respond(exchange, HTTPStatus.OK, "ok")
            return
        op_type = next((index for index, op_type in enumerate(self._op_types) if op_type.matches(request)), None)
        if op_type is None:
            self._reject(exchange, NO_OP_TYPE)
            return
        if request.expects_continue():
            exchange.client.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._begin_op(exchange, op_type)

    def _begin_op(self, exchange: Exchange, op_type: int) -> None:
        request, settings = exchange.request, self._op_types[op_type]
        exchange.op_type = op_type
        exchange.deadline = self._loop.now() + settings.timeout_ns
        exchange.timer = self._loop.at(exchange.deadline, lambda: self._time_out(exchange))
        self.exchanges[exchange.number] = exchange
        if settings.deduplicated:
            exchange.idempotency_key = (request.header(self.limits.idempotency_key_header) or b"").decode("latin-1")
        if not exchange.idempotency_key:
            self._submit(exchange)
        elif request.complete:
            self._look_up(exchange)

    def body_received(self, exchange: Exchange) -> None:
        """Look up a request's idempotency key, which needs the complete body."""
        if exchange.stage is Stage.PROCESSING and exchange.idempotency_key and exchange.op is None:
            self._look_up(exchange)

    def client_closed(self, client: ClientConnection) -> None:
        """Cancel the requests of a client whose connection has closed."""
        self.clients.remove(client)
        for exchange in list(client.queue):
            self.cancel_request(exchange)
        client.queue.clear()

    def cancel_request(self, exchange: Exchange) -> None:
        """Abandon a request whose client has gone, or whose remaining bytes will not arrive."""
        if exchange.op is not None:
            self.outcomes["gone"] += 1
            self._abandon_attempt(exchange, EndReason.CALLER_GONE)
            end = self._attempts.abandon(self._loop.now(), exchange.op, EndReason.CALLER_GONE)
            self._release_op(exchange, end.verdict, None)
            self._apply_settled()
        else:
            self._release_exchange(exchange)
        exchange.client.exchange_finished(exchange)

    def _look_up(self, exchange: Exchange) -> None:
        decision = self._keyed.look_up(self._loop.now(), exchange, self.limits.max_resend_body_bytes)
        if isinstance(decision, Forward):
            exchange.recorded_response = []
            self._submit(exchange)
        else:
            self._respond_by_key(exchange, decision)

    def _time_out(self, exchange: Exchange) -> None:
        """End an op whose deadline has passed."""
        if exchange.number not in self.exchanges:
            return
        if exchange.op is None:
            self._release_exchange(exchange)
            self._respond(exchange, HTTPStatus.GATEWAY_TIMEOUT, EndReason.OP_TIMEOUT)
            return
        self._abandon_attempt(exchange, EndReason.OP_TIMEOUT)
        self._apply_step(exchange, self._attempts.abandon(self._loop.now(), exchange.op))
        self._apply_settled()

    # Responses that do not come from a node

    def _respond_by_key(self, exchange: Exchange, decision: KeyDecision) -> None:
        if isinstance(decision, Replay):
            self._replay(exchange, decision.answer)
        elif isinstance(decision, Rejection):
            self._reject(exchange, decision)

    def _replay(self, exchange: Exchange, answer: bytes) -> None:
        self._release_exchange(exchange)
        self.outcomes["kept"] += 1
        exchange.send_response(answer)
        exchange.client.exchange_finished(exchange)

    def _reject(self, exchange: Exchange, rejection: Rejection) -> None:
        self._respond(exchange, rejection.status, rejection.reason, may_retry=rejection.may_retry)

    def _respond(self, exchange: Exchange, status: int, text: str, *, may_retry: bool = False) -> None:
        exchange.keep = exchange.keep and exchange.request.complete and not self.stopping
        extra_headers: list[Header] = []
        if may_retry:
            wait_s = retry_after_s(0, self._attempts.waiting_count(), RETRY_AFTER_QUEUE_LENGTH)
            extra_headers.append((b"Retry-After", b"%d" % wait_s))
        self._release_exchange(exchange)
        exchange.send_response(proxy_response(status, text, keep=exchange.keep, extra_headers=extra_headers))
        exchange.client.exchange_finished(exchange)

    def _release_exchange(self, exchange: Exchange) -> None:
        """Remove an exchange that has no op: cancel its timer and its wait for another request with the same key."""
        self.exchanges.pop(exchange.number, None)
        if exchange.timer is not None:
            exchange.timer.cancel()
        self._keyed.release(exchange)

    # Ops

    def _submit(self, exchange: Exchange) -> None:
        now, table = self._loop.now(), self._hooks.table_of(exchange.request)
        exchange.op, step = self._attempts.submit(
            now, exchange.number, exchange.op_type, table, exchange.deadline - now, exchange.idempotency_key
        )
        self._apply_step(exchange, step)
        self._apply_settled()

    def _apply_step(self, exchange: Exchange, step: Step) -> None:
        if isinstance(step, Send):
            self.nodes.send(exchange, step.node)
        elif isinstance(step, Wait):
            self._expire_at(step.until, exchange)
        else:
            self._end_op(exchange, step.verdict, step.reason)

    def _apply_settled(self) -> None:
        """Carry out the steps that the last calls of `Attempts` produced for other ops."""
        for op, step in self._attempts.take_queued_steps(self._loop.now()):
            if op.number in self.exchanges:
                self._apply_step(self.exchanges[op.number], step)

    def _expire_at(self, until: int, exchange: Exchange) -> None:
        def expire() -> None:
            if exchange.op is not None and exchange.op.waits_until == until:
                self._apply_step(exchange, self._attempts.wait_expired(exchange.op))

        self._loop.at(until, expire)

    def _end_op(self, exchange: Exchange, verdict: Verdict, reason: EndReason | AttemptOutcome) -> None:
        """End an op; the proxy sends a response unless a node's response is already being forwarded."""
        self.outcomes[verdict] += 1
        answered = verdict is Verdict.ACKED or reason is AttemptOutcome.FAILED
        complete = exchange.stage is Stage.ANSWERING and answered
        self._release_op(exchange, verdict, exchange.recorded_response if complete else None)
        if complete:
            exchange.client.exchange_finished(exchange)
        elif exchange.stage is Stage.ANSWERING:
            exchange.client.close("response truncated")  # closing signals an incomplete response (RFC 9112, section 8)
        else:
            may_retry = verdict is Verdict.REJECTED
            self._respond(exchange, self._status_of(verdict, reason), f"{verdict}: {reason}", may_retry=may_retry)

    @staticmethod
    def _status_of(verdict: Verdict, reason: EndReason | AttemptOutcome) -> HTTPStatus:
        """Return the HTTP status for an op that has ended without a node's response."""
        if reason is EndReason.OP_TIMEOUT:
            return HTTPStatus.GATEWAY_TIMEOUT
        return HTTPStatus.BAD_GATEWAY if verdict is Verdict.ABORTED else HTTPStatus.SERVICE_UNAVAILABLE

    def _release_op(self, exchange: Exchange, verdict: Verdict, answer: list[bytes] | None) -> None:
        """Release the timer and the idempotency key of an op that has ended.

        :param answer: its response, if any, which requests waiting for the same key receive too.
        """
        self.exchanges.pop(exchange.number, None)
        op, exchange.op = exchange.op, None
        assert op is not None and exchange.timer is not None, "the op was submitted"
        exchange.timer.cancel()
        self._hooks.on_op_ended(op.table, exchange.op_type, verdict)
        if not exchange.idempotency_key:
            return
        waiting, decision = self._keyed.settle(exchange, verdict, answer)
        for other in [self.exchanges[number] for number in waiting if number in self.exchanges]:
            other.idempotency_key = ""
            self._respond_by_key(other, decision)

    # Attempts

    def attempt_ended(
        self, exchange: Exchange, connection: NodeConnection, *, keep: bool, outcome: AttemptOutcome
    ) -> None:
        """Handle the end of an attempt that the node's response or its connection's loss has ended."""
        assert exchange.node is not None, "an attempt has a node"
        self.nodes.release(exchange.node, connection, keep)
        self._end_attempt(exchange, outcome)

    def _abandon_attempt(self, exchange: Exchange, why: str) -> None:
        """Abandon the attempt, if one is in flight."""
        connection = self.nodes.detach(exchange)
        if connection is not None and exchange.op is not None:
            self._report_attempt(exchange.op, succeeded=False)
            connection.close(why)

    def _end_attempt(self, exchange: Exchange, outcome: AttemptOutcome) -> None:
        op = exchange.op
        if op is None or op.node is None:
            return
        exchange.node = None
        if outcome is not AttemptOutcome.UNSENT:
            self._report_attempt(op, succeeded=outcome is AttemptOutcome.SUCCEEDED)
        if exchange.stage is Stage.ANSWERING or exchange.can_resend():
            exchange.reset_attempt()
            step = self._attempts.attempt_ended(self._loop.now(), op, outcome)
        else:  # the request can't be sent again, even if the node has not started it
            step = self._attempts.abandon(self._loop.now(), op, outcome)
        self._apply_step(exchange, step)
        self._apply_settled()

    def _report_attempt(self, op: Op, *, succeeded: bool) -> None:
        if op.node is not None:
            latency_ns = self._loop.now() - op.sent_at
            self._hooks.on_attempt_ended(op.table, op.node, op.op_type, succeeded, latency_ns)

    # Time-outs and shutdown

    def _close_timed_out(self) -> None:
        self.clients.close_timed_out()
        self.nodes.close_timed_out()
        self._timer = self._loop.at(self._loop.now() + SWEEP_INTERVAL_NS, self._close_timed_out)

    def stop(self) -> None:
        """Stop accepting connections; close each one once its requests have been answered."""
        if not self.stopping:
            self.stopping = True
            self.clients.listener.close()  # idle connections time out, see `Admission.expired_connections`

    def idle(self) -> bool:
        """Whether no client is connected."""
        return not self.clients.connections

    def descriptor(self) -> int:
        """Return the listening socket's file descriptor, to be passed to a successor."""
        return self.clients.listener.fileno()

    def close(self) -> None:
        """Close every connection immediately."""
        self.stop()
        self._timer.cancel()
        self.clients.close()
        self.nodes.close()
