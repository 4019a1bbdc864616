"""The proxy: client connections on one side, nodes on the other, and between them one exchange an op.

What is decided comes from the cores: `Admission` holds connections, `Attempts` ops and their tries, a `Pool` a node its
connections, `Answers` the answers of deduplicated ops. Here bytes are moved, bounded on both sides: who does not read
holds up who writes.
"""

import socket
from collections import Counter, deque
from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

import httptools

from kestrelplank.net.buffers import Pool as Buffers
from kestrelplank.net.connection import Connection, Listener
from kestrelplank.net.counters import Counters
from kestrelplank.net.loop import Loop, Timer
from kestrelplank.plan import pools
from kestrelplank.plan.admission import REFUSE, Admission
from kestrelplank.plan.attempts import (
    ABORTED,
    ACKED,
    CUT,
    FAILED,
    GOOD,
    NOT_STARTED,
    REFUSED,
    REJECTED,
    RESET,
    UNSENT,
    Attempts,
    Op,
    Send,
    Step,
    Wait,
)
from kestrelplank.plan.limits import comes_back
from kestrelplank.plan.pools import DIAL, SHUT, USE, Pool
from kestrelplank.relay.message import LAST, NO_BODY, Header, chunk, framing, head, one, own_answer, passed_on, tokens
from kestrelplank.relay.node import NodeSide
from kestrelplank.state.answers import BUSY, FULL, KNOWN, NEW, OTHER, Answers
from kestrelplank.state.tables import Tables

MS = 1_000_000
HIGH = 1 << 18  # bytes waiting to be written, from which on the other side is not read
MOST_UNSENT = 8 << 20
SWEEP = 100 * MS
NOT_STARTED_HEADER = b"x-not-started"  # a node's own word that the op has not begun
UNKNOWN = "the first may have run, and its end is not known"
DEADLINE_HEADER = b"X-Deadline-Ms"  # what the op has left, for the node


class Kind(NamedTuple):
    """An op type as the proxy needs it: `method` and `prefix` of the target (empty: any) tell it, in order."""

    name: str
    method: bytes
    prefix: bytes
    deduplicated: bool
    timeout: int  # ns


class Bounds(NamedTuple):
    """`head` bytes of a request's head, `kept` bytes of its body to be sent again, `body` bytes at the most, `answer`
    bytes of an answer that is kept for a deduplicated op; `dial` in ns; `key`, the header that names a key."""

    head: int = 1 << 15
    kept: int = 1 << 16
    body: int = 64 << 20
    answer: int = 1 << 16
    dial: int = 250 * MS
    key: bytes = b"idempotency-key"


class Exchange:
    """One request and its answer. It is its node's sink. `number` is its op's; `state` goes head, asked, answering,
    done; the request's body comes in beside that."""

    def __init__(self, client: "ClientSide") -> None:
        self.client, self.proxy, self.number = client, client.proxy, 0
        self.method, self.target, self.headers = b"", b"", []
        self.state, self.version = "head", "1.1"
        self.kept: list[bytes] | None = []  # the body so far, to be sent again; None once that is too much
        self.size, self.body_whole, self.keep, self.length, self.chunked = 0, False, True, None, False
        self.kind, self.key = 0, ""
        self.op: Op | None = None
        self.deadline = 0
        self.node: NodeSide | None = None
        self.at: int | None = None  # the node that its try is for
        self.timer: Timer | None = None
        self.record: list[bytes] | None = None  # of an answer that is to be kept
        self._swallow = self._chunk_out = self._quiet = self._early = False
        self._status = self._recorded = 0
        self._out: list[bytes] = []

    # From the client.

    def receive(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > self.proxy.bounds.body:
            self.client.refuse(413, "the body is too long")
            return
        if self.kept is not None:
            self.kept.append(data)
            if self.size > self.proxy.bounds.kept and self.written():
                self.kept = None
        if self.written() and not self._early:
            self.node.more(chunk(data) if self.chunked else data)
            if self.node.connection.waiting() > HIGH:
                self.client.hold(True)
        elif self.size > self.proxy.bounds.kept:
            self.client.hold(True)  # until somebody takes it

    def whole(self) -> None:
        self.body_whole = True
        if self.chunked and self.written() and not self._early:
            self.node.more(LAST)

    def written(self) -> bool:
        return self.node is not None and self.node.written and self.node.sink is self

    # To a node.

    def send(self, node: NodeSide) -> None:
        """Its head, and what of its body has come."""
        self.node = node
        left = max(1, (self.op.deadline - self.proxy.loop.now()) // MS)
        more = [(DEADLINE_HEADER, b"%d" % left), (b"Host", one(self.headers, b"host") or b"")]
        headers = [
            (name, value)
            for name, value in passed_on(self.headers)
            if name.lower() not in (b"host", DEADLINE_HEADER.lower())
        ]
        data = head(self.method + b" " + self.target + b" HTTP/1.1", headers, self.length, self.chunked, more)
        body = self.kept or []
        node.begin(
            self,
            data
            + b"".join(map(chunk, body) if self.chunked else body)
            + (LAST if self.chunked and self.body_whole else b""),
            self.method == b"HEAD",
        )
        if self.size > self.proxy.bounds.kept:
            self.kept = None
        self.client.hold(False)

    def repeatable(self) -> bool:
        """Whether the whole request could be sent once more."""
        return self.kept is not None

    # From the node.

    def on_head(self, status: int, reason: bytes, headers: list[Header], length: int | None, chunked: bool) -> None:
        self._status = status
        if status == 503 and one(headers, NOT_STARTED_HEADER) is not None:
            self._swallow = True  # what it says is for us
            return
        self.state, self._early = "answering", not self.body_whole
        keep = self.keep and self.body_whole and not self.proxy.stopping
        bare = self.method == b"HEAD" or status in NO_BODY
        self._chunk_out = chunked and not bare and self.version == "1.1"
        if chunked and not bare and self.version != "1.1":
            keep = False  # the end of the connection is the end of the answer
        self.keep = keep
        more = () if keep else ((b"Connection", b"close"),)
        first = b"HTTP/1.1 %d %s" % (status, reason)
        framed = passed_on(headers), None if chunked and not bare else length, self._chunk_out
        if self.record is not None:  # without what is said of this connection alone
            self.record = [head(first, *framed)] if length is not None or self._chunk_out else None
        self._out.append(head(first, *framed, more))

    def on_part(self, data: bytes) -> None:
        if not self._swallow:
            self._write(chunk(data) if self._chunk_out else data)

    def flush(self) -> None:
        """What one read of the node brought goes out as one write."""
        if self._out:
            data = b"".join(self._out)
            self._out.clear()
            self.client.write(data)
            if self.client.connection.waiting() > HIGH and self.node is not None:
                self.node.connection.read(False)

    def on_whole(self, keep: bool) -> None:
        if self._chunk_out and not self._swallow:
            self._write(LAST)
        self.flush()
        node, self.node = self.node, None
        self.proxy.tried(
            self,
            node,
            keep and self.body_whole,
            NOT_STARTED if self._swallow else FAILED if self._status >= 500 else GOOD,
        )

    def on_lost(self, why: str) -> None:
        node, self.node = self.node, None
        outcome = UNSENT if not node.written else CUT if self.state == "answering" or self._swallow else RESET
        self._swallow = False
        self.proxy.tried(self, node, False, outcome)

    def _write(self, data: bytes) -> None:
        if self.record is not None:
            self.record.append(data)
            self._recorded += len(data)
            if self._recorded > self.proxy.bounds.answer:
                self.record = None
        self._out.append(data)

    def answer(self, data: bytes) -> None:
        """An answer of the relay's own, or one that was kept."""
        self.state = "answering"
        self.client.write(data)

    def forget_try(self) -> None:
        self._swallow = False


class ClientSide:
    """One client connection: requests in order, the first of them in hand, the others read no further than what has
    come with it."""

    def __init__(self, proxy: "Proxy", sock: socket.socket, number: int) -> None:
        self.proxy, self.number = proxy, number
        self._parser = httptools.HttpRequestParser(self)
        self.queue: deque[Exchange] = deque()
        self._coming: Exchange | None = None
        self._head, self._refused, self._trailers = 0, None, False
        self.connection = Connection(proxy.loop, proxy.buffers, sock, self, MOST_UNSENT)
        self.connection.on_drained = self._drained

    # The connection's callbacks.

    def on_data(self, data: memoryview) -> None:
        if self._refused:
            return
        if self._coming is None or self._coming.state == "head":
            self._head += len(data)
        if not self.queue:
            self.proxy.admission.state(self.proxy.loop.now(), self.number, "head")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(501, "upgrades are not passed on")
        except httptools.HttpParserError as err:
            self.refuse(400, f"unreadable: {err}")
        if self._coming is not None and self._coming.state == "head" and self._head > self.proxy.bounds.head:
            self.refuse(431, "the head is too long")
        if not self._refused and len(self.queue) > 1:
            self.connection.read(False)  # what comes next waits outside; with one in hand its client's end is heard
        self._next()

    def on_close(self, why: str) -> None:
        self.proxy.client_gone(self)

    def _drained(self) -> None:
        if self.queue and self.queue[0].node is not None:
            self.queue[0].node.connection.read(True)

    # The parser's callbacks; nothing raises inside them.

    def on_message_begin(self) -> None:
        self._coming, self._trailers = Exchange(self), False

    def on_url(self, url: bytes) -> None:
        self._coming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._trailers:
            self._coming.headers.append((name, value))

    def on_headers_complete(self) -> None:
        coming = self._coming
        coming.method, coming.version = self._parser.get_method(), self._parser.get_http_version()
        coming.length, coming.chunked, wrong = framing(coming.headers)
        self._trailers, self._head, coming.state = True, 0, "whole head"
        if wrong:
            self.refuse(501, wrong)
        elif coming.method == b"CONNECT" or b"upgrade" in tokens(coming.headers, b"connection"):
            self.refuse(501, "upgrades are not passed on")
        elif coming.version == "1.1" and one(coming.headers, b"host") is None:
            self.refuse(400, "no Host")
        elif coming.length is not None and coming.length > self.proxy.bounds.body:
            self.refuse(413, "the body is too long")
        elif tokens(coming.headers, b"expect") not in ([], [b"100-continue"]):
            self.refuse(417, "an expectation that can't be met")
        if not self._refused:
            self.queue.append(coming)

    def on_body(self, data: bytes) -> None:
        if not self._refused:
            self._coming.receive(data)

    def on_message_complete(self) -> None:
        if not self._refused:
            self._coming.keep = self._parser.should_keep_alive()
            self._coming.whole()
            self.proxy.came_whole(self._coming)

    # What the exchange and the proxy want of it.

    def _next(self) -> None:
        """The first request goes on its way, if it has not."""
        if self.queue and self.queue[0].state == "whole head" and self.connection.open:
            self.proxy.admission.state(self.proxy.loop.now(), self.number, "busy")
            self.proxy.begin(self.queue[0])
        elif self._refused and not self.queue and self.connection.open:
            if self._refused[0]:
                self.connection.write(own_answer(*self._refused, False))
            self._close_when_written()

    def refuse(self, status: int, why: str) -> None:
        """Nothing after this is read; requests before it get their answers first."""
        if self._refused is None:
            self._refused = status, why
            self.proxy.counters.add("requests_refused")
            coming = self._coming
            if coming is not None and coming in self.queue and not coming.body_whole:
                if coming.state == "answering":
                    self._refused = 0, why  # it has an answer, or the beginning of one
                self.proxy.withdrawn_request(coming)
            self.proxy.loop.at(self.proxy.loop.now(), self._next)

    def hold(self, held: bool) -> None:
        """Reads no further for now, as the node is behind; or goes on."""
        self.connection.read(not held and len(self.queue) <= 1)

    def write(self, data: bytes) -> None:
        self.connection.write(data)

    def finished(self, exchange: Exchange) -> None:
        """The first request has its answer."""
        if not self.queue or self.queue[0] is not exchange:
            return
        self.queue.popleft()
        exchange.state = "done"
        if not self.connection.open:
            return
        if self._refused is None:
            if not exchange.keep or not exchange.body_whole or self.proxy.stopping:
                self._close_when_written()
                return
            self.proxy.admission.state(self.proxy.loop.now(), self.number, "idle")
            self.connection.read(len(self.queue) <= 1)
        # From the loop, as this may be called while the parser is feeding.
        self.proxy.loop.at(self.proxy.loop.now(), self._next)

    def _close_when_written(self) -> None:
        self._refused = self._refused or (0, "")
        self.queue.clear()
        self.connection.read(False)
        if not self.connection.waiting():
            self.connection.close("answered")
        else:
            self.connection.on_drained = lambda: self.connection.close("answered")


class Proxy:
    """`addresses`: node to address; `block(exchange)`: its table; `tables` and `attempts` are this relay's cores.
    `on_try` hears of each try's end as (table, node, op type, good, ns), `on_op` of each op as (table, op type,
    verdict)."""

    def __init__(
        self,
        loop: Loop,
        buffers: Buffers,
        counters: Counters,
        at: tuple[str, int] | socket.socket,
        kinds: list[Kind],
        bounds: Bounds,
        tables: Tables,
        attempts: Attempts,
        admission: Admission,
        answers: Answers,
        terms: pools.Terms,
        addresses: dict[int, str],
        block: Callable[[Exchange], int],
        on_try: Callable[..., None] = lambda *_: None,
        on_op: Callable[..., None] = lambda *_: None,
    ) -> None:
        self.loop, self.buffers, self.counters, self.kinds, self.bounds = loop, buffers, counters, kinds, bounds
        self.tables, self.attempts, self.admission, self.answers = tables, attempts, admission, answers
        self._terms, self._addresses, self._block = terms, addresses, block
        self._on_try, self._on_op = on_try, on_op
        self.stopping = False
        self._clients: dict[int, ClientSide] = {}
        self._given = 0
        self._exchanges: dict[int, Exchange] = {}  # by op number
        self.pools: dict[int, Pool] = {}
        self._nodes: dict[int, tuple[int, NodeSide]] = {}  # connection to its node
        self._waiting: dict[int, deque[Exchange]] = {}  # for a connection to a node
        self.outcomes: Counter[str] = Counter()
        self._listener = Listener(loop, at, self._accept, self._short, SWEEP)
        self.at = self._listener.at
        self._timer = loop.at(loop.now() + SWEEP, self._sweep)

    # Clients.

    def _accept(self, sock: socket.socket) -> None:
        self._given += 1
        number, client = self._given, sock.getpeername()[0] if sock.family == socket.AF_INET else ""
        how, push = self.admission.came(self.loop.now(), number, client)
        if push is not None:
            self.counters.add("clients_pushed_out")
            self._clients[push].connection.close("pushed out")
        if how == REFUSE:
            self.counters.add("clients_refused")
            sock.close()
            return
        self.counters.add("clients")
        self._clients[number] = ClientSide(self, sock, number)

    def _short(self, why: str) -> None:
        self.counters.trouble("accept_failed", why)

    def client_gone(self, client: ClientSide) -> None:
        self._clients.pop(client.number, None)
        self.admission.gone(client.number)
        for exchange in list(client.queue):
            self.withdrawn_request(exchange)
        client.queue.clear()

    def withdrawn_request(self, exchange: Exchange) -> None:
        """Nobody waits for it any more, or the rest of it will never come."""
        if exchange.op is not None:
            self.outcomes["gone"] += 1
            self._over(exchange, "caller gone")
            end = self.attempts.give_up(self.loop.now(), exchange.op, "caller gone")
            self._done(exchange, end.verdict, None)
            self._settle()
        else:
            self._leave(exchange)
        exchange.client.finished(exchange)

    def _leave(self, exchange: Exchange) -> None:
        """It waited for another's answer, or for its own body."""
        self._exchanges.pop(exchange.number, None)
        if exchange.timer is not None:
            exchange.timer.cancel()
        if exchange.key:
            self.answers.gone(exchange.key, exchange.number)
            exchange.key = ""

    # Ops.

    def begin(self, exchange: Exchange) -> None:
        exchange.state = "asked"
        self._given += 1
        exchange.number = self._given
        if exchange.method == b"GET" and exchange.target == b"/health":
            self._answer(exchange, 200, "ok", False)
            return
        exchange.kind = next(
            (
                place
                for place, kind in enumerate(self.kinds)
                if kind.method in (b"", exchange.method) and exchange.target.startswith(kind.prefix)
            ),
            -1,
        )
        if exchange.kind < 0:
            self._answer(exchange, 501, "no op type has this method and target", False)
            return
        if one(exchange.headers, b"expect") is not None and not exchange.body_whole:
            exchange.client.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        exchange.deadline = self.loop.now() + self.kinds[exchange.kind].timeout
        exchange.timer = self.loop.at(exchange.deadline, lambda: self._late(exchange))
        self._exchanges[exchange.number] = exchange
        key = one(exchange.headers, self.bounds.key)
        if self.kinds[exchange.kind].deduplicated and key:
            exchange.key = key.decode("latin-1")
            if exchange.body_whole:
                self._ask_kept(exchange)
        else:
            self._ask(exchange)

    def came_whole(self, exchange: Exchange) -> None:
        """Its body has come: what it is held against kept answers by."""
        if exchange.state == "asked" and exchange.key and exchange.op is None:
            self._ask_kept(exchange)

    def _ask_kept(self, exchange: Exchange) -> None:
        if exchange.size > self.bounds.kept:
            exchange.key = ""
            self._answer(exchange, 413, "too long for an op with a key", False)
            return
        parts = exchange.method, exchange.target, b"".join(exchange.kept or ())
        digest = blake2b(b"\0".join(parts), digest_size=16).hexdigest()
        told, answer = self.answers.ask(self.loop.now(), exchange.key, digest, exchange.number)
        self.counters.add(f"keys_{told}")
        if told == BUSY:
            return
        if told == NEW:
            exchange.record = []
            self._ask(exchange)
            return
        exchange.key = ""
        if told == KNOWN and answer:
            self._repeat(exchange, answer)
        elif told == FULL:
            self._answer(exchange, 503, "too many keys in hand", True)
        else:
            self._answer(exchange, 409, "the key was used with another request" if told == OTHER else UNKNOWN, False)

    def _repeat(self, exchange: Exchange, answer: bytes) -> None:
        """The first answer to that key."""
        self._leave(exchange)
        self.outcomes["kept"] += 1
        exchange.answer(answer)
        exchange.client.finished(exchange)

    def _ask(self, exchange: Exchange) -> None:
        now = self.loop.now()
        exchange.op, step = self.attempts.ask(
            now, exchange.number, exchange.kind, self._block(exchange), exchange.deadline - now, exchange.key
        )
        self._act(exchange, step)
        self._settle()

    def _settle(self) -> None:
        for op, step in self.attempts.settled(self.loop.now()):
            if op.number in self._exchanges:
                self._act(self._exchanges[op.number], step)

    def changed(self, tables: list[int]) -> None:
        """The relay's tables have changed: who waits may go, and nodes that no open line names get nothing more."""
        now = self.loop.now()
        for op, step in self.attempts.changed(now, tables):
            self._act(self._exchanges[op.number], step)
        self._settle()
        reach: dict[int, None] = {}
        for table in range(self.tables.size):
            reach.update((node, None) for node, _ in self.tables.open(table))
        for node, pool in self.pools.items():
            if node in reach:
                pool.restore(now)
            elif pool.withdrawn_at is None:
                for connection in pool.withdraw(now):
                    self._nodes[connection][1].close("withdrawn")
                for exchange in self._waiting.pop(node, ()):
                    self._end_try(exchange, UNSENT)

    def _act(self, exchange: Exchange, step: Step) -> None:
        if isinstance(step, Send):
            self._send(exchange, step.node)
        elif isinstance(step, Wait):
            self.loop.at(step.until, lambda: self._expire(exchange, step.until))
        else:
            self._end(exchange, step.verdict, step.why)

    def _expire(self, exchange: Exchange, until: int) -> None:
        if exchange.op is not None and exchange.op.until == until and exchange.number in self._exchanges:
            self._act(exchange, self.attempts.expire(self.loop.now(), exchange.op))

    def _late(self, exchange: Exchange) -> None:
        """Its op timeout: whoever asked hears so now."""
        if exchange.number not in self._exchanges:
            return
        if exchange.op is None:
            self._leave(exchange)
            self._answer(exchange, 504, "op timeout", False)
            return
        self._over(exchange, "op timeout")
        self._act(exchange, self.attempts.give_up(self.loop.now(), exchange.op))
        self._settle()

    def _over(self, exchange: Exchange, why: str) -> None:
        """Its try, if one is out, is given up: the connection is closed, as an answer may yet come on it."""
        node, exchange.node = exchange.node, None
        if exchange.at is not None and exchange in self._waiting.get(exchange.at, ()):
            self._waiting[exchange.at].remove(exchange)
        exchange.at = None
        if node is not None:
            node.sink = None
            if not node.closed:
                self._report(exchange, False)
                node.close(why)

    def _end(self, exchange: Exchange, verdict: str, why: str) -> None:
        """The op has ended; unless its answer is on its way, the relay gives one."""
        self.outcomes[verdict] += 1
        whole = exchange.state == "answering" and (verdict == ACKED or why == FAILED)
        self._done(exchange, verdict, exchange.record if whole else None)
        if whole:
            exchange.client.finished(exchange)
            return
        if exchange.state == "answering":
            exchange.client.connection.close("cut short")  # the one way to say that an answer is not whole
            return
        status = 504 if why == "op timeout" else 502 if verdict == ABORTED else 503
        self._answer(exchange, status, f"{verdict}: {why}", verdict == REJECTED)

    def _answer(self, exchange: Exchange, status: int, why: str, retry: bool) -> None:
        keep = exchange.keep and exchange.body_whole and not self.stopping
        exchange.keep = keep
        more = [(b"Retry-After", b"%d" % comes_back(0, self.attempts.waiting(), 1 << 10))] if retry else []
        self._leave(exchange)
        exchange.answer(own_answer(status, why, keep, more))
        exchange.client.finished(exchange)

    def _done(self, exchange: Exchange, verdict: str, answer: list[bytes] | None) -> None:
        """Nothing more comes of the op: its timer, its key and its place are given back. `answer`: it had this one,
        which whoever waits for the same key gets too."""
        self._exchanges.pop(exchange.number, None)
        exchange.timer.cancel()
        op, exchange.op = exchange.op, None
        self._on_op(op.table, exchange.kind, verdict)
        if not exchange.key:
            return
        key, exchange.key = exchange.key, ""
        ran = verdict != REJECTED
        waiting = self.answers.done(key, b"".join(answer)) if answer else self.answers.failed(key, ran)
        for other in [self._exchanges[number] for number in waiting if number in self._exchanges]:
            other.key = ""
            if answer:
                self._repeat(other, b"".join(answer))
            else:
                self._answer(other, 409 if ran else 503, UNKNOWN if ran else "the first was rejected", not ran)

    # Tries.

    def _send(self, exchange: Exchange, node: int) -> None:
        exchange.at = node
        now = self.loop.now()
        pool = self.pools.get(node)
        if pool is None:
            pool = self.pools[node] = Pool(now, self._terms)
        how, *connection = pool.take(now)
        if how == USE:
            side = self._nodes[connection[0]][1]
            exchange.send(side)
        elif how == DIAL:
            self._dial(exchange, node, pool)
        elif how == SHUT:
            self._end_try(exchange, UNSENT)
        else:
            self._waiting.setdefault(node, deque()).append(exchange)

    def _dial(self, exchange: Exchange, node: int, pool: Pool) -> None:
        if node not in self._addresses:
            pool.failed()
            self._end_try(exchange, REFUSED)
            return
        self._given += 1
        number = self._given

        def up(side: NodeSide) -> None:
            pool.opened(number)
            self._nodes[number] = node, side
            if (
                exchange.number in self._exchanges
                and exchange.at == node
                and exchange.op is not None
                and pool.withdrawn_at is None
            ):
                exchange.send(side)
                return
            # Given up meanwhile, or the node was withdrawn while it was dialled: nothing has been sent.
            self._give_back(node, side, True)
            if exchange.number in self._exchanges and exchange.at == node and exchange.op is not None:
                self._end_try(exchange, UNSENT)

        def ended(side: NodeSide, why: str) -> None:
            if side.is_up:
                if self._nodes.pop(number, None) is not None:
                    pool.lost(number)
                    self._free(node)
                return
            pool.failed()
            if exchange.number in self._exchanges and exchange.at == node and exchange.op is not None:
                self._end_try(exchange, REFUSED)
            self._free(node)

        try:
            side = NodeSide(self.loop, self.buffers, self._addresses[node], self.bounds.dial, number, up, ended)
            side.connection.on_drained = lambda: self._drained(number)
        except OSError as err:  # short of descriptors
            self.counters.trouble("dials_failed", err)
            pool.failed()
            self._end_try(exchange, REFUSED)

    def _drained(self, number: int) -> None:
        """A node has taken what waited for it: its client is read again."""
        if number in self._nodes:
            sink = self._nodes[number][1].sink
            if sink is not None and not sink.body_whole:
                sink.client.hold(False)

    def tried(self, exchange: Exchange, side: NodeSide, keep: bool, outcome: str) -> None:
        """A try has ended by the node's doing."""
        node = exchange.at
        if not side.closed and side.number in self._nodes:
            side.let_go()
            self._give_back(node, side, keep)
        self._end_try(exchange, outcome)

    def _give_back(self, node: int, side: NodeSide, keep: bool) -> None:
        if not self.pools[node].done(self.loop.now(), side.number, keep):
            del self._nodes[side.number]
            side.close("done with")
        self._free(node)

    def _free(self, node: int) -> None:
        """A connection to the node may be had: for who waits longest."""
        waiting = self._waiting.get(node)
        if waiting:
            exchange = waiting.popleft()
            if not waiting:
                del self._waiting[node]
            self._send(exchange, node)

    def _report(self, exchange: Exchange, good: bool) -> None:
        op = exchange.op
        if op is not None and op.node is not None:
            self._on_try(op.table, op.node, op.op_type, good, self.loop.now() - op.sent_at)

    def _end_try(self, exchange: Exchange, outcome: str) -> None:
        if exchange.op is None or exchange.op.node is None:
            return
        exchange.at = None
        if outcome != UNSENT:
            self._report(exchange, outcome == GOOD)
        if exchange.state == "answering" or exchange.repeatable():
            exchange.forget_try()
            step = self.attempts.ended(self.loop.now(), exchange.op, outcome)
        else:  # proof or not, the request can't be sent again
            step = self.attempts.give_up(self.loop.now(), exchange.op, outcome)
        self._act(exchange, step)
        self._settle()

    # The end.

    def _sweep(self) -> None:
        now = self.loop.now()
        for number, why in self.admission.late(now, self.stopping):
            client = self._clients.get(number)
            if client is not None:
                self.counters.add("clients_late")
                if why != "idle":
                    client.connection.write(own_answer(408, why, False))
                client.connection.close(why)
        for pool in self.pools.values():
            for connection in pool.expired(now) + pool.overdue(now):
                if connection in self._nodes:
                    self._nodes[connection][1].close("idle, or past the grace")
        self._timer = self.loop.at(now + SWEEP, self._sweep)

    def stop(self) -> None:
        """No new connection is taken; requests are answered, and each connection then closed."""
        if not self.stopping:
            self.stopping = True
            self._listener.close()  # connections at rest end by and by, see `Admission.late`

    def idle(self) -> bool:
        return not self._clients

    def descriptor(self) -> int:
        """The listening socket's, to be passed to a successor."""
        return self._listener.fileno()

    def close(self) -> None:
        if not self.stopping:
            self.stopping = True
            self._listener.close()
        self._timer.cancel()
        for client in list(self._clients.values()):
            client.connection.close("we end")
        for _, side in list(self._nodes.values()):
            side.close("we end")


__all__ = ["Bounds", "Exchange", "Kind", "Proxy"]
