"""Orders to the relay: one queue, one call out.

A call whose outcome is unknown is sent again complete before anything newer. Orders set state, so carrying one out
twice changes nothing. Nothing is sent while the stream of updates is down: another assigner may own a slice meanwhile,
and orders that wait here for such a slice must be dropped unsent.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import msgspec

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import NS_PER_MS, Ids, MalformedError, parse_json
from kestrelplank.interface import ALL_TABLES
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.http import DIAL_TIMEOUT_NS, Client
from kestrelplank.sockets.loop import Loop, Timer

PATH = "/api/batches"
CALL_HEAD, CALL_TAIL = b'{"ops":[', b"]}"
MOST_CALL_BYTES = 60_000
MOST_ANSWER_BYTES = 1 << 14
MOST_QUEUED_BYTES = 1 << 18  # see `is_full`
RELAY_ANSWER_TIMEOUT_NS = 50 * NS_PER_MS  # as the relay states; after that no answer comes any more
ANSWER_TIMEOUT_NS = RELAY_ANSWER_TIMEOUT_NS + 30 * NS_PER_MS  # with the way there and back, and our own lateness
FIRST_RETRY_NS, LONGEST_RETRY_NS = 20 * NS_PER_MS, 200 * NS_PER_MS  # before the same call is sent again
MOST_ATTEMPTS = 5  # of a call that the relay calls malformed: a defect of ours must not stop the queue
MARKS = 65_536  # how many marks the wire has; see `OrderQueue`


class Order(NamedTuple):
    """An order as it is sent, and what it changes as far as the store keeps that."""

    encoded: bytes
    table: int = ALL_TABLES
    node: int | None = None
    weight: float = 0.0


def set_in_store(endpoints: dict[int, float], node: int, weight: float) -> None:
    """Change a table as one endpoint's order changes it in the store."""
    if weight:
        endpoints[node] = weight
    else:
        endpoints.pop(node, None)


def fence(stamp: int, all_proxies: bool = True) -> dict[str, object]:
    """Return the wire's order that asks proxies for an acknowledgement."""
    return {"verb": "fence", "stamp": stamp, "set": int(all_proxies)}


class OrderQueue:
    """Sends a round's orders as one call, and keeps account of what the store holds.

    A mark is what the wire has for a watermark of the policy: the watermark plus `first_mark`, which is another at each
    start. The policy counts watermarks from 0 each time, and late answers to a former incarnation's must match none.

    :param transit_ns: the longest way of an order to a proxy and of its acknowledgement back.
    """

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        relay_address: str,
        ids: Ids,
        op_types: list[str],
        first_mark: int,
        transit_ns: int = 0,
    ) -> None:
        self._loop, self._counters, self._ids, self._op_types = loop, counters, ids, op_types
        self._first_mark, self._transit_ns = first_mark, transit_ns
        self._client = Client(loop, pool, relay_address, self, DIAL_TIMEOUT_NS, MOST_ANSWER_BYTES)
        self._round: list[Order] = []  # what the present round has ordered
        self._queue: deque[list[Order]] = deque()  # calls to be made; the first of them may be in flight
        self._queued_bytes = 0
        self._store: dict[int, dict[int, float]] = {}  # endpoints of our slices, by updates and by answered calls
        self._suspended = True  # while the stream of updates is down
        self._answer: tuple[int, bytes] | None = None  # came while suspended
        self._retry_timer: Timer | None = None  # set while the first call's outcome is unknown
        self._retry_ns, self._attempts = FIRST_RETRY_NS, 0
        self._last_watermark: int | None = None
        self._backlog_ns: dict[bytes, int] = {}  # by encoded fence in the queue: see `request_acknowledgement`
        self._outdated: set[int] = set()  # slices lost or given while the call in flight may order for them

    def move(self, relay_address: str) -> None:
        """Send calls to the relay at another address."""
        self._client.move(relay_address)

    def is_full(self) -> bool:
        """Whether no further round should run.

        Bounds the queue while the relay is unreachable, as nothing else then slows the policy down.
        """
        return self._queued_bytes > MOST_QUEUED_BYTES

    def close(self) -> None:
        """Send nothing more."""
        if self._retry_timer:
            self._retry_timer.cancel()
        self._client.close()

    # Orders of the policy.

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        """Order one endpoint of a table."""
        name = self._ids.node_ids[node]
        self._add({"verb": "put", "cluster": table, "endpoint": name, "w": weight}, table, node, weight)

    def clear_table(self, table: int) -> None:
        """Order that a table is emptied."""
        self._add({"verb": "wipe", "cluster": table}, table)

    def set_withdrawn(self, node: int, withdrawn: bool) -> None:
        """Order that a node is withdrawn, or let in again."""
        self._add({"verb": "eject" if withdrawn else "uneject", "endpoint": self._ids.node_ids[node]})

    def set_admission(self, table: int, op_types: int, share: float, retry_mode: int) -> None:
        """Order the admitted share and the retry mode."""
        cluster = "*" if table == ALL_TABLES else table
        order: dict[str, object] = {"verb": "gate", "cluster": cluster, "gate": share, "again": retry_mode}
        if op_types:
            order["for"] = [name for index, name in enumerate(self._op_types) if op_types >> index & 1]
        self._add(order, table, None, 1.0)

    def request_acknowledgement(self, watermark: int, all_proxies: bool, backlog_ns: int = 0) -> None:
        """Order that proxies acknowledge what this round has ordered."""
        self._last_watermark = watermark
        self._add(fence((watermark + self._first_mark) % MARKS, all_proxies))
        self._backlog_ns[self._round[-1].encoded] = backlog_ns

    def watermark_of(self, mark: int) -> int:
        """Return the watermark that the policy knows by that mark of the wire."""
        return (mark - self._first_mark) % MARKS

    def _add(
        self, order: Mapping[str, object], table: int = ALL_TABLES, node: int | None = None, weight: float = 0.0
    ) -> None:
        self._counters.add("orders_in")
        self._round.append(Order(msgspec.json.encode(order), table, node, weight))

    def close_round(self) -> None:
        """End a round: queue what it ordered as one call, or as several where it is too long.

        Calls are never merged, so a mark proves what its round ordered and nothing later.
        """
        orders, self._round = self._round, []
        call: list[Order] = []
        size = MOST_CALL_BYTES
        for order in orders:
            if size + len(order.encoded) + 1 > MOST_CALL_BYTES:
                size, call = len(CALL_HEAD) + len(CALL_TAIL), []
                self._queue.append(call)
            call.append(order)
            size += len(order.encoded) + 1
            self._queued_bytes += len(order.encoded)
        self._send_next()

    def forget(self, node: int) -> None:
        """Release a node's name."""
        self._ids.forget(node)

    # Called as updates arrive.

    def suspend(self) -> None:
        """Send nothing until `resume`: the stream of updates is down."""
        self._suspended = True

    def resume(self) -> None:
        """Send again: the updates have been reconciled."""
        self._suspended = False
        if self._answer:
            answer, self._answer = self._answer, None
            self._take_answer(*answer)
        self._send_next()

    def slice_given(self, number: int) -> None:
        """Begin to keep a slice's endpoints; orders that wait for it were decided on older ones, and are dropped."""
        self._drop_orders_for(number)
        self._store[number] = {}

    def slice_taken_back(self, number: int) -> None:
        """Forget a slice that is ours no longer, and drop what waits for it."""
        self._drop_orders_for(number)
        self._store.pop(number, None)

    def endpoint_stored(self, number: int, node: int, weight: float) -> None:
        """Keep one endpoint that the store holds."""
        set_in_store(self._store.setdefault(number, {}), node, weight)

    def explains(self, number: int, endpoints: Mapping[int, float]) -> bool:
        """Whether our orders alone explain these endpoints, with the call of unknown outcome or without it."""
        held = dict(self._store.get(number, {}))
        if held == endpoints:
            return True
        for order in self._queue[0] if self._queue else ():
            self._apply(held, number, order)
        return held == endpoints

    def request_lost_acknowledgements(self, acknowledged: Iterable[int]) -> None:
        """Ask again for the answers to the last watermark that were lost with the updates.

        The policy would wait for them and order nothing more.

        :param acknowledged: the last watermark that each proxy is known to have applied.
        """
        last = self._last_watermark
        if last is not None and not self._queue and any(watermark != last for watermark in acknowledged):
            self._counters.add("marks_asked_again")
            self.request_acknowledgement(last, True)
            self.close_round()

    def mark_acknowledged(self, mark: int) -> None:
        """Handle a proxy's answer to a mark.

        Where the mark ends the call of unknown outcome, the call was carried out: it is not sent again, as its orders
        would wait in the channel twice (rule 5).
        """
        if self._retry_timer and self._queue and self._queue[0][-1].encoded == msgspec.json.encode(fence(mark)):
            self._counters.add("calls_proved")
            self._retry_timer.cancel()
            self._retry_timer = None
            self._carried_out(len(self._queue[0]))
            self._call_ended()

    def _drop_orders_for(self, number: int) -> None:
        """Drop orders that wait for a slice; those of the call in flight only if it has to be sent again."""
        for call in self._queue:
            if call is self._queue[0] and (self._client.busy or self._answer):
                self._outdated.add(number)
            else:
                self._drop_outdated(call, {number})

    def _drop_outdated(self, call: list[Order], slices: Collection[int]) -> None:
        outdated = [order for order in call if order.table in slices]
        if outdated:
            self._counters.add("orders_outdated", len(outdated))
            self._queued_bytes -= sum(len(order.encoded) for order in outdated)
            call[:] = [order for order in call if order.table not in slices]

    def _apply(self, endpoints: dict[int, float], number: int, order: Order) -> None:
        if order.table == number and order.node is not None:
            set_in_store(endpoints, order.node, order.weight)
        elif order.table == number and not order.weight:
            endpoints.clear()

    # Calls.

    def _send_next(self) -> None:
        while self._queue and not self._queue[0]:
            self._queue.popleft()
        if not self._queue:
            self._backlog_ns.clear()
        if self._queue and not self._client.busy and self._retry_timer is None and not self._suspended:
            self._counters.add("calls_sent")
            body = CALL_HEAD + b",".join(order.encoded for order in self._queue[0]) + CALL_TAIL
            self._client.call("POST", PATH, body, ANSWER_TIMEOUT_NS)

    def on_answer(self, status: int, body: bytes) -> None:
        """Handle the relay's answer.

        One that comes while suspended is kept: the updates may show the state before that call or after it, and
        `explains` must allow for both.
        """
        if self._suspended:
            self._answer = status, body
        else:
            self._take_answer(status, body)

    def on_failure(self, why: str) -> None:
        """Handle a call without an answer."""
        self._retry_later("calls_broken", why)

    def _take_answer(self, status: int, body: bytes) -> None:
        try:
            answer = parse_json(body)
        except MalformedError:
            answer = None
        fields = answer if isinstance(answer, dict) else {}
        taken, call = fields.get("ok_count"), self._queue[0]
        if not isinstance(taken, int) or isinstance(taken, bool) or not 0 <= taken <= len(call):
            self._take_error(fields.get("error"), f"status {status}: {body[:80]!r}")
            return
        self._carried_out(taken)
        if call:
            self._counters.record_fault("orders_dropped", f"not taken: {call[0].encoded!r}")
            self._remove_first(1)  # the relay can't use that one; the rest goes on
        self._call_ended()

    def _take_error(self, error: object, why: str) -> None:
        """Send the call again, but not for ever where the relay finds it malformed."""
        self._attempts += error == "malformed"
        if self._attempts < MOST_ATTEMPTS:
            self._retry_later("calls_limited" if error == "limit" else "calls_unreadable", why)
            return
        self._counters.record_fault("calls_given_up", why)
        self._remove_first(len(self._queue[0]))
        self._call_ended()

    def _retry_later(self, counter: str, why: str) -> None:
        """Send the first call again after a while, unless a proxy proves meanwhile that it was carried out.

        `transit_ns` is the longest way, as the first answer often takes more than the mean. To wait for what is before
        the call in the channel costs nothing, as that must leave first in either case.
        """
        self._drop_outdated(self._queue[0], self._outdated)
        self._outdated.clear()
        self._counters.record_fault(counter, why, waiting=len(self._queue))
        last = self._queue[0][-1].encoded if self._queue[0] else b""
        pause_ns = max(self._retry_ns, self._transit_ns + self._backlog_ns.get(last, 0))
        self._retry_timer = self._loop.at(self._loop.now() + pause_ns, self._retry)
        self._retry_ns = min(2 * self._retry_ns, LONGEST_RETRY_NS)

    def _retry(self) -> None:
        self._retry_timer = None
        if not self._suspended:
            self._counters.add("calls_resent")
        self._send_next()

    def _carried_out(self, number: int) -> None:
        """Apply the first so many orders of the call that was out to the store."""
        self._counters.add("orders_taken", number)
        for order in self._queue[0][:number]:
            if order.table in self._store:
                self._apply(self._store[order.table], order.table, order)
        self._remove_first(number)

    def _remove_first(self, number: int) -> None:
        self._queued_bytes -= sum(len(order.encoded) for order in self._queue[0][:number])
        del self._queue[0][:number]

    def _call_ended(self) -> None:
        self._outdated.clear()
        self._attempts, self._retry_ns = 0, FIRST_RETRY_NS
        self._send_next()
