"""The proxy's client of its update source: receives table updates, acknowledges watermarks, and reports each second.

    GET /v1/tables?relay=17&zone=a          chunked, one JSON object a line, never ends
    POST /v1/done {"relay":17,"source":0,"mark":905}
    POST /v1/reports {"relay":17,"zone":"a","span":1000.0,"tries":[...],"heat":[...]}

A stream starts with the complete current state. A missing or unusable message ends the stream, and the next stream
sends the complete state again; what has been applied stays in force until then.
"""

from collections.abc import Callable
from typing import NamedTuple

from kestrelplank.decode import Ids, MalformedError
from kestrelplank.load_balancing.operations import Verdict
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.reference_proxy.table_messages import TableMessages
from kestrelplank.reference_proxy.update_posts import ACKNOWLEDGEMENT_PATH, REPORT_PATH, UpdatePosts
from kestrelplank.sockets.http import Stream, StreamLimits
from kestrelplank.state.sums import AttemptSum, OpSum
from kestrelplank.state.tables import Tables, UpdateRejectedError
from kestrelplank.time_units import MILLISECOND, SECOND

REPORT_INTERVAL_NS = 1 * SECOND
STREAM_LIMITS = StreamLimits(
    idle_timeout_ns=3 * SECOND,  # heartbeats arrive each second
    initial_backoff_ns=20 * MILLISECOND,
    max_backoff_ns=2 * SECOND,
    max_line_bytes=1 << 22,
)
NO_SOURCE = -1  # in reports: no assigner owns the table


class UpdateSourceSettings(NamedTuple):
    """The address of the update source, and this proxy's identity; `op_types` are names in the order of their index."""

    address: str
    proxy_number: int
    zone: str
    op_types: list[str]


class UpdateClient:
    """The client of one proxy.

    :param addresses: by node index; updated.
    :param on_tables_changed: called with the tables whose available nodes may have changed.
    :param on_node_zone: called with a node and its zone.
    """

    def __init__(
        self,
        io: ProxyIo,
        settings: UpdateSourceSettings,
        ids: Ids,
        tables: Tables,
        addresses: dict[int, str],
        on_tables_changed: Callable[[list[int]], None],
        on_node_zone: Callable[[int, int], None] = lambda _node, _zone: None,
    ) -> None:
        self._loop, self._counters, self._settings = io.loop, io.counters, settings
        self._ids, self._tables, self.addresses = ids, tables, addresses
        self._stream_began_at: int | None = None
        self._attempts: dict[tuple[int, int], AttemptSum] = {}  # by node and assigner
        self._ops: dict[tuple[int, int], OpSum] = {}  # by table and op type
        self._messages = TableMessages(ids, tables, addresses, on_tables_changed, on_node_zone, self._acknowledge)
        self._posts = UpdatePosts(io, settings.address)
        self._stream = Stream(io.loop, io.buffers, settings.address, self, STREAM_LIMITS)
        self._timer = io.loop.at(io.loop.now() + REPORT_INTERVAL_NS, self._report)

    def close(self) -> None:
        """Close the stream and the connection for posts."""
        self._timer.cancel()
        self._stream.close()
        self._posts.close()

    # The stream of table updates

    def stream_path(self) -> str:
        """Return the path of the stream's request."""
        return f"/v1/tables?relay={self._settings.proxy_number}&zone={self._settings.zone}"

    def on_stream_start(self) -> None:
        """Handle the start of a stream."""
        self._stream_began_at = self._loop.now()
        self._counters.add("tables_streams")

    def on_stream_end(self, why: str) -> None:
        """Handle the end of a stream; `Stream` reconnects by itself."""
        self._stream_began_at = None
        self._counters.record_fault("tables_broken", why)

    def on_stream_line(self, line: bytes) -> None:
        """Apply a message; an unusable one ends the stream."""
        if not line.strip():
            return
        try:
            if self._messages.apply(line):
                self._counters.add("tables_messages")
        except UpdateRejectedError as err:
            self._counters.record_fault("tables_refused", err)
            self._stream.drop("a message could not be applied")
        except MalformedError as err:
            self._counters.record_fault("tables_unreadable", err)
            self._stream.drop("a message could not be parsed")

    def _acknowledge(self, source: int, watermark: int) -> None:
        body = {"relay": self._settings.proxy_number, "source": source, "mark": watermark}
        self._posts.add(ACKNOWLEDGEMENT_PATH, body)

    # Reports

    def record_attempt(self, table: int, node: int, succeeded: bool, latency_ns: int) -> None:
        """Count an attempt for the next report."""
        source = self._tables.owner(table)
        key = node, NO_SOURCE if source is None else source
        self._attempts.setdefault(key, AttemptSum()).add(succeeded, latency_ns)

    def record_op(self, table: int, op_type: int, verdict: Verdict) -> None:
        """Count an op for the next report."""
        sums = self._ops.setdefault((table, op_type), OpSum())
        sums.count += 1
        sums.aborted += verdict is Verdict.ABORTED

    def _report(self) -> None:
        self._timer = self._loop.at(self._loop.now() + REPORT_INTERVAL_NS, self._report)
        attempts, self._attempts = self._attempts, {}
        ops, self._ops = self._ops, {}
        if not (attempts or ops) or self._stream_began_at is None:
            return
        names, op_types = self._ids.node_ids, self._settings.op_types
        attempt_rows = [
            [names[node], source, sums.count, sums.failed, (sums.mean_latency_ns() or 0.0) / MILLISECOND]
            for (node, source), sums in attempts.items()
        ]
        op_rows = [[table, op_types[op_type], op_sum.count, op_sum.aborted] for (table, op_type), op_sum in ops.items()]
        self._posts.add(
            REPORT_PATH,
            {
                "relay": self._settings.proxy_number,
                "zone": self._settings.zone,
                "span": REPORT_INTERVAL_NS / MILLISECOND,
                "tries": attempt_rows,
                "heat": op_rows,
            },
        )
