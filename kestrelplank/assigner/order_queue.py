"""Queue of orders to the relay, with one call in flight at a time.

A call whose outcome is unknown is retried completely before any newer call. Orders are idempotent, so executing one
twice changes nothing. Nothing is sent while the stream of updates is down: another assigner may own a slice by then,
and queued orders for such a slice must be dropped.
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
MAX_CALL_BYTES = 60_000
MAX_ANSWER_BYTES = 1 << 14
MAX_QUEUED_BYTES = 1 << 18  # no further round runs above this
RELAY_ANSWER_TIMEOUT_NS = 50 * NS_PER_MS  # by the relay's protocol; it does not respond later
ANSWER_TIMEOUT_NS = RELAY_ANSWER_TIMEOUT_NS + 30 * NS_PER_MS  # with network latency and delays of this process
INITIAL_RETRY_DELAY_NS, MAX_RETRY_DELAY_NS = 20 * NS_PER_MS, 200 * NS_PER_MS  # of the same call
MAX_ATTEMPTS = 5  # of a call that the relay reports as malformed, so that a bug does not block the queue
STAMP_COUNT = 65_536  # a stamp on the wire is a 16-bit number


class Order(NamedTuple):
    """An encoded order, and the endpoint change that it makes in the store."""

    encoded: bytes
    table: int = ALL_TABLES
    node: int | None = None
    weight: float = 0.0


def apply_endpoint(endpoints: dict[int, float], node: int, weight: float) -> None:
    """Apply an order for one endpoint to the endpoints of a slice."""
    if weight:
        endpoints[node] = weight
    else:
        endpoints.pop(node, None)


def fence(stamp: int, all_proxies: bool = True) -> dict[str, object]:
    """Return the order on the wire that requests an acknowledgement from proxies."""
    return {"verb": "fence", "stamp": stamp, "set": int(all_proxies)}


class OrderQueue:
    """Sends the orders of a round as one call, and tracks the endpoints in the relay's store.

    A stamp represents a watermark of the policy on the wire: the watermark plus `first_stamp`, modulo `STAMP_COUNT`.
    The policy counts watermarks from 0 at each start, and `first_stamp` differs between starts, so that late
    acknowledgements for a former incarnation match none of the new stamps.

    :param transit_ns: maximum time for an order to reach a proxy and its acknowledgement to return.
    """

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        relay_address: str,
        ids: Ids,
        op_types: list[str],
        first_stamp: int,
        transit_ns: int = 0,
    ) -> None:
        self._loop, self._counters, self._ids, self._op_types = loop, counters, ids, op_types
        self._first_stamp, self._transit_ns = first_stamp, transit_ns
        self._client = Client(loop, pool, relay_address, self, DIAL_TIMEOUT_NS, MAX_ANSWER_BYTES)
        self._round: list[Order] = []  # orders of the current round
        self._queue: deque[list[Order]] = deque()  # calls; the first may be in flight
        self._queued_bytes = 0
        self._store: dict[int, dict[int, float]] = {}  # endpoints by owned slice, from updates and completed calls
        self._suspended = True  # while the stream of updates is down
        self._answer: tuple[int, bytes] | None = None  # response received while suspended
        self._retry_timer: Timer | None = None  # set while the outcome of the first call is unknown
        self._retry_delay_ns, self._attempts = INITIAL_RETRY_DELAY_NS, 0
        self._last_watermark: int | None = None
        self._backlog_ns: dict[bytes, int] = {}  # by encoded fence; see `OrderWriter.request_acknowledgement`
        self._outdated: set[int] = set()  # slices whose owner changed during the call in flight

    def move(self, relay_address: str) -> None:
        """Send calls to the relay at another address."""
        self._client.move(relay_address)

    def is_full(self) -> bool:
        """Whether no further round should run.

        Limits the queue while the relay is unreachable, when nothing else slows the policy down.
        """
        return self._queued_bytes > MAX_QUEUED_BYTES

    def close(self) -> None:
        """Stop sending."""
        if self._retry_timer:
            self._retry_timer.cancel()
        self._client.close()

    # Called by the policy.

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        """Order to set or remove one endpoint of a table."""
        name = self._ids.node_ids[node]
        self._add({"verb": "put", "cluster": table, "endpoint": name, "w": weight}, table, node, weight)

    def clear_table(self, table: int) -> None:
        """Order to remove all endpoints of a table."""
        self._add({"verb": "wipe", "cluster": table}, table)

    def set_withdrawn(self, node: int, withdrawn: bool) -> None:
        """Order to withdraw a node, or to admit it again."""
        self._add({"verb": "eject" if withdrawn else "uneject", "endpoint": self._ids.node_ids[node]})

    def set_admission(self, table: int, op_types: int, share: float, retry_mode: int) -> None:
        """Order the admission share and the retry mode."""
        cluster = "*" if table == ALL_TABLES else table
        order: dict[str, object] = {"verb": "gate", "cluster": cluster, "gate": share, "again": retry_mode}
        if op_types:
            order["for"] = [name for index, name in enumerate(self._op_types) if op_types >> index & 1]
        self._add(order, table, None, 1.0)

    def request_acknowledgement(self, watermark: int, all_proxies: bool, backlog_ns: int = 0) -> None:
        """Order proxies to acknowledge the orders of this round."""
        self._last_watermark = watermark
        self._add(fence((watermark + self._first_stamp) % STAMP_COUNT, all_proxies))
        self._backlog_ns[self._round[-1].encoded] = backlog_ns

    def watermark_of(self, stamp: int) -> int:
        """Return the policy's watermark for a stamp on the wire."""
        return (stamp - self._first_stamp) % STAMP_COUNT

    def _add(
        self, order: Mapping[str, object], table: int = ALL_TABLES, node: int | None = None, weight: float = 0.0
    ) -> None:
        self._counters.add("orders_in")
        self._round.append(Order(msgspec.json.encode(order), table, node, weight))

    def close_round(self) -> None:
        """End a round: queue its orders as one call, or as several if it is too long.

        Calls are never merged, so an acknowledged stamp covers the orders of its round and no later ones.
        """
        orders, self._round = self._round, []
        call: list[Order] = []
        size = MAX_CALL_BYTES
        for order in orders:
            if size + len(order.encoded) + 1 > MAX_CALL_BYTES:
                size, call = len(CALL_HEAD) + len(CALL_TAIL), []
                self._queue.append(call)
            call.append(order)
            size += len(order.encoded) + 1
            self._queued_bytes += len(order.encoded)
        self._send_next()

    def forget(self, node: int) -> None:
        """Remove a node's name."""
        self._ids.forget(node)

    # Called as updates arrive.

    def suspend(self) -> None:
        """Stop sending until `resume`, as the stream of updates is down."""
        self._suspended = True

    def resume(self) -> None:
        """Resume sending, as the updates have been reconciled."""
        self._suspended = False
        if self._answer:
            answer, self._answer = self._answer, None
            self._process_answer(*answer)
        self._send_next()

    def slice_assigned(self, number: int) -> None:
        """Start tracking a slice, and drop queued orders for it, which were based on outdated endpoints."""
        self._drop_orders_for(number)
        self._store[number] = {}

    def slice_revoked(self, number: int) -> None:
        """Stop tracking a slice that is no longer owned, and drop queued orders for it."""
        self._drop_orders_for(number)
        self._store.pop(number, None)

    def endpoint_stored(self, number: int, node: int, weight: float) -> None:
        """Record one endpoint of the relay's store."""
        apply_endpoint(self._store.setdefault(number, {}), node, weight)

    def matches_orders(self, number: int, endpoints: Mapping[int, float]) -> bool:
        """Whether these endpoints are what this assigner ordered, with or without the call of unknown outcome."""
        expected = dict(self._store.get(number, {}))
        if expected == endpoints:
            return True
        for order in self._queue[0] if self._queue else ():
            self._apply(expected, number, order)
        return expected == endpoints

    def request_lost_acknowledgements(self, acknowledged: Iterable[int]) -> None:
        """Request the last watermark again if its acknowledgements may have been lost with the stream.

        Otherwise the policy would wait for them and order nothing more.

        :param acknowledged: the last watermark that each proxy is known to have applied.
        """
        last = self._last_watermark
        if last is not None and not self._queue and any(watermark != last for watermark in acknowledged):
            self._counters.add("marks_asked_again")
            self.request_acknowledgement(last, True)
            self.close_round()

    def stamp_acknowledged(self, stamp: int) -> None:
        """Process a proxy's acknowledgement of a stamp.

        If the stamp ends the call of unknown outcome, the call was executed: it is not retried, as its orders would be
        queued in the channel twice (rule 5).
        """
        if self._retry_timer and self._queue and self._queue[0][-1].encoded == msgspec.json.encode(fence(stamp)):
            self._counters.add("calls_proved")
            self._retry_timer.cancel()
            self._retry_timer = None
            self._accept_first(len(self._queue[0]))
            self._call_ended()

    def _drop_orders_for(self, number: int) -> None:
        """Drop queued orders for a slice; those of the call in flight only if it is retried."""
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
            apply_endpoint(endpoints, order.node, order.weight)
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
        """Process the relay's response.

        A response that arrives while suspended is kept: the updates may show the state before or after that call, and
        `matches_orders` must allow for both.
        """
        if self._suspended:
            self._answer = status, body
        else:
            self._process_answer(status, body)

    def on_failure(self, why: str) -> None:
        """Retry a call that got no response."""
        self._retry_later("calls_broken", why)

    def _process_answer(self, status: int, body: bytes) -> None:
        try:
            answer = parse_json(body)
        except MalformedError:
            answer = None
        fields = answer if isinstance(answer, dict) else {}
        accepted, call = fields.get("ok_count"), self._queue[0]
        if not isinstance(accepted, int) or isinstance(accepted, bool) or not 0 <= accepted <= len(call):
            self._process_error(fields.get("error"), f"status {status}: {body[:80]!r}")
            return
        self._accept_first(accepted)
        if call:
            self._counters.record_fault("orders_dropped", f"rejected by the relay: {call[0].encoded!r}")
            self._remove_first(1)  # the relay rejected this order; the later ones are sent
        self._call_ended()

    def _process_error(self, error: object, why: str) -> None:
        """Retry the call, at most `MAX_ATTEMPTS` times if the relay reports it as malformed."""
        self._attempts += error == "malformed"
        if self._attempts < MAX_ATTEMPTS:
            self._retry_later("calls_limited" if error == "limit" else "calls_unreadable", why)
            return
        self._counters.record_fault("calls_given_up", why)
        self._remove_first(len(self._queue[0]))
        self._call_ended()

    def _retry_later(self, counter: str, why: str) -> None:
        """Retry the first call after a delay, unless a proxy's acknowledgement shows before that it was executed.

        The delay covers the maximum transit time, as the first acknowledgement often takes longer than the mean, and
        the backlog of the channel, which has to leave before the call in any case.
        """
        self._drop_outdated(self._queue[0], self._outdated)
        self._outdated.clear()
        self._counters.record_fault(counter, why, waiting=len(self._queue))
        last = self._queue[0][-1].encoded if self._queue[0] else b""
        delay_ns = max(self._retry_delay_ns, self._transit_ns + self._backlog_ns.get(last, 0))
        self._retry_timer = self._loop.at(self._loop.now() + delay_ns, self._retry)
        self._retry_delay_ns = min(2 * self._retry_delay_ns, MAX_RETRY_DELAY_NS)

    def _retry(self) -> None:
        self._retry_timer = None
        if not self._suspended:
            self._counters.add("calls_resent")
        self._send_next()

    def _accept_first(self, number: int) -> None:
        """Record the first `number` orders of the first call as executed, and remove them from the queue."""
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
        self._attempts, self._retry_delay_ns = 0, INITIAL_RETRY_DELAY_NS
        self._send_next()
