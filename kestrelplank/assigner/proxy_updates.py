"""The relay's stream of updates: joined proxies, owned slices, stored endpoints and acknowledgements.

A new stream begins with a snapshot. New proxies and slices in it are emitted as events at once. Known ones are
reconciled when the snapshot is complete: proxies that it lacks have left, slices that it lacks are no longer owned, and
a slice whose endpoints differ from those that this assigner ordered has had another owner.
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
    idle_timeout_ns=1600 * NS_PER_MS,  # the relay sends a keep-alive every second
    initial_backoff_ns=10 * NS_PER_MS,
    max_backoff_ns=250 * NS_PER_MS,
    max_line_bytes=1 << 20,
)
QUIET_NS = 150 * NS_PER_MS  # ends a snapshot or a slice's endpoints: each is one burst without an end message
COUNTER_NAMES: dict[type[Event], str] = {
    ProxyJoined: "joined_in",
    ProxyLeft: "left_in",
    WatermarkAcknowledged: "applied_in",
    SliceOwnership: "tenure_in",
    EndpointStored: "line_in",
}
NOTHING_APPLIED = -1


class Reconciliation:
    """Proxies and slices that the snapshot of a new stream has contained so far."""

    def __init__(self, now: int) -> None:
        self.proxies: dict[int, ProxyJoined | None] = {}  # None where the proxy is new
        self.slices: dict[int, dict[int, float] | None] = {}  # endpoints; None where the slice is new
        self.last_received_at, self.empty = now, True


class ProxyUpdates:
    """Turns the relay's stream into events.

    No order is sent between the loss of the stream and the end of the reconciliation
    (`test_orders_wait_while_suspended_and_are_dropped_with_a_revoked_slice`).

    :param proxies: maximum number of proxies.
    :param slices: number of slices.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - constructed once, by the program
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
        self._applied: dict[int, int] = {}  # last watermark known to be applied, by joined proxy
        self._owned: dict[int, None] = {}  # slices, in the order of their assignment
        self._reconciliation: Reconciliation | None = None  # while a snapshot is received
        self._quiet_timer: Timer | None = None
        self._new_slice: list[SliceOwnership | EndpointStored] = []  # a newly assigned slice, and its endpoints so far
        self._new_slice_timer: Timer | None = None
        self._readers: dict[object, Callable[[Mapping[str, object]], None]] = {
            "attach": self._handle_joined_proxy,
            "detach": self._handle_left_proxy,
            "done": self._handle_acknowledgement,
            "owner": self._handle_ownership,
            "entry": self._handle_endpoint,
        }
        self._stream = Stream(loop, pool, relay_address, self, STREAM_LIMITS)

    def move(self, relay_address: str) -> None:
        """Switch to the relay at another address."""
        self._stream.move(relay_address)

    def close(self) -> None:
        """Close the stream."""
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
        """Start reconciling the snapshot that follows with the known state."""
        self._counters.add("news_started")
        self._reconciliation = Reconciliation(self._loop.now())
        self._quiet_timer = self._loop.at(self._loop.now() + QUIET_NS, self._check_quiet)

    def on_stream_end(self, why: str) -> None:
        """Suspend orders until the snapshot of a new stream has been reconciled."""
        self._counters.record_fault("news_broken", why)
        self._emit_new_slice()
        self._reconciliation = None
        self._cancel_timers()
        self._orders.suspend()

    def on_stream_line(self, line: bytes) -> None:
        """Process one update; one that parses but is invalid is skipped."""
        if not line.strip():
            return
        try:
            message = object_value(parse_json(line))
        except MalformedError as err:  # the update is lost: reconnect for a new snapshot
            self._counters.record_fault("news_unreadable", err)
            self._stream.drop("unreadable")
            return
        kind = message.get("type")
        if kind != "entry":
            self._emit_new_slice()
        try:
            if message:
                self._handle(kind, object_value(message.get("object")))
            else:  # keep-alives are sent only after the snapshot
                self._reconcile()
        except MalformedError as err:
            self._counters.record_fault("news_skipped", err)

    # Reconciliation.

    def _check_quiet(self) -> None:
        if self._reconciliation is not None:
            quiet = self._loop.now() - self._reconciliation.last_received_at >= QUIET_NS
            if quiet and not self._reconciliation.empty:
                self._reconcile()
            else:
                self._quiet_timer = self._loop.at(self._loop.now() + QUIET_NS, self._check_quiet)

    def _reconcile(self) -> None:
        """Finish the reconciliation, if one is in progress: the snapshot is complete."""
        reconciliation, self._reconciliation = self._reconciliation, None
        if reconciliation is None:
            return
        self._emit_new_slice()
        for proxy in [proxy for proxy in self._applied if proxy not in reconciliation.proxies]:
            del self._applied[proxy]
            self._emit(ProxyLeft(proxy))
        for number in [number for number in self._owned if number not in reconciliation.slices]:
            self._remove_slice(number)
        for number, endpoints in reconciliation.slices.items():
            if endpoints is not None and not self._orders.matches_orders(number, endpoints):
                self._replace_slice(number, endpoints)
        known = [joined for joined in reconciliation.proxies.values() if joined]
        for joined in known:
            # The proxy may have reconnected unnoticed and missed orders that the store does not keep: the policy sends
            # the withdrawn nodes to a proxy that joins without being fresh (rule 3).
            self._emit(joined)
        self._orders.resume()
        self._orders.request_lost_acknowledgements([self._applied[joined.proxy] for joined in known])

    def _replace_slice(self, number: int, endpoints: Mapping[int, float]) -> None:
        """Report a slice that has had another owner as revoked and assigned again."""
        self._counters.add("slices_given_anew")
        self._remove_slice(number)
        self._add_slice(number)
        for node, weight in endpoints.items():
            self._store_endpoint(number, node, weight)
        self._emit_new_slice()

    # Events.

    def _emit(self, event: Event) -> None:
        self._counters.add(COUNTER_NAMES[type(event)])
        self._on_event(event)

    def _add_slice(self, number: int) -> None:
        """Record a newly assigned slice; its event is delayed until its endpoints have arrived.

        The endpoints may arrive in a later read, and the policy would place a slice that seems to have none.
        """
        self._owned[number] = None
        self._orders.slice_assigned(number)
        self._new_slice = [SliceOwnership(number, True)]
        self._new_slice_timer = self._loop.at(self._loop.now() + QUIET_NS, self._emit_new_slice)

    def _emit_new_slice(self) -> None:
        """Emit the newly assigned slice with its endpoints, if there is one."""
        if self._new_slice:
            if self._new_slice_timer:
                self._new_slice_timer.cancel()
            events, self._new_slice = self._new_slice, []
            for event in events:
                self._emit(event)

    def _remove_slice(self, number: int) -> None:
        self._owned.pop(number, None)
        self._orders.slice_revoked(number)
        self._emit(SliceOwnership(number, False))

    def _store_endpoint(self, number: int, node: int, weight: float) -> None:
        self._orders.endpoint_stored(number, node, weight)
        event = EndpointStored(number, node, weight)
        if self._new_slice and self._new_slice[0].slice == number:
            self._new_slice.append(event)
        else:
            self._emit(event)

    # Updates, by type.

    def _handle(self, kind: object, fields: Mapping[str, object]) -> None:
        """Process one update by its type."""
        if kind in ("done", "detach") or (kind == "owner" and fields.get("set") is False):
            self._reconcile()  # these updates are never part of a snapshot
        if self._reconciliation:
            self._reconciliation.last_received_at, self._reconciliation.empty = self._loop.now(), False
        reader = self._readers.get(kind) if isinstance(kind, str) else None
        if reader is None:
            raise MalformedError(f"unknown update type {text(kind)[:40]!r}")
        reader(fields)

    def _handle_joined_proxy(self, fields: Mapping[str, object]) -> None:
        proxy = read_below(fields.get("node"), self._proxies)
        zone, ops_per_s = self._ids.zone(fields.get("locality")), non_negative(fields.get("w"))
        fresh, reconciliation = boolean(fields.get("cold")), self._reconciliation
        if reconciliation and proxy in self._applied:
            reconciliation.proxies[proxy] = ProxyJoined(proxy, zone, ops_per_s, False)
            return
        if reconciliation:
            reconciliation.proxies[proxy] = None
        elif proxy in self._applied:  # its earlier stream has ended, and everything in transit on it is lost
            self._emit(ProxyLeft(proxy))
        self._applied[proxy] = NOTHING_APPLIED
        self._emit(ProxyJoined(proxy, zone, ops_per_s, fresh))

    def _handle_left_proxy(self, fields: Mapping[str, object]) -> None:
        proxy = read_below(fields.get("node"), self._proxies)
        if self._applied.pop(proxy, None) is not None:
            self._emit(ProxyLeft(proxy))

    def _handle_acknowledgement(self, fields: Mapping[str, object]) -> None:
        proxy, stamp = read_below(fields.get("node"), self._proxies), non_negative_int(fields.get("nonce"))
        watermark = self._orders.watermark_of(stamp)
        self._orders.stamp_acknowledged(stamp)
        # A retried call carries its stamp twice; the second acknowledgement is ignored.
        if self._applied.get(proxy, watermark) != watermark:
            self._applied[proxy] = watermark
            self._emit(WatermarkAcknowledged(proxy, watermark, duration_from_ms(fields.get("latency"))))

    def _handle_ownership(self, fields: Mapping[str, object]) -> None:
        number, owned = read_below(fields.get("shard"), self._slices), boolean(fields.get("set"))
        known, reconciliation = number in self._owned, self._reconciliation
        if owned and reconciliation:
            reconciliation.slices[number] = {} if known else None
        if owned and not (reconciliation and known):
            self._add_slice(number)
        elif not owned and known:
            self._remove_slice(number)

    def _handle_endpoint(self, fields: Mapping[str, object]) -> None:
        number, weight = read_below(fields.get("shard"), self._slices), non_negative(fields.get("w"))
        if number not in self._owned:
            raise MalformedError(f"an endpoint of slice {number}, which this assigner does not own")
        node, reconciliation = self._ids.node(fields.get("endpoint")), self._reconciliation
        endpoints = reconciliation.slices.get(number) if reconciliation else None
        if endpoints is not None:
            endpoints[node] = weight
        else:
            self._store_endpoint(number, node, weight)


def read_below(value: object, limit: int) -> int:
    """Parse an integer from 0 to below `limit`."""
    number = non_negative_int(value)
    if number >= limit:
        raise MalformedError(f"got {number}, expected a number below {limit}")
    return number
