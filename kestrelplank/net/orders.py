"""Orders to the relay: one queue, one call out, and what may not have been carried out is sent again whole
before anything newer. Orders set state, so carrying one out twice changes nothing."""

from collections import deque

import msgspec

from kestrelplank.decode import NS_PER_MS, Ids
from kestrelplank.interface import ALL_TABLES
from kestrelplank.net.buffers import Pool
from kestrelplank.net.counters import Counters
from kestrelplank.net.http import Client
from kestrelplank.net.loop import Loop

MOST_BYTES = 60_000  # of the orders in one call
HEAD, TAIL = b'{"ops":[', b"]}"
ANSWERS_WITHIN = 50 * NS_PER_MS  # the relay's own word; after that no answer comes any more
SLACK = 30 * NS_PER_MS  # for the way there and back, and for our own lateness
DIAL = 250 * NS_PER_MS
PAUSES = 20 * NS_PER_MS, 200 * NS_PER_MS  # before the same call again: at first, at the most
MOST_WAITING = 1 << 18  # bytes; see `full`
MOST_TRIES = 5  # of a call that the relay calls malformed: a defect of ours must not stop the queue
PATH = "/api/batches"


class Orders:
    def __init__(self, loop: Loop, pool: Pool, counters: Counters, to: str, ids: Ids, op_types: list[str]) -> None:
        self._loop, self._counters, self._ids, self._op_types = loop, counters, ids, op_types
        self._client = Client(loop, pool, to, self, DIAL, MOST_BYTES)
        self._round: list[bytes] = []  # what the present round has ordered
        self._queue: deque[list[bytes]] = deque()  # calls to be made, the first of them may be out
        self._waiting, self._pause, self._tries = 0, PAUSES[0], 0
        self._timer = None

    def full(self) -> bool:
        """No further round should be held while so much waits: against a relay that is away for long while
        nothing else slows the module down."""
        return self._waiting > MOST_WAITING

    # What the module orders.

    def line(self, table: int, node: int, weight: float) -> None:
        self._order({"verb": "put", "cluster": table, "endpoint": self._ids.node_ids[node], "w": weight})

    def clear(self, table: int) -> None:
        self._order({"verb": "wipe", "cluster": table})

    def take_out(self, node: int, out: bool) -> None:
        self._order({"verb": "eject" if out else "uneject", "endpoint": self._ids.node_ids[node]})

    def level(self, table: int, op_types: int, share: float, again: int) -> None:
        order = {"verb": "gate", "cluster": "*" if table == ALL_TABLES else table, "gate": share, "again": again}
        if op_types:
            order["for"] = [name for place, name in enumerate(self._op_types) if op_types >> place & 1]
        self._order(order)

    def mark(self, number: int, everyone: bool) -> None:
        self._order({"verb": "fence", "stamp": number, "set": int(everyone)})

    def _order(self, order: dict) -> None:
        self._counters.add("orders_in")
        self._round.append(msgspec.json.encode(order))

    def close_round(self) -> None:
        """What one round ordered is one call, unless it is too long; calls are never merged, so a mark proves
        what its round ordered and nothing later."""
        orders, self._round = self._round, []
        size, call = MOST_BYTES, None
        for order in orders:
            if size + len(order) + 1 > MOST_BYTES:
                size, call = len(HEAD) + len(TAIL), []
                self._queue.append(call)
            call.append(order)
            size += len(order) + 1
            self._waiting += len(order)
        self._next()

    # The queue.

    def _next(self) -> None:
        if self._queue and not self._client.busy and self._timer is None:
            self._counters.add("calls_sent")
            self._client.call("POST", PATH, HEAD + b",".join(self._queue[0]) + TAIL, ANSWERS_WITHIN + SLACK)

    def _again(self, name: str, why: str) -> None:
        self._counters.trouble(name, why, waiting=len(self._queue))
        self._timer = self._loop.at(self._loop.now() + self._pause, self._resume)
        self._pause = min(2 * self._pause, PAUSES[1])

    def _resume(self) -> None:
        self._timer = None
        self._counters.add("calls_resent")
        self._next()

    def _taken(self, number: int) -> None:
        """The first so many orders of the call that was out need no further care."""
        call = self._queue[0]
        self._waiting -= sum(map(len, call[:number]))
        del call[:number]
        if not call:
            self._queue.popleft()

    def on_answer(self, status: int, body: bytes) -> None:
        try:
            answer = msgspec.json.decode(body)
        except msgspec.DecodeError:
            answer = None
        taken = answer.get("ok_count") if isinstance(answer, dict) else None
        call = self._queue[0]
        if not isinstance(taken, int) or isinstance(taken, bool) or not 0 <= taken <= len(call):
            error = answer.get("error") if isinstance(answer, dict) else None
            if error == "limit":
                self._again("calls_limited", error)
                return
            self._tries += error == "malformed"
            if self._tries < MOST_TRIES:
                self._again("calls_unreadable", f"status {status}: {body[:80]!r}")
                return
            self._counters.trouble("calls_given_up", f"status {status}: {body[:80]!r}")
            taken = len(call)
        self._counters.add("orders_taken", taken)
        self._tries, self._pause = 0, PAUSES[0]
        if taken < len(call):
            self._counters.trouble("orders_dropped", f"not taken: {call[taken]!r}")
            taken += 1  # the relay can't use that one; what stands behind it still counts
        self._taken(taken)
        self._next()

    def on_broken(self, why: str) -> None:
        self._again("calls_broken", why)

    def close(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._client.close()
