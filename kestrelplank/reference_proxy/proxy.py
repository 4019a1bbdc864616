"""The proxy: clients on one side, nodes on the other, and between them one exchange an op.

What is decided comes from the cores: `Admission` holds client connections, `Attempts` ops and their attempts, a
`ConnectionPool` a node's connections, `IdempotencyCache` the answers of deduplicated ops. Here ops are led from their
request to their answer; bytes are moved by `client_connection`, `exchange` and `node_connections`, bounded on both
sides: who does not read holds up who writes.
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
from kestrelplank.reference_proxy.http_messages import Header, own_answer
from kestrelplank.reference_proxy.keyed_requests import Forward, KeyDecision, KeyedRequests, Replay
from kestrelplank.reference_proxy.node_connection import NodeConnection
from kestrelplank.reference_proxy.node_connections import NodeConnections
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.state.idempotency_cache import IdempotencyCache
from kestrelplank.state.tables import Tables
from kestrelplank.time_units import MILLISECOND

SWEEP_INTERVAL_NS = 100 * MILLISECOND  # between looks for connections that are late
LONG_QUEUE = 1 << 10  # ops that wait, at which who is rejected is told to come again twice as late
NO_OP_TYPE = Rejection(501, "no op type has this method and target")
HEALTH_TARGET = b"/health"


@dataclass(frozen=True, slots=True)
class ProxyCores:
    """What decides for a proxy, without I/O."""

    tables: Tables
    attempts: Attempts
    admission: Admission
    answers: IdempotencyCache


@dataclass(frozen=True, slots=True)
class ProxyHooks:
    """What a proxy asks and tells its owner.

    :param table_of: returns the table of a request.
    :param on_attempt: called at each attempt's end with table, node, op type, success and ns.
    :param on_op: called at each op's end with table, op type and verdict.
    """

    table_of: Callable[[ClientRequest], int]
    on_attempt: Callable[[int, int, int, bool, int], None]
    on_op: Callable[[int, int, Verdict], None]


class Proxy:
    """A proxy; it is what its clients' connections call `RequestHandler`.

    Invariant: every op that was asked for ends once, and nothing is held after it (`Site.close` in the tests).

    :param at: the address to listen at, or a listening socket.
    :param addresses: of nodes, by number; may change.
    """

    def __init__(
        self,
        io: ProxyIo,
        at: tuple[str, int] | socket.socket,
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
        self.exchanges: dict[int, Exchange] = {}  # by number
        self._last_number = 0
        self._keyed = KeyedRequests(cores.answers, io.counters)
        self.nodes = NodeConnections(
            io.loop, io.buffers, io.counters, pool_settings, addresses, limits.dial_timeout_ns, self._end_attempt
        )
        self.clients = ClientConnections(io, cores.admission, self, at)
        self.at = self.clients.listener.at
        self._timer = io.loop.at(io.loop.now() + SWEEP_INTERVAL_NS, self._sweep)

    def reconfigure(self, op_types: list[OpType], limits: ExchangeLimits) -> None:
        """Use these for what comes from now on."""
        self._op_types, self.limits = op_types, limits
        self.nodes.dial_timeout_ns = limits.dial_timeout_ns

    def now(self) -> int:
        """Return the present instant (ns)."""
        return self._loop.now()

    def tables_changed(self, tables: list[int]) -> None:
        """Let ops go that wait for a node of these tables; nodes that no table names get nothing more."""
        for op, step in self._attempts.tables_changed(self._loop.now(), tables):
            self._act(self.exchanges[op.number], step)
        self._settle()
        named: dict[int, None] = {}
        for table in range(self._tables.size):
            named.update((node, None) for node, _ in self._tables.available(table))
        self.nodes.use_only(named)

    # Requests (`RequestHandler`).

    def begin(self, exchange: Exchange) -> None:
        """Take a request whose head is complete, and which is the first on its connection."""
        request = exchange.request
        exchange.stage = Stage.ASKED
        self._last_number += 1
        exchange.number = self._last_number
        if request.method == b"GET" and request.target == HEALTH_TARGET:
            self._answer(exchange, HTTPStatus.OK, "ok")
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
            exchange.key = (request.header(self.limits.key_header) or b"").decode("latin-1")
        if not exchange.key:
            self._submit(exchange)
        elif request.complete:
            self._look_up(exchange)

    def body_received(self, exchange: Exchange) -> None:
        """Look a request with a key up, now that its body has come in full."""
        if exchange.stage is Stage.ASKED and exchange.key and exchange.op is None:
            self._look_up(exchange)

    def client_closed(self, client: ClientConnection) -> None:
        """Withdraw the requests of a client whose connection has ended."""
        self.clients.forget(client)
        for exchange in list(client.queue):
            self.withdraw(exchange)
        client.queue.clear()

    def withdraw(self, exchange: Exchange) -> None:
        """Abandon a request for which nobody waits any more, or of which the rest will never come."""
        if exchange.op is not None:
            self.outcomes["gone"] += 1
            self._abandon_attempt(exchange, EndReason.CALLER_GONE)
            end = self._attempts.abandon(self._loop.now(), exchange.op, EndReason.CALLER_GONE)
            self._finish_op(exchange, end.verdict, None)
            self._settle()
        else:
            self._release(exchange)
        exchange.client.finished(exchange)

    def _look_up(self, exchange: Exchange) -> None:
        decision = self._keyed.look_up(self._loop.now(), exchange, self.limits.kept_body_bytes)
        if isinstance(decision, Forward):
            exchange.record = []
            self._submit(exchange)
        else:
            self._answer_by_key(exchange, decision)

    def _time_out(self, exchange: Exchange) -> None:
        """Answer that the op has timed out."""
        if exchange.number not in self.exchanges:
            return
        if exchange.op is None:
            self._release(exchange)
            self._answer(exchange, HTTPStatus.GATEWAY_TIMEOUT, EndReason.OP_TIMEOUT)
            return
        self._abandon_attempt(exchange, EndReason.OP_TIMEOUT)
        self._act(exchange, self._attempts.abandon(self._loop.now(), exchange.op))
        self._settle()

    # Answers that are not a node's.

    def _answer_by_key(self, exchange: Exchange, decision: KeyDecision) -> None:
        if isinstance(decision, Replay):
            self._replay(exchange, decision.answer)
        elif isinstance(decision, Rejection):
            self._reject(exchange, decision)

    def _replay(self, exchange: Exchange, answer: bytes) -> None:
        self._release(exchange)
        self.outcomes["kept"] += 1
        exchange.answer(answer)
        exchange.client.finished(exchange)

    def _reject(self, exchange: Exchange, rejection: Rejection) -> None:
        self._answer(exchange, rejection.status, rejection.reason, may_retry=rejection.may_retry)

    def _answer(self, exchange: Exchange, status: int, text: str, *, may_retry: bool = False) -> None:
        exchange.keep = exchange.keep and exchange.request.complete and not self.stopping
        more: list[Header] = []
        if may_retry:
            wait_s = retry_after_s(0, self._attempts.waiting_count(), LONG_QUEUE)
            more.append((b"Retry-After", b"%d" % wait_s))
        self._release(exchange)
        exchange.answer(own_answer(status, text, keep=exchange.keep, more=more))
        exchange.client.finished(exchange)

    def _release(self, exchange: Exchange) -> None:
        """Let an exchange wait no longer for another's answer, or for its own body."""
        self.exchanges.pop(exchange.number, None)
        if exchange.timer is not None:
            exchange.timer.cancel()
        self._keyed.release(exchange)

    # Ops.

    def _submit(self, exchange: Exchange) -> None:
        now, table = self._loop.now(), self._hooks.table_of(exchange.request)
        exchange.op, step = self._attempts.submit(
            now, exchange.number, exchange.op_type, table, exchange.deadline - now, exchange.key
        )
        self._act(exchange, step)
        self._settle()

    def _act(self, exchange: Exchange, step: Step) -> None:
        if isinstance(step, Send):
            self.nodes.send(exchange, step.node)
        elif isinstance(step, Wait):
            self._expire_at(step.until, exchange)
        else:
            self._end(exchange, step.verdict, step.reason)

    def _settle(self) -> None:
        """Act on what the last calls of `Attempts` have settled of other ops."""
        for op, step in self._attempts.take_queued_steps(self._loop.now()):
            if op.number in self.exchanges:
                self._act(self.exchanges[op.number], step)

    def _expire_at(self, until: int, exchange: Exchange) -> None:
        def expire() -> None:
            if exchange.op is not None and exchange.op.waits_until == until:
                self._act(exchange, self._attempts.wait_expired(exchange.op))

        self._loop.at(until, expire)

    def _end(self, exchange: Exchange, verdict: Verdict, reason: EndReason | AttemptOutcome) -> None:
        """End an op; unless its answer is on its way, the proxy gives one."""
        self.outcomes[verdict] += 1
        answered = verdict is Verdict.ACKED or reason is AttemptOutcome.FAILED
        complete = exchange.stage is Stage.ANSWERING and answered
        self._finish_op(exchange, verdict, exchange.record if complete else None)
        if complete:
            exchange.client.finished(exchange)
        elif exchange.stage is Stage.ANSWERING:
            exchange.client.close("cut short")  # the one way to say that an answer is not complete
        else:
            may_retry = verdict is Verdict.REJECTED
            self._answer(exchange, self._status_of(verdict, reason), f"{verdict}: {reason}", may_retry=may_retry)

    @staticmethod
    def _status_of(verdict: Verdict, reason: EndReason | AttemptOutcome) -> HTTPStatus:
        """Return the status of an op that has ended without a node's answer."""
        if reason is EndReason.OP_TIMEOUT:
            return HTTPStatus.GATEWAY_TIMEOUT
        return HTTPStatus.BAD_GATEWAY if verdict is Verdict.ABORTED else HTTPStatus.SERVICE_UNAVAILABLE

    def _finish_op(self, exchange: Exchange, verdict: Verdict, answer: list[bytes] | None) -> None:
        """Give back the op's timer and its key, as nothing more comes of it.

        :param answer: the one that it had, which whoever waits for the same key gets too.
        """
        self.exchanges.pop(exchange.number, None)
        op, exchange.op = exchange.op, None
        assert op is not None and exchange.timer is not None, "the op was asked for"
        exchange.timer.cancel()
        self._hooks.on_op(op.table, exchange.op_type, verdict)
        if not exchange.key:
            return
        waiting, decision = self._keyed.settle(exchange, verdict, answer)
        for other in [self.exchanges[number] for number in waiting if number in self.exchanges]:
            other.key = ""
            self._answer_by_key(other, decision)

    # Attempts.

    def attempt_ended(
        self, exchange: Exchange, connection: NodeConnection, *, keep: bool, outcome: AttemptOutcome
    ) -> None:
        """Take the end of an attempt by the node's doing."""
        assert exchange.node is not None, "an attempt is at some node"
        self.nodes.release(exchange.node, connection, keep)
        self._end_attempt(exchange, outcome)

    def _abandon_attempt(self, exchange: Exchange, why: str) -> None:
        """Abandon the attempt, if one is in flight."""
        connection = self.nodes.detach(exchange)
        if connection is not None and exchange.op is not None:
            self._report(exchange.op, succeeded=False)
            connection.close(why)

    def _end_attempt(self, exchange: Exchange, outcome: AttemptOutcome) -> None:
        op = exchange.op
        if op is None or op.node is None:
            return
        exchange.node = None
        if outcome is not AttemptOutcome.UNSENT:
            self._report(op, succeeded=outcome is AttemptOutcome.SUCCEEDED)
        if exchange.stage is Stage.ANSWERING or exchange.is_repeatable():
            exchange.forget_attempt()
            step = self._attempts.attempt_ended(self._loop.now(), op, outcome)
        else:  # proof or not, the request can't be sent again
            step = self._attempts.abandon(self._loop.now(), op, outcome)
        self._act(exchange, step)
        self._settle()

    def _report(self, op: Op, *, succeeded: bool) -> None:
        if op.node is not None:
            latency_ns = self._loop.now() - op.sent_at
            self._hooks.on_attempt(op.table, op.node, op.op_type, succeeded, latency_ns)

    # Late connections, and the end.

    def _sweep(self) -> None:
        self.clients.close_late()
        self.nodes.close_late()
        self._timer = self._loop.at(self._loop.now() + SWEEP_INTERVAL_NS, self._sweep)

    def stop(self) -> None:
        """Take no new connection; requests are answered, and each connection then closed."""
        if not self.stopping:
            self.stopping = True
            self.clients.listener.close()  # connections at rest end by and by, see `Admission.expired_connections`

    def idle(self) -> bool:
        """Whether no client is connected."""
        return not self.clients.connections

    def descriptor(self) -> int:
        """Return the listening socket's descriptor, to be passed to a successor."""
        return self.clients.listener.fileno()

    def close(self) -> None:
        """Close every connection at once."""
        self.stop()
        self._timer.cancel()
        self.clients.close()
        self.nodes.close()
