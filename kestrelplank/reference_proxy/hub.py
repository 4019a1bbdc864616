"""The relay's client of a hub: tables from a hub, answers to marks, and what it met, each second.

    GET /v1/tables?relay=17&zone=a          chunked, one JSON object a line, never ends
    POST /v1/done {"relay":17,"source":0,"mark":905}
    POST /v1/reports {"relay":17,"zone":"a","span":1000.0,"tries":[...],"heat":[...]}

A stream first tells all that stands. Messages of a conductor (`source`) are numbered from 0 on each stream; one that is
missing, or can't be used, ends the stream, and all is told anew: what was applied stays, whole, until then.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import Ids, Malformed, count, flag, listed, mapping, parsed, text, whole
from kestrelplank.load_balancing.operations import Verdict
from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.http import DIAL_TIMEOUT_NS, Client, Stream, StreamLimits
from kestrelplank.sockets.loop import Loop
from kestrelplank.state.sums import OpSum, TrySum
from kestrelplank.state.tables import Refused, Tables

MS = 1_000_000
SILENCE = 3_000 * MS  # a sign of life comes each second
PAUSES = 20 * MS, 2_000 * MS
MOST_LINE = 1 << 22
MOST_WAITING = 64  # posts; the oldest report goes first, answers to marks never
WITHIN = 500 * MS
PERIOD = 1_000 * MS


class HubClient:
    """`on_change(tables)` hears which tables have other open lines; `addresses` is kept up to date, by node."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        counters: Counters,
        hub: str,
        number: int,
        zone: str,
        ids: Ids,
        tables: Tables,
        op_types: list[str],
        addresses: dict[int, str],
        on_change: Callable[[list[int]], None],
        on_node: Callable[[int, int], None] = lambda *_: None,
    ) -> None:
        self._loop, self._counters, self._ids, self._tables = loop, counters, ids, tables
        self._number, self._zone, self._op_types = number, zone, op_types
        self.addresses, self._on_change, self._on_node = addresses, on_change, on_node
        self.joined_at: int | None = None
        self._posts: deque[tuple[str, bytes]] = deque()
        self._tries: dict[tuple[int, int], TrySum] = {}  # by node and conductor (-1: none)
        self._heat: dict[tuple[int, int], OpSum] = {}  # by table and op type
        self._client = Client(loop, pool, hub, self, DIAL_TIMEOUT_NS, 1 << 12)
        self._path = f"/v1/tables?relay={number}&zone={zone}"
        self._stream = Stream(loop, pool, hub, self, StreamLimits(SILENCE, *PAUSES, MOST_LINE))
        self._timer = loop.at(loop.now() + PERIOD, self._report)

    def close(self) -> None:
        self._timer.cancel()
        self._stream.close()
        self._client.close()

    # Tables.

    def stream_path(self) -> str:
        return self._path

    def on_stream_start(self) -> None:
        self.joined_at = self._loop.now()
        self._counters.add("tables_streams")

    def on_stream_end(self, why: str) -> None:
        self.joined_at = None
        self._counters.trouble("tables_broken", why)

    def on_stream_line(self, line: bytes) -> None:
        if not line.strip():
            return
        try:
            message = mapping(parsed(line))
            if message:
                self._take(message.get("type"), mapping(message.get("object")))
        except Refused as err:
            self._counters.trouble("tables_refused", err)
            self._stream.drop("a message that can't be applied")
        except Malformed as err:
            self._counters.trouble("tables_unreadable", err)
            self._stream.drop("unreadable")

    def _take(self, kind: Any, fields: dict) -> None:
        if kind == "node":
            node = self._ids.node(fields.get("name"))
            self.addresses[node] = text(fields.get("address"))
            if fields.get("zone") is not None:
                self._on_node(node, self._ids.zone(fields["zone"]))
        elif kind == "joined":
            self._tables.joined(whole(fields.get("source")))
        elif kind == "table":
            table = whole(fields.get("table"))
            if table >= self._tables.size:
                raise Malformed(f"no table has the number {table}")
            lines = {self._ids.node(name): count(weight) for name, weight in mapping(fields.get("lines")).items()}
            lines = {node: weight for node, weight in lines.items() if weight}
            self._tables.read(table, whole(fields.get("source")), lines)
            self._on_change([table])
        elif kind == "orders":
            source, number = whole(fields.get("source")), whole(fields.get("number"))
            orders = [self._order(order) for order in listed(fields.get("orders"))]
            changed, marks = self._tables.apply(source, number, orders)
            self._counters.add("tables_messages")
            if changed:
                self._on_change(changed)
            for mark in marks:
                self._post("/v1/done", {"relay": self._number, "source": source, "mark": mark})
        else:
            raise Malformed(f"nothing is called {str(kind)[:40]!r}")

    def _order(self, order: Any) -> tuple:
        word, *fields = listed(order) or [None]
        if word == "line" and len(fields) == 3:
            return word, whole(fields[0]), self._ids.node(fields[1]), count(fields[2])
        if word == "take_out" and len(fields) == 2:
            return word, self._ids.node(fields[0]), flag(fields[1])
        if word == "level" and len(fields) == 4:
            table = fields[0] if fields[0] == -1 else whole(fields[0])
            return word, table, whole(fields[1]), count(fields[2]), whole(fields[3])
        if word in ("clear", "mark") and len(fields) == 1:
            return word, whole(fields[0])
        raise Malformed(f"no order is {str(order)[:60]!r}")

    # What it met.

    def on_try(self, table: int, node: int, op_type: int, good: bool, time: int) -> None:
        source = self._tables.source(table)
        self._tries.setdefault((node, -1 if source is None else source), TrySum()).add(good, time)

    def on_op(self, table: int, op_type: int, verdict: str) -> None:
        sums = self._heat.setdefault((table, op_type), OpSum())
        sums.count += 1
        sums.aborted += verdict == Verdict.ABORTED

    def _report(self) -> None:
        self._timer = self._loop.at(self._loop.now() + PERIOD, self._report)
        tries, self._tries = self._tries, {}
        heat, self._heat = self._heat, {}
        if not (tries or heat) or self.joined_at is None:
            return
        names = self._ids.node_ids
        self._post(
            "/v1/reports",
            {
                "relay": self._number,
                "zone": self._zone,
                "span": PERIOD / MS,
                "tries": [
                    [names[node], source, sums.count, sums.failed, (sums.mean() or 0.0) / MS]
                    for (node, source), sums in tries.items()
                ],
                "heat": [
                    [table, self._op_types[op_type], sums.count, sums.aborted]
                    for (table, op_type), sums in heat.items()
                ],
            },
        )

    # Posts: one out, in order; a mark's answer is sent until it is taken, a report once.

    def _post(self, path: str, body: dict) -> None:
        self._posts.append((path, msgspec.json.encode(body)))
        while len(self._posts) > MOST_WAITING:
            old = next((post for post in self._posts if post[0] == "/v1/reports"), self._posts[0])
            self._posts.remove(old)
            self._counters.add("posts_dropped")
        self._next()

    def _next(self) -> None:
        if self._posts and not self._client.busy:
            path, body = self._posts[0]
            self._client.call("POST", path, body, WITHIN)

    def on_answer(self, status: int, body: bytes) -> None:
        self._posts.popleft()
        if status != 200:
            self._counters.trouble("posts_refused", f"status {status}")
        self._next()

    def on_broken(self, why: str) -> None:
        self._counters.trouble("posts_broken", why)
        if self._posts and self._posts[0][0] == "/v1/reports":
            self._posts.popleft()  # it may have been counted
        if self._posts:
            self._loop.at(self._loop.now() + PAUSES[0], self._next)
