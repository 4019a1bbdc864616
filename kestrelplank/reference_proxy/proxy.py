"""The proxy: clients on one side, nodes on the other, and between them one exchange an op.

What is decided comes from the cores: `Admission` holds client connections, `Attempts` ops and their attempts, a
`ConnectionPool` a node's connections, `IdempotencyCache` the answers of deduplicated ops. Here ops are led from their
request to their answer; bytes are moved by `client`, `exchange` and `upstream`, bounded on both sides: who does not
read holds up who writes.
"""

import socket
from collections import Counter
from collections.abc import Callable

from kestrelplank.assigner.counters import Counters
from kestrelplank.load_balancing.admission import Admission
from kestrelplank.load_balancing.attempts import Attempts
from kestrelplank.load_balancing.connection_pool import PoolSettings
from kestrelplank.load_balancing.operations import AttemptOutcome, EndReason, Op, Send, Step, Verdict, Wait
from kestrelplank.load_balancing.waiting_queue import retry_after_s
from kestrelplank.reference_proxy.client import ClientConnection, Clients
from kestrelplank.reference_proxy.exchange import Bounds, Exchange, Stage
from kestrelplank.reference_proxy.keyed import Forward, Found, KeyedRequests, Replay
from kestrelplank.reference_proxy.message import own_answer
from kestrelplank.reference_proxy.node import NodeConnection
from kestrelplank.reference_proxy.request import OpType, Refusal, Request
from kestrelplank.reference_proxy.upstream import Upstream
from kestrelplank.sockets.buffers import Pool as Buffers
from kestrelplank.sockets.loop import Loop
from kestrelplank.state.idempotency_cache import IdempotencyCache
from kestrelplank.state.tables import Tables

SWEEP = 100_000_000  # ns between looks for connections that are late
MANY_WAITING = 1 << 10  # ops that wait, at which who is turned away is told to come again twice as late
NO_OP_TYPE = Refusal(501, "no op type has this method and target")


class Proxy:
    """`addresses`: node to address; `table_of(request)`: its table; `tables` and `attempts` are this relay's cores.
    `on_try` hears of each try's end as (table, node, op type, good, ns), `on_op` of each op as (table, op type,
    verdict)."""

    def __init__(
        self,
        loop: Loop,
        buffers: Buffers,
        counters: Counters,
        at: tuple[str, int] | socket.socket,
        op_types: list[OpType],
        bounds: Bounds,
        tables: Tables,
        attempts: Attempts,
        admission: Admission,
        answers: IdempotencyCache,
        pool_settings: PoolSettings,
        addresses: dict[int, str],
        table_of: Callable[[Request], int],
        on_try: Callable[..., None] = lambda *_: None,
        on_op: Callable[..., None] = lambda *_: None,
    ) -> None:
        self.loop, self.buffers, self.counters = loop, buffers, counters
        self.tables, self.attempts, self.admission = tables, attempts, admission
        self._table_of, self._on_try, self._on_op = table_of, on_try, on_op
        self.stopping = False
        self.outcomes: Counter[str] = Counter()
        self.exchanges: dict[int, Exchange] = {}  # by number
        self._given = 0
        self._keyed = KeyedRequests(answers, counters)
        self.upstream = Upstream(loop, buffers, counters, pool_settings, addresses, bounds.dial, self._end_try)
        self.reconfigure(op_types, bounds)
        self.clients = Clients(self, at)
        self.at = self.clients.listener.at
        self._timer = loop.at(loop.now() + SWEEP, self._sweep)

    def reconfigure(self, op_types: list[OpType], bounds: Bounds) -> None:
        """These hold for what comes from now on."""
        self.op_types, self.bounds = op_types, bounds
        self.upstream.dial_within = bounds.dial

    def changed(self, tables: list[int]) -> None:
        """The relay's tables have changed: who waits may go, and nodes that no open line names get nothing more."""
        for op, step in self.attempts.tables_changed(self.loop.now(), tables):
            self._act(self.exchanges[op.number], step)
        self._settle()
        named: dict[int, None] = {}
        for table in range(self.tables.size):
            named.update((node, None) for node, _ in self.tables.open(table))
        self.upstream.reach_only(named)

    # Requests.

    def begin(self, exchange: Exchange) -> None:
        """A request's head is whole, and it is the first on its connection."""
        request = exchange.request
        exchange.stage = Stage.ASKED
        self._given += 1
        exchange.number = self._given
        if request.method == b"GET" and request.target == b"/health":
            self._answer(exchange, 200, "ok")
            return
        found = next((place for place, op_type in enumerate(self.op_types) if op_type.matches(request)), None)
        if found is None:
            self._refuse(exchange, NO_OP_TYPE)
            return
        if request.expects_continue():
            exchange.client.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        op_type = self.op_types[found]
        exchange.op_type = found
        exchange.deadline = self.loop.now() + op_type.timeout
        exchange.timer = self.loop.at(exchange.deadline, lambda: self._late(exchange))
        self.exchanges[exchange.number] = exchange
        exchange.key = (request.header(self.bounds.key) or b"").decode("latin-1") if op_type.deduplicated else ""
        if not exchange.key:
            self._ask(exchange)
        elif request.whole:
            self._look_up(exchange)

    def body_came(self, exchange: Exchange) -> None:
        """Its body has come whole: a request with a key is held against kept answers by it."""
        if exchange.stage is Stage.ASKED and exchange.key and exchange.op is None:
            self._look_up(exchange)

    def client_gone(self, client: ClientConnection) -> None:
        """A client's connection has ended: nobody waits for its requests."""
        self.clients.gone(client)
        for exchange in list(client.queue):
            self.withdrawn(exchange)
        client.queue.clear()

    def withdrawn(self, exchange: Exchange) -> None:
        """Nobody waits for it any more, or the rest of it will never come."""
        if exchange.op is not None:
            self.outcomes["gone"] += 1
            self._abandon_try(exchange, EndReason.CALLER_GONE)
            end = self.attempts.abandon(self.loop.now(), exchange.op, EndReason.CALLER_GONE)
            self._done(exchange, end.verdict, None)
            self._settle()
        else:
            self._leave(exchange)
        exchange.client.finished(exchange)

    def _look_up(self, exchange: Exchange) -> None:
        found = self._keyed.look_up(self.loop.now(), exchange, self.bounds.kept)
        if isinstance(found, Forward):
            exchange.record = []
            self._ask(exchange)
        else:
            self._give(exchange, found)

    def _late(self, exchange: Exchange) -> None:
        """Its op timeout: whoever asked hears so now."""
        if exchange.number not in self.exchanges:
            return
        if exchange.op is None:
            self._leave(exchange)
            self._answer(exchange, 504, EndReason.OP_TIMEOUT)
            return
        self._abandon_try(exchange, EndReason.OP_TIMEOUT)
        self._act(exchange, self.attempts.abandon(self.loop.now(), exchange.op))
        self._settle()

    # Answers that are not a node's.

    def _give(self, exchange: Exchange, found: Found) -> None:
        if isinstance(found, Replay):
            self._replay(exchange, found.answer)
        elif isinstance(found, Refusal):
            self._refuse(exchange, found)

    def _replay(self, exchange: Exchange, answer: bytes) -> None:
        self._leave(exchange)
        self.outcomes["kept"] += 1
        exchange.answer(answer)
        exchange.client.finished(exchange)

    def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        self._answer(exchange, refusal.status, refusal.why, refusal.retry)

    def _answer(self, exchange: Exchange, status: int, why: str, retry: bool = False) -> None:
        exchange.keep = exchange.keep and exchange.request.whole and not self.stopping
        more = []
        if retry:
            more.append((b"Retry-After", b"%d" % retry_after_s(0, self.attempts.waiting_count(), MANY_WAITING)))
        self._leave(exchange)
        exchange.answer(own_answer(status, why, exchange.keep, more))
        exchange.client.finished(exchange)

    def _leave(self, exchange: Exchange) -> None:
        """It waits no longer for another's answer, or for its own body."""
        self.exchanges.pop(exchange.number, None)
        if exchange.timer is not None:
            exchange.timer.cancel()
        self._keyed.release(exchange)

    # Ops.

    def _ask(self, exchange: Exchange) -> None:
        now, table = self.loop.now(), self._table_of(exchange.request)
        exchange.op, step = self.attempts.submit(
            now, exchange.number, exchange.op_type, table, exchange.deadline - now, exchange.key
        )
        self._act(exchange, step)
        self._settle()

    def _act(self, exchange: Exchange, step: Step) -> None:
        if isinstance(step, Send):
            self.upstream.send(exchange, step.node)
        elif isinstance(step, Wait):
            self.loop.at(step.until, lambda: self._expire(exchange, step.until))
        else:
            self._end(exchange, step.verdict, step.reason)

    def _settle(self) -> None:
        """Acts on what the last calls of `attempts` have settled of other ops."""
        for op, step in self.attempts.take_settled(self.loop.now()):
            if op.number in self.exchanges:
                self._act(self.exchanges[op.number], step)

    def _expire(self, exchange: Exchange, until: int) -> None:
        if exchange.op is not None and exchange.op.waits_until == until:
            self._act(exchange, self.attempts.wait_expired(exchange.op))

    def _end(self, exchange: Exchange, verdict: Verdict, reason: EndReason | AttemptOutcome) -> None:
        """The op has ended; unless its answer is on its way, the relay gives one."""
        self.outcomes[verdict] += 1
        whole = exchange.stage is Stage.ANSWERING and (verdict is Verdict.ACKED or reason is AttemptOutcome.FAILED)
        self._done(exchange, verdict, exchange.record if whole else None)
        if whole:
            exchange.client.finished(exchange)
        elif exchange.stage is Stage.ANSWERING:
            exchange.client.close("cut short")  # the one way to say that an answer is not whole
        else:
            status = 504 if reason is EndReason.OP_TIMEOUT else 502 if verdict is Verdict.ABORTED else 503
            self._answer(exchange, status, f"{verdict}: {reason}", verdict is Verdict.REJECTED)

    def _done(self, exchange: Exchange, verdict: Verdict, answer: list[bytes] | None) -> None:
        """Nothing more comes of the op: its timer, its key and its place are given back. `answer`: it had this one,
        which whoever waits for the same key gets too."""
        self.exchanges.pop(exchange.number, None)
        exchange.timer.cancel()
        op, exchange.op = exchange.op, None
        self._on_op(op.table, exchange.op_type, verdict)
        if not exchange.key:
            return
        waiting, found = self._keyed.settle(exchange, verdict, answer)
        for other in [self.exchanges[number] for number in waiting if number in self.exchanges]:
            other.key = ""
            self._give(other, found)

    # Tries.

    def tried(self, exchange: Exchange, connection: NodeConnection, keep: bool, outcome: AttemptOutcome) -> None:
        """A try has ended by the node's doing."""
        self.upstream.release(exchange.node, connection, keep)
        self._end_try(exchange, outcome)

    def _abandon_try(self, exchange: Exchange, why: str) -> None:
        """Its try, if one is out, is given up."""
        connection = self.upstream.detach(exchange)
        if connection is not None:
            self._report(exchange.op, False)
            connection.close(why)

    def _end_try(self, exchange: Exchange, outcome: AttemptOutcome) -> None:
        op = exchange.op
        if op is None or op.node is None:
            return
        exchange.node = None
        if outcome is not AttemptOutcome.UNSENT:
            self._report(op, outcome is AttemptOutcome.SUCCEEDED)
        if exchange.stage is Stage.ANSWERING or exchange.repeatable():
            exchange.forget_try()
            step = self.attempts.attempt_ended(self.loop.now(), op, outcome)
        else:  # proof or not, the request can't be sent again
            step = self.attempts.abandon(self.loop.now(), op, outcome)
        self._act(exchange, step)
        self._settle()

    def _report(self, op: Op, good: bool) -> None:
        if op.node is not None:
            self._on_try(op.table, op.node, op.op_type, good, self.loop.now() - op.sent_at)

    # Late connections, and the end.

    def _sweep(self) -> None:
        self.clients.close_late()
        self.upstream.close_late()
        self._timer = self.loop.at(self.loop.now() + SWEEP, self._sweep)

    def stop(self) -> None:
        """No new connection is taken; requests are answered, and each connection then closed."""
        if not self.stopping:
            self.stopping = True
            self.clients.listener.close()  # connections at rest end by and by, see `Admission.late_connections`

    def idle(self) -> bool:
        """Whether no client is connected."""
        return not self.clients.connections

    def descriptor(self) -> int:
        """The listening socket's, to be passed to a successor."""
        return self.clients.listener.fileno()

    def close(self) -> None:
        """Closes every connection at once."""
        self.stop()
        self._timer.cancel()
        self.clients.close()
        self.upstream.close()


__all__ = ["Bounds", "Exchange", "OpType", "Proxy"]
