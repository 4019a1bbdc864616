"""The relay's updates: which proxies have joined, which slices are ours, what the store holds, what is applied.

A new stream begins with a snapshot. What is new in it becomes an event at once; what is known is reconciled once it is
complete: proxies not named are gone, slices not named are taken back, and a slice whose endpoints are not those that we
ordered had another owner meanwhile.
"""

from collections.abc import Callable, Mapping

from kestrelplank.assigner.counters import Counters
from kestrelplank.assigner.order_queue import OrderQueue
from kestrelplank.decode import (
    NS_PER_MS,
    Ids,
    MalformedError,
    boolean,
    duration_from_ms,
    non_negative,
    non_negative_int,
    object_value,
    parse_json,
    text,
)
from kestrelplank.interface import (
    EndpointStored,
    Event,
    ProxyJoined,
    ProxyLeft,
    SliceOwnership,
    WatermarkAcknowledged,
)
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.http import Stream, StreamLimits
from kestrelplank.sockets.loop import Loop, Timer

PATH = "/api/stream"
STREAM_LIMITS = StreamLimits(
    idle_timeout_ns=1600 * NS_PER_MS,  # a sign of life comes each second
    initial_backoff_ns=10 * NS_PER_MS,
    max_backoff_ns=250 * NS_PER_MS,
    max_line_bytes=1 << 20,
)
QUIET_NS = 150 * NS_PER_MS  # ends a snapshot or a slice's endpoints: both come in one burst, and no message ends them
COUNTER_NAMES: dict[type[Event], str] = {
    ProxyJoined: "joined_in",
    ProxyLeft: "left_in",
    WatermarkAcknowledged: "applied_in",
    SliceOwnership: "tenure_in",
    EndpointStored: "line_in",
}
NOTHING_APPLIED = -1


class Reconciliation:
    """What the snapshot of a new stream has named so far."""

    def __init__(self, now: int) -> None:
        self.proxies: dict[int, ProxyJoined | None] = {}  # None where the proxy is new
        self.slices: dict[int, dict[int, float] | None] = {}  # endpoints; None where the slice is new
        self.heard_at, self.empty = now, True


class ProxyUpdates:
    """Turns the relay's stream into events.

    No order leaves between a break of the stream and the end of the reconciliation
    (`test_orders_wait_while_updates_are_away_and_are_dropped_with_a_slice_that_is_lost`).

    :param proxies: how many there may be.
    :param slices: how many there are.
    """

    def __init__(  # noqa: PLR0913, PLR0917  made once, by the program
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        relay_address: str,
        ids: Ids,
        proxies: int,
        slices: int,
        orders: OrderQueue,
        on_event: Callable[[Event], None],
    ) -> None:
        self._loop, self._counters, self._ids, self._on_event = loop, counters, ids, on_event
        self._proxies, self._slices, self._orders = proxies, slices, orders
        self._applied: dict[int, int] = {}  # by joined proxy: the last watermark it is known to have applied
        self._owned: dict[int, None] = {}  # slices, in the order in which they were given
        self._reconciliation: Reconciliation | None = None  # while a snapshot comes in
        self._quiet_timer: Timer | None = None
        self._new_slice: list[SliceOwnership | EndpointStored] = []  # a slice given, and its endpoints so far
        self._new_slice_timer: Timer | None = None
        self._readers: dict[object, Callable[[Mapping[str, object]], None]] = {
            "attach": self._take_joined_proxy,
            "detach": self._take_left_proxy,
            "done": self._take_acknowledgement,
            "owner": self._take_ownership,
            "entry": self._take_endpoint,
        }
        self._stream = Stream(loop, pool, relay_address, self, STREAM_LIMITS)

    def move(self, relay_address: str) -> None:
        """Follow the relay at another address."""
        self._stream.move(relay_address)

    def close(self) -> None:
        """End the stream."""
        self._cancel_timers()
        self._stream.close()

    def _cancel_timers(self) -> None:
        for timer in (self._quiet_timer, self._new_slice_timer):
            if timer:
                timer.cancel()

    # The stream's callbacks.

    def stream_path(self) -> str:
        """Return the path of the stream."""
        return PATH

    def on_stream_start(self) -> None:
        """Begin to reconcile the snapshot that follows with what we know."""
        self._counters.add("news_started")
        self._reconciliation = Reconciliation(self._loop.now())
        self._quiet_timer = self._loop.at(self._loop.now() + QUIET_NS, self._check_quiet)

    def on_stream_end(self, why: str) -> None:
        """Hold orders back until a new stream's snapshot has been reconciled."""
        self._counters.record_fault("news_broken", why)
        self._emit_new_slice()
        self._reconciliation = None
        self._cancel_timers()
        self._orders.suspend()

    def on_stream_line(self, line: bytes) -> None:
        """Handle one update; what can be read but not used is skipped."""
        if not line.strip():
            return
        try:
            message = object_value(parse_json(line))
        except MalformedError as err:  # what it said is lost: a new stream's snapshot makes up for it
            self._counters.record_fault("news_unreadable", err)
            self._stream.drop("unreadable")
            return
        kind = message.get("type")
        if kind != "entry":
            self._emit_new_slice()
        try:
            if message:
                self._take(kind, object_value(message.get("object")))
            else:  # a keep-alive comes after the snapshot only
                self._reconcile()
        except MalformedError as err:
            self._counters.record_fault("news_skipped", err)

    # Reconciliation.

    def _check_quiet(self) -> None:
        if self._reconciliation is not None:
            quiet = self._loop.now() - self._reconciliation.heard_at >= QUIET_NS
            if quiet and not self._reconciliation.empty:
                self._reconcile()
            else:
                self._quiet_timer = self._loop.at(self._loop.now() + QUIET_NS, self._check_quiet)

    def _reconcile(self) -> None:
        """End the reconciliation, if there is one: the snapshot is complete."""
        reconciliation, self._reconciliation = self._reconciliation, None
        if reconciliation is None:
            return
        self._emit_new_slice()
        for proxy in [proxy for proxy in self._applied if proxy not in reconciliation.proxies]:
            del self._applied[proxy]
            self._emit(ProxyLeft(proxy))
        for number in [number for number in self._owned if number not in reconciliation.slices]:
            self._take_back(number)
        for number, endpoints in reconciliation.slices.items():
            if endpoints is not None and not self._orders.explains(number, endpoints):
                self._take_up_anew(number, endpoints)
        known = [joined for joined in reconciliation.proxies.values() if joined]
        for joined in known:
            # It may have lost its stream and dialled again while we heard nothing, and have missed orders that
            # no store keeps: the policy tells a proxy that joins, if not afresh, what is withdrawn (rule 3).
            self._emit(joined)
        self._orders.resume()
        self._orders.request_lost_acknowledgements([self._applied[joined.proxy] for joined in known])

    def _take_up_anew(self, number: int, endpoints: Mapping[int, float]) -> None:
        """Report a slice that had another owner meanwhile as taken back and given again."""
        self._counters.add("slices_given_anew")
        self._take_back(number)
        self._give(number)
        for node, weight in endpoints.items():
            self._store_endpoint(number, node, weight)
        self._emit_new_slice()

    # Events.

    def _emit(self, event: Event) -> None:
        self._counters.add(COUNTER_NAMES[type(event)])
        self._on_event(event)

    def _give(self, number: int) -> None:
        """Note a slice given to us; the event waits for its endpoints.

        Bytes may come in pieces, and the policy would place a slice that seems to have no endpoint.
        """
        self._owned[number] = None
        self._orders.slice_given(number)
        self._new_slice = [SliceOwnership(number, True)]
        self._new_slice_timer = self._loop.at(self._loop.now() + QUIET_NS, self._emit_new_slice)

    def _emit_new_slice(self) -> None:
        """Emit the slice that was given last, with its endpoints, unless that is done."""
        if self._new_slice:
            if self._new_slice_timer:
                self._new_slice_timer.cancel()
            events, self._new_slice = self._new_slice, []
            for event in events:
                self._emit(event)

    def _take_back(self, number: int) -> None:
        self._owned.pop(number, None)
        self._orders.slice_taken_back(number)
        self._emit(SliceOwnership(number, False))

    def _store_endpoint(self, number: int, node: int, weight: float) -> None:
        self._orders.endpoint_stored(number, node, weight)
        event = EndpointStored(number, node, weight)
        if self._new_slice and self._new_slice[0].slice == number:
            self._new_slice.append(event)
        else:
            self._emit(event)

    # Updates, by kind.

    def _take(self, kind: object, fields: Mapping[str, object]) -> None:
        """Handle one update by its kind."""
        if kind in ("done", "detach") or (kind == "owner" and fields.get("set") is False):
            self._reconcile()  # these are never part of a snapshot
        if self._reconciliation:
            self._reconciliation.heard_at, self._reconciliation.empty = self._loop.now(), False
        reader = self._readers.get(kind) if isinstance(kind, str) else None
        if reader is None:
            raise MalformedError(f"no news is called {text(kind)[:40]!r}")
        reader(fields)

    def _take_joined_proxy(self, fields: Mapping[str, object]) -> None:
        proxy = read_below(fields.get("node"), self._proxies)
        zone, ops_per_s = self._ids.zone(fields.get("locality")), non_negative(fields.get("w"))
        fresh, reconciliation = boolean(fields.get("cold")), self._reconciliation
        if reconciliation and proxy in self._applied:
            reconciliation.proxies[proxy] = ProxyJoined(proxy, zone, ops_per_s, False)
            return
        if reconciliation:
            reconciliation.proxies[proxy] = None
        elif proxy in self._applied:  # its earlier stream has ended, with all that was on its way there
            self._emit(ProxyLeft(proxy))
        self._applied[proxy] = NOTHING_APPLIED
        self._emit(ProxyJoined(proxy, zone, ops_per_s, fresh))

    def _take_left_proxy(self, fields: Mapping[str, object]) -> None:
        proxy = read_below(fields.get("node"), self._proxies)
        if self._applied.pop(proxy, None) is not None:
            self._emit(ProxyLeft(proxy))

    def _take_acknowledgement(self, fields: Mapping[str, object]) -> None:
        proxy, mark = read_below(fields.get("node"), self._proxies), non_negative_int(fields.get("nonce"))
        watermark = self._orders.watermark_of(mark)
        self._orders.mark_acknowledged(mark)
        # A call that was sent again puts its mark into two messages; the second answer would count twice.
        if self._applied.get(proxy, watermark) != watermark:
            self._applied[proxy] = watermark
            self._emit(WatermarkAcknowledged(proxy, watermark, duration_from_ms(fields.get("latency"))))

    def _take_ownership(self, fields: Mapping[str, object]) -> None:
        number, owned = read_below(fields.get("shard"), self._slices), boolean(fields.get("set"))
        known, reconciliation = number in self._owned, self._reconciliation
        if owned and reconciliation:
            reconciliation.slices[number] = {} if known else None
        if owned and not (reconciliation and known):
            self._give(number)
        elif not owned and known:
            self._take_back(number)

    def _take_endpoint(self, fields: Mapping[str, object]) -> None:
        number, weight = read_below(fields.get("shard"), self._slices), non_negative(fields.get("w"))
        if number not in self._owned:
            raise MalformedError(f"a line of slice {number}, which is not ours")
        node, reconciliation = self._ids.node(fields.get("endpoint")), self._reconciliation
        endpoints = reconciliation.slices.get(number) if reconciliation else None
        if endpoints is not None:
            endpoints[node] = weight
        else:
            self._store_endpoint(number, node, weight)


def read_below(value: object, most: int) -> int:
    """Read a number from 0 that is below `most`."""
    number = non_negative_int(value)
    if number >= most:
        raise MalformedError(f"{number} is not below {most}")
    return number
