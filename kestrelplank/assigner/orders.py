"""Orders to the relay: one queue, one call out, and what may not have been carried out is sent again whole
before anything newer. Orders set state, so carrying one out twice changes nothing.

Nothing is sent while the news is away: a slice may have passed through other hands meanwhile, and what waits
here for it must go before it can do harm.
"""

from collections import deque

import msgspec

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import NS_PER_MS, Ids, Malformed, parsed
from kestrelplank.interface import ALL_TABLES
from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.http import DIAL, Client
from kestrelplank.sockets.loop import Loop

MOST_BYTES = 60_000  # of one call
HEAD, TAIL = b'{"ops":[', b"]}"
ANSWERS_WITHIN = 50 * NS_PER_MS  # the relay's own word; after that no answer comes any more
SLACK = 30 * NS_PER_MS  # for the way there and back, and for our own lateness
PAUSES = 20 * NS_PER_MS, 200 * NS_PER_MS  # before the same call again: at first, at the most
MOST_WAITING = 1 << 18  # bytes; see `full`
MOST_TRIES = 5  # of a call that the relay calls malformed: a defect of ours must not stop the queue
MOST_ANSWER = 1 << 14
MARKS = 65_536
PATH = "/api/batches"


def put(lines: dict[int, float], node: int, weight: float) -> None:
    """What one line does to a table, as the store keeps it."""
    if weight:
        lines[node] = weight
    else:
        lines.pop(node, None)


def fence(stamp: int, everyone: bool = True) -> dict:
    return {"verb": "fence", "stamp": stamp, "set": int(everyone)}


class Orders:
    """Marks go out counted from `first_mark`, which is another at each start: an answer to a mark of a former
    life then means none of ours, as the module counts from 0 each time."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        counters: Counters,
        to: str,
        ids: Ids,
        op_types: list[str],
        first_mark: int,
        transit: int = 0,
    ) -> None:
        self._loop, self._counters, self._ids, self._op_types = loop, counters, ids, op_types
        self._first_mark, self._transit = first_mark, transit
        self._client = Client(loop, pool, to, self, DIAL, MOST_ANSWER)
        # An order is (encoded, table, node, weight): what it changes, as far as the store keeps that.
        self._round: list[tuple] = []  # what the present round has ordered
        self._queue: deque[list[tuple]] = deque()  # calls to be made, the first of them may be out
        self._store: dict[int, dict[int, float]] = {}  # lines of our slices, as told and as answered for
        self._waiting, self._pause, self._tries, self._held = 0, PAUSES[0], 0, True
        self._last_mark: int | None = None
        self._behind: dict[bytes, int] = {}  # a mark that waits here, to how long nobody can answer it once it is sent
        self._outdated: set[int] = set()  # slices lost or given while the call that may order for them is out
        self._timer = None
        self._answer: tuple[int, bytes] | None = None  # came while the news was away

    def move(self, to: str) -> None:
        self._client.move(to)

    def full(self) -> bool:
        """No further round should be held while so much waits: against a relay that is away for long while
        nothing else slows the module down."""
        return self._waiting > MOST_WAITING

    # What the module orders.

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        name = self._ids.node_ids[node]
        self._order({"verb": "put", "cluster": table, "endpoint": name, "w": weight}, table, node, weight)

    def clear_table(self, table: int) -> None:
        self._order({"verb": "wipe", "cluster": table}, table)

    def set_withdrawn(self, node: int, withdrawn: bool) -> None:
        self._order({"verb": "eject" if withdrawn else "uneject", "endpoint": self._ids.node_ids[node]})

    def set_admission(self, table: int, op_types: int, share: float, retry_mode: int) -> None:
        order = {"verb": "gate", "cluster": "*" if table == ALL_TABLES else table, "gate": share, "again": retry_mode}
        if op_types:
            order["for"] = [name for place, name in enumerate(self._op_types) if op_types >> place & 1]
        self._order(order, table, None, 1.0)

    def request_acknowledgement(self, watermark: int, everyone: bool, backlog_ns: int = 0) -> None:
        self._last_mark = watermark
        stamp = (watermark + self._first_mark) % MARKS
        self._order(fence(stamp, everyone))
        self._behind[self._round[-1][0]] = backlog_ns

    def marked(self, stamp: int) -> int:
        """The mark that the module knows by that stamp."""
        return (stamp - self._first_mark) % MARKS

    def _order(self, order: dict, table: int = ALL_TABLES, node: int | None = None, weight: float = 0.0) -> None:
        self._counters.add("orders_in")
        self._round.append((msgspec.json.encode(order), table, node, weight))

    def close_round(self) -> None:
        """What one round ordered is one call, unless it is too long; calls are never merged, so a mark proves
        what its round ordered and nothing later."""
        orders, self._round = self._round, []
        size, call = MOST_BYTES, []
        for order in orders:
            if size + len(order[0]) + 1 > MOST_BYTES:
                size, call = len(HEAD) + len(TAIL), []
                self._queue.append(call)
            call.append(order)
            size += len(order[0]) + 1
            self._waiting += len(order[0])
        self._next()

    def forget(self, node: int) -> None:
        self._ids.forget(node)

    # What the news tells.

    def hold(self, held: bool) -> None:
        self._held = held
        if not held and self._answer:
            answer, self._answer = self._answer, None
            self._end(*answer)
        self._next()

    def given(self, number: int) -> None:
        """The slice's lines are told anew; what waits for it was decided on others."""
        self._forget(number)
        self._store[number] = {}

    def taken_back(self, number: int) -> None:
        self._forget(number)
        self._store.pop(number, None)

    def stands(self, number: int, node: int, weight: float) -> None:
        put(self._store.setdefault(number, {}), node, weight)

    def agrees(self, number: int, lines: dict[int, float]) -> bool:
        """Whether the store may hold these lines by our orders alone, with the call of unknown outcome or
        without it."""
        held = dict(self._store.get(number, {}))
        if held == lines:
            return True
        for order in self._queue[0] if self._queue else ():
            self._apply(held, number, order)
        return held == lines

    def ask_again(self, told: list[int]) -> None:
        """For the answers to the last mark that were lost with the news, by what each proxy was told to have
        applied: the module would wait for them and order nothing more."""
        last = self._last_mark
        if last is not None and not self._queue and any(mark != last for mark in told):
            self._counters.add("marks_asked_again")
            self.request_acknowledgement(last, True)
            self.close_round()

    def _forget(self, number: int) -> None:
        """Drops what waits for a slice; of the call that is out, when it turns out to be sent again."""
        for call in self._queue:
            if call is self._queue[0] and (self._client.busy or self._answer):
                self._outdated.add(number)
            else:
                self._shed(call, {number})

    def _shed(self, call: list[tuple], outdated: set[int]) -> None:
        stale = [order for order in call if order[1] in outdated]
        if stale:
            self._counters.add("orders_outdated", len(stale))
            self._waiting -= sum(len(order[0]) for order in stale)
            call[:] = [order for order in call if order[1] not in outdated]

    def _apply(self, lines: dict[int, float], number: int, order: tuple) -> None:
        _, table, node, weight = order
        if table == number and node is not None:
            put(lines, node, weight)
        elif table == number and not weight:
            lines.clear()

    # The queue.

    def _next(self) -> None:
        while self._queue and not self._queue[0]:
            self._queue.popleft()
        if not self._queue:
            self._behind.clear()
        if self._queue and not self._client.busy and self._timer is None and not self._held:
            self._counters.add("calls_sent")
            body = HEAD + b",".join(order[0] for order in self._queue[0]) + TAIL
            self._client.call("POST", PATH, body, ANSWERS_WITHIN + SLACK)

    def proved(self, stamp: int) -> None:
        """A proxy has answered that mark. Where it ends the call of unknown outcome, the call was carried out: it
        stands, and is not sent again, as its lines would wait in the channel twice (rule 5)."""
        if self._timer and self._queue and self._queue[0][-1][0] == msgspec.json.encode(fence(stamp)):
            self._counters.add("calls_proved")
            self._timer.cancel()
            self._timer = None
            self._taken(len(self._queue[0]))
            self._settled()

    def _again(self, name: str, why: str) -> None:
        self._shed(self._queue[0], self._outdated)
        self._outdated.clear()
        self._counters.trouble(name, why, waiting=len(self._queue))
        # Time enough for a proxy to prove that it was carried out: `transit` is the longest way, as the first answer
        # often takes more than the mean. To wait for what is before it in the channel costs nothing, as that must
        # leave first in either case.
        last = self._queue[0][-1][0] if self._queue[0] else b""
        pause = max(self._pause, self._transit + self._behind.get(last, 0))
        self._timer = self._loop.at(self._loop.now() + pause, self._resume)
        self._pause = min(2 * self._pause, PAUSES[1])

    def _resume(self) -> None:
        self._timer = None
        if not self._held:
            self._counters.add("calls_resent")
        self._next()

    def _taken(self, number: int) -> None:
        """The first so many orders of the call that was out stand in the store."""
        call = self._queue[0]
        self._counters.add("orders_taken", number)
        for order in call[:number]:
            if order[1] in self._store:
                self._apply(self._store[order[1]], order[1], order)
        self._drop(number)

    def _drop(self, number: int) -> None:
        self._waiting -= sum(len(order[0]) for order in self._queue[0][:number])
        del self._queue[0][:number]

    def on_answer(self, status: int, body: bytes) -> None:
        """One that comes while the news is away waits: what stands may be told as before that call or as after
        it, and `agrees` must allow for both."""
        if self._held:
            self._answer = status, body
        else:
            self._end(status, body)

    def _end(self, status: int, body: bytes) -> None:
        try:
            answer = parsed(body)
        except Malformed:
            answer = None
        taken = answer.get("ok_count") if isinstance(answer, dict) else None
        call = self._queue[0]
        if not isinstance(taken, int) or isinstance(taken, bool) or not 0 <= taken <= len(call):
            error = answer.get("error") if isinstance(answer, dict) else None
            self._tries += error == "malformed"
            if self._tries < MOST_TRIES:
                name = "calls_limited" if error == "limit" else "calls_unreadable"
                self._again(name, f"status {status}: {body[:80]!r}")
                return
            self._counters.trouble("calls_given_up", f"status {status}: {body[:80]!r}")
            self._drop(len(call))
        else:
            self._taken(taken)
            if call:
                self._counters.trouble("orders_dropped", f"not taken: {call[0][0]!r}")
                self._drop(1)  # the relay can't use that one; what stands behind it still counts
        self._settled()

    def _settled(self) -> None:
        self._outdated.clear()
        self._tries, self._pause = 0, PAUSES[0]
        self._next()

    def on_broken(self, why: str) -> None:
        self._again("calls_broken", why)

    def close(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._client.close()
