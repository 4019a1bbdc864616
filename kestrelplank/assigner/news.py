"""The relay's news: which proxies have joined, which slices are ours, what the store holds, what is applied.

A new stream first tells all that stands. What is new in it is told to the module at once; what is known is
held against it once all has been told: proxies not named are gone, slices not named are taken back, and a
slice whose lines are not those that we ordered has passed through other hands.
"""

from collections.abc import Callable
from typing import Any

from kestrelplank.assigner.counters import Counters
from kestrelplank.assigner.orders import Orders
from kestrelplank.decode import NS_PER_MS, Ids, Malformed, count, flag, mapping, parsed, text, time, whole
from kestrelplank.interface import EndpointStored, Event, ProxyJoined, ProxyLeft, SliceOwnership, WatermarkAcknowledged
from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.http import DIAL, Stream
from kestrelplank.sockets.loop import Loop

PATH = "/api/stream"
SILENCE = 1600 * NS_PER_MS  # a sign of life comes each second
PAUSES = 10 * NS_PER_MS, 250 * NS_PER_MS
MOST_LINE = 1 << 20
QUIET = 150 * NS_PER_MS  # ends what stands, or a slice's lines: nothing else marks it, and they come in one burst

COUNTER_NAMES: dict[type[Event], str] = {
    ProxyJoined: "joined_in",
    ProxyLeft: "left_in",
    WatermarkAcknowledged: "applied_in",
    SliceOwnership: "tenure_in",
    EndpointStored: "line_in",
}


class Picture:
    """What a new stream has named so far of what we knew."""

    def __init__(self, now: int) -> None:
        self.proxies: dict[int, ProxyJoined | None] = {}  # proxy to how it joined; without that where it is new
        self.slices: dict[int, dict[int, float] | None] = {}  # slice to its lines; None where it is new
        self.heard_at, self.empty = now, True


class News:
    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        counters: Counters,
        to: str,
        ids: Ids,
        proxies: int,
        slices: int,
        orders: Orders,
        on_event: Callable[[Event], None],
    ) -> None:
        self._loop, self._counters, self._ids, self._on_event = loop, counters, ids, on_event
        self._proxies, self._slices, self._orders = proxies, slices, orders
        self._joined: dict[int, int] = {}  # proxy to the last mark it was told to have applied
        self._held: dict[int, bool] = {}  # slices in our charge
        self._picture: Picture | None = None
        self._giving: list[SliceOwnership | EndpointStored] = []  # a slice given, and its lines so far
        self._timer = self._given = None
        self._stream = Stream(
            loop, pool, to, lambda: PATH, self.take, self.start, self.end, DIAL, SILENCE, PAUSES, MOST_LINE
        )

    def move(self, to: str) -> None:
        self._stream.move(to)

    def close(self) -> None:
        self._cancel()
        self._stream.close()

    def _cancel(self) -> None:
        for timer in (self._timer, self._given):
            if timer:
                timer.cancel()

    # The stream's callbacks.

    def start(self) -> None:
        self._counters.add("news_started")
        self._picture = Picture(self._loop.now())
        self._timer = self._loop.at(self._loop.now() + QUIET, self._listen)

    def end(self, why: str) -> None:
        self._counters.trouble("news_broken", why)
        self._tell_given()
        self._picture = None
        self._cancel()
        self._orders.hold(True)

    def take(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            message = mapping(parsed(line))
        except Malformed as err:  # whatever it told is lost: what stands must be told anew
            self._counters.trouble("news_unreadable", err)
            self._stream.drop("unreadable")
            return
        kind = message.get("type")
        if kind != "entry":
            self._tell_given()
        try:
            if message:
                self._take(kind, mapping(message.get("object")))
            else:
                self._whole()
        except Malformed as err:
            self._counters.trouble("news_skipped", err)

    def _listen(self) -> None:
        if self._picture is not None:
            quiet = self._loop.now() - self._picture.heard_at >= QUIET
            if quiet and not self._picture.empty:
                self._whole()
            else:
                self._timer = self._loop.at(self._loop.now() + QUIET, self._listen)

    def _whole(self) -> None:
        """All that stands has been told."""
        picture, self._picture = self._picture, None
        if picture is None:
            return
        self._tell_given()
        for proxy in [proxy for proxy in self._joined if proxy not in picture.proxies]:
            del self._joined[proxy]
            self._tell(ProxyLeft(proxy))
        for number in [number for number in self._held if number not in picture.slices]:
            self._take_back(number)
        for number, lines in picture.slices.items():
            if lines is not None and not self._orders.agrees(number, lines):
                self._counters.add("slices_given_anew")
                self._take_back(number)
                self._give(number)
                for node, weight in lines.items():
                    self._line(number, node, weight)
                self._tell_given()
        known = [event for event in picture.proxies.values() if event]
        for event in known:
            # It may have lost its stream and dialled again while we heard nothing, and have missed orders that
            # no store keeps: the module tells a proxy that joins, if not afresh, what is withdrawn (rule 3).
            self._tell(event)
        self._orders.hold(False)
        self._orders.ask_again([self._joined[event.proxy] for event in known])

    # The lines.

    def _tell(self, event: Event) -> None:
        self._counters.add(COUNTER_NAMES[type(event)])
        self._on_event(event)

    def _give(self, number: int) -> None:
        """Told when its lines have come: bytes may come in pieces, and the module would find lines for a slice
        that looks bare."""
        self._held[number] = True
        self._orders.given(number)
        self._giving = [SliceOwnership(number, True)]
        self._given = self._loop.at(self._loop.now() + QUIET, self._tell_given)

    def _tell_given(self) -> None:
        if self._giving:
            self._given.cancel()
            giving, self._giving = self._giving, []
            for event in giving:
                self._tell(event)

    def _take_back(self, number: int) -> None:
        self._held.pop(number, None)
        self._orders.taken_back(number)
        self._tell(SliceOwnership(number, False))

    def _line(self, number: int, node: int, weight: float) -> None:
        self._orders.stands(number, node, weight)
        if self._giving and self._giving[0].slice == number:
            self._giving.append(EndpointStored(number, node, weight))
        else:
            self._tell(EndpointStored(number, node, weight))

    def _below(self, value: Any, most: int) -> int:
        if whole(value) >= most:
            raise Malformed(f"{value} is not below {most}")
        return value

    def _take(self, kind: Any, fields: dict) -> None:
        if kind in ("done", "detach") or kind == "owner" and fields.get("set") is False:
            self._whole()  # these are never part of what stands
        picture = self._picture
        if picture:
            picture.heard_at, picture.empty = self._loop.now(), False
        if kind == "attach":
            proxy = self._below(fields.get("node"), self._proxies)
            zone, rate = self._ids.zone(fields.get("locality")), count(fields.get("w"))
            fresh = flag(fields.get("cold"))
            if picture and proxy in self._joined:
                picture.proxies[proxy] = ProxyJoined(proxy, zone, rate, False)
                return
            if picture:
                picture.proxies[proxy] = None
            elif proxy in self._joined:  # its earlier stream has ended, with all that was on its way there
                self._tell(ProxyLeft(proxy))
            self._joined[proxy] = -1
            self._tell(ProxyJoined(proxy, zone, rate, fresh))
        elif kind == "detach":
            proxy = self._below(fields.get("node"), self._proxies)
            if self._joined.pop(proxy, None) is not None:
                self._tell(ProxyLeft(proxy))
        elif kind == "done":
            proxy = self._below(fields.get("node"), self._proxies)
            stamp = whole(fields.get("nonce"))
            mark = self._orders.marked(stamp)
            self._orders.proved(stamp)
            # A call that was sent again puts its mark into two messages; the second answer would count twice.
            if self._joined.get(proxy, mark) != mark:
                self._joined[proxy] = mark
                self._tell(WatermarkAcknowledged(proxy, mark, time(fields.get("latency"))))
        elif kind == "owner":
            number, held = self._below(fields.get("shard"), self._slices), flag(fields.get("set"))
            if held and picture:
                picture.slices[number] = {} if number in self._held else None
            if held and not (picture and number in self._held):
                self._give(number)
            elif not held and number in self._held:
                self._take_back(number)
        elif kind == "entry":
            number, weight = self._below(fields.get("shard"), self._slices), count(fields.get("w"))
            if number not in self._held:
                raise Malformed(f"a line of slice {number}, which is not ours")
            node = self._ids.node(fields.get("endpoint"))
            if picture and picture.slices.get(number) is not None:
                picture.slices[number][node] = weight
            else:
                self._line(number, node, weight)
        else:
            raise Malformed(f"no news is called {text(kind)[:40]!r}")
