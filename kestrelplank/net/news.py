"""The relay's news: which proxies have joined, which slices are ours, what the store holds, what is applied.

A new stream first tells all that stands. What we know already is not told to the module again, and what a
broken stream could not tell is told then: proxies that are gone as `left`, slices not named as taken back.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from kestrelplank.decode import NS_PER_MS, Ids, Malformed, count, flag, text, time, whole
from kestrelplank.net.buffers import Pool
from kestrelplank.net.counters import Counters
from kestrelplank.net.http import Stream
from kestrelplank.net.loop import Loop

PATH = "/api/stream"
SILENCE = 1600 * NS_PER_MS  # a sign of life comes each second
DIAL = 250 * NS_PER_MS
PAUSES = 10 * NS_PER_MS, 250 * NS_PER_MS
MOST_LINE = 1 << 20


class News:
    def __init__(self, loop: Loop, pool: Pool, counters: Counters, to: str, ids: Ids, proxies: int, slices: int,
                 on_event: Callable[[tuple], None]) -> None:
        self._counters, self._ids, self._on_event = counters, ids, on_event
        self._proxies, self._slices = proxies, slices
        self._joined: dict[int, int] = {}  # proxy to the last mark it was told to have applied
        self._held: dict[int, bool] = {}  # slices in our charge
        self._named: tuple[set[int], set[int]] | None = None  # proxies and slices of a picture not yet whole
        self._stream = Stream(loop, pool, to, lambda: PATH, self._line, self._start, self._end, DIAL, SILENCE,
                              PAUSES, MOST_LINE)

    def close(self) -> None:
        self._stream.close()

    def _start(self) -> None:
        self._counters.add("news_started")
        self._named = set(), set()

    def _end(self, why: str) -> None:
        self._counters.trouble("news_broken", why)

    def _line(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            message = msgspec.json.decode(line)
            if not isinstance(message, dict):
                raise Malformed(f"expected an object, got {line[:60]!r}")
            if message:
                self._take(message.get("type"), message.get("object"))
            else:
                self._whole()
        except (Malformed, msgspec.DecodeError) as err:
            self._counters.trouble("news_skipped", err)

    def _whole(self) -> None:
        """All that stands has been told: what was not named is gone."""
        if self._named is None:
            return
        proxies, slices = self._named
        self._named = None
        for proxy in [proxy for proxy in self._joined if proxy not in proxies]:
            self._tell("left", proxy)
            del self._joined[proxy]
        for number in [number for number in self._held if number not in slices]:
            self._tell("tenure", number, False)
            del self._held[number]

    def _tell(self, word: str, *fields: Any) -> None:
        self._counters.add(word + "_in")
        self._on_event((word, *fields))

    def _below(self, value: Any, most: int) -> int:
        if whole(value) >= most:
            raise Malformed(f"{value} is not below {most}")
        return value

    def _take(self, kind: Any, fields: Any) -> None:
        if not isinstance(fields, dict):
            raise Malformed(f"{kind}: expected an object, got {fields!r}")
        if kind == "attach":
            proxy = self._below(fields.get("node"), self._proxies)
            event = proxy, self._ids.zone(fields.get("locality")), count(fields.get("w")), flag(fields.get("cold"))
            if self._named:
                self._named[0].add(proxy)
                if proxy in self._joined:
                    return
            self._joined[proxy] = -1
            self._tell("joined", *event)
        elif kind == "detach":
            proxy = self._below(fields.get("node"), self._proxies)
            if self._joined.pop(proxy, None) is not None:
                self._tell("left", proxy)
        elif kind == "done":
            proxy, mark = self._below(fields.get("node"), self._proxies), whole(fields.get("nonce"))
            # A call that was sent again puts its mark into two messages; the second answer would count twice.
            if self._joined.get(proxy, mark) != mark:
                self._joined[proxy] = mark
                self._tell("applied", proxy, mark, time(fields.get("latency")))
        elif kind == "owner":
            number, held = self._below(fields.get("shard"), self._slices), flag(fields.get("set"))
            if held and self._named:
                self._named[1].add(number)
            if held != (number in self._held):
                if held:
                    self._held[number] = True
                else:
                    del self._held[number]
                self._tell("tenure", number, held)
        elif kind == "entry":
            number = self._below(fields.get("shard"), self._slices)
            self._tell("line", number, self._ids.node(fields.get("endpoint")), count(fields.get("w")))
        else:
            raise Malformed(f"no news is called {text(kind)[:40]!r}")
