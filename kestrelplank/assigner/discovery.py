"""The node list: what the configuration remembers, then a watch on the agent of our own machine.

What the agent has written counts as told to us, also on a connection that has silently died. So it is asked now
and then what it has, which costs nothing, and a watch that lies behind is replaced.
"""

from collections.abc import Callable
from typing import Any

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import NS_PER_MS, Ids, Malformed, count, flag, listed, mapping, parsed, time, whole, word
from kestrelplank.interface import Event, NodeEntry, NodeListKind, NodeListUpdate
from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.http import DIAL, Client, Stream
from kestrelplank.sockets.loop import Loop

PATH = "/v1/endpoints"
CONDITION = word({"in_service": "up", "terminating": "draining", "terminated": "removed"})
SILENCE = 2600 * NS_PER_MS  # an empty line comes every 2 s
PAUSES = 20 * NS_PER_MS, 500 * NS_PER_MS
MOST_LIST = 1 << 23
POLL = 400 * NS_PER_MS  # the shortest grace leaves a second for an order to be made and to arrive
ANSWERS_WITHIN = 300 * NS_PER_MS


class Discovery:
    """`addresses` holds where each listed node is reached. The watch goes on from the newest list we have."""

    def __init__(
        self, loop: Loop, pool: Pool, counters: Counters, at: str, ids: Ids, on_event: Callable[[Event], None]
    ) -> None:
        self._loop, self._counters, self._ids, self._on_event = loop, counters, ids, on_event
        self._version, self.addresses = 0, {}
        self._pool, self._at, self._stream = pool, at, None
        self._whole, self._asked, self._timer = Client(loop, pool, at, self, DIAL, MOST_LIST), False, None
        self._listed = False  # anything but what was known

    def start(self, known: Any) -> None:
        """What was known last comes first, and then what the agent says has changed since."""
        if known is not None:
            try:
                self._take(mapping(known), "cached")
            except Malformed as err:
                self._counters.trouble("lists_skipped", err)
        self._stream = Stream(
            self._loop,
            self._pool,
            self._at,
            lambda: f"{PATH}?follow=1&since={self._version}",
            self._line,
            lambda: None,
            lambda why: self._counters.trouble("discovery_broken", why),
            DIAL,
            SILENCE,
            PAUSES,
            MOST_LIST,
        )
        self._poll()

    def move(self, at: str) -> None:
        self._whole.move(at)
        self._stream.move(at)

    def forget(self, node: int) -> None:
        self.addresses.pop(node, None)

    def fetch(self) -> None:
        self._asked = True
        self._ask()

    def _ask(self) -> None:
        if not self._whole.busy:
            self._whole.call("GET", PATH, b"", ANSWERS_WITHIN)

    def _poll(self) -> None:
        self._ask()
        self._timer = self._loop.at(self._loop.now() + POLL, self._poll)

    def on_answer(self, status: int, body: bytes) -> None:
        try:
            if status != 200:
                raise Malformed(f"status {status}")
            message = mapping(parsed(body))
            ahead = whole(message.get("generation")) - self._version
            if self._asked:
                self._take(message, None)
                self._asked = False
            elif not ahead and not self._listed:  # the watch has nothing to say: what was known is the list
                self._take(message | {"reset": False, "instances": []}, None)
            elif ahead > 0:
                self._counters.add("watches_behind")
                self._stream.drop("lies behind")
        except Malformed as err:
            self.on_broken(str(err))

    def on_broken(self, why: str) -> None:
        self._counters.trouble("lists_broken", why)
        if self._asked:
            self._asked = False
            self._on_event(NodeListUpdate(NodeListKind.FAILED, ()))

    def close(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._whole.close()
        if self._stream:
            self._stream.close()

    def _line(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            self._take(mapping(parsed(line)), None)
        except Malformed as err:  # the next would go on from changes that are lost: they must be told anew
            self._counters.trouble("lists_skipped", err)
            self._stream.drop("unreadable")

    def _take(self, message: dict, how: str | None) -> None:
        instances, version = listed(message.get("instances")), whole(message.get("generation"))
        how = how or ("full" if flag(message.get("reset")) else "delta")
        entries = []
        for instance in instances:
            try:
                entries.append(self._entry(mapping(instance)))
            except Malformed as err:  # the others still stand
                self._counters.trouble("entries_skipped", err)
        self._version, self._listed = version, how != "cached"
        self._counters.add("lists_in")
        self._on_event(NodeListUpdate(how, entries))

    def _entry(self, instance: dict) -> NodeEntry:
        condition = CONDITION(instance.get("lifecycle"))
        zone, cell = instance.get("zone"), instance.get("cell")
        weight, started = instance.get("weight"), instance.get("startedAtMs")
        entry = NodeEntry(
            self._ids.node(instance.get("instanceId")),
            condition,
            None if zone is None else self._ids.zone(zone),
            None if cell is None else whole(cell),
            1.0 if weight is None else count(weight),
            self._loop.from_unix(time(started)) if started else None,
        )
        if isinstance(instance.get("hostPort"), str):
            self.addresses[entry.node] = instance["hostPort"]
        return entry
