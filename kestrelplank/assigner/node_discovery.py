"""The node list: first the one cached in the configuration, then a watch on the discovery agent of this machine.

The agent regards what it has written as received, even on a connection that has silently died. So the agent is also
polled for its version, and a watch that lags behind is replaced.
"""

from collections.abc import Callable, Mapping

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import (
    NS_PER_MS,
    Ids,
    MalformedError,
    boolean,
    duration_from_ms,
    list_value,
    non_negative,
    non_negative_int,
    object_value,
    one_of,
    parse_json,
)
from kestrelplank.interface import Event, NodeCondition, NodeEntry, NodeListKind, NodeListUpdate
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.http import DIAL_TIMEOUT_NS, Client, Stream, StreamLimits
from kestrelplank.sockets.loop import Loop, Timer

PATH = "/v1/endpoints"
read_condition = one_of(
    {
        "in_service": NodeCondition.UP,
        "terminating": NodeCondition.DRAINING,
        "terminated": NodeCondition.REMOVED,
    }
)
HTTP_OK = 200
MAX_LIST_BYTES = 1 << 23
WATCH_LIMITS = StreamLimits(
    idle_timeout_ns=2600 * NS_PER_MS,  # the agent sends an empty line every 2 s
    initial_backoff_ns=20 * NS_PER_MS,
    max_backoff_ns=500 * NS_PER_MS,
    max_line_bytes=MAX_LIST_BYTES,
)
POLL_INTERVAL_NS = 400 * NS_PER_MS  # leaves an order one second to arrive within the shortest deadline
ANSWER_TIMEOUT_NS = 300 * NS_PER_MS


class NodeDiscovery:
    """Follows the node list; a watch resumes after the newest version that was read.

    :ivar addresses: address of each listed node, by index.
    """

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        agent_address: str,
        ids: Ids,
        on_event: Callable[[Event], None],
    ) -> None:
        self._loop, self._pool, self._counters, self._ids = loop, pool, counters, ids
        self._address, self._on_event = agent_address, on_event
        self.addresses: dict[int, str] = {}
        self._version = 0
        self._list_received = False  # from the agent, as opposed to the cached list
        self._client = Client(loop, pool, agent_address, self, DIAL_TIMEOUT_NS, MAX_LIST_BYTES)
        self._fetch_requested = False
        self._watch: Stream | None = None
        self._poll_timer: Timer | None = None

    def start(self, cached: object) -> None:
        """Emit the cached list, then watch for changes since that version."""
        if cached is not None:
            try:
                self._process_list(object_value(cached), NodeListKind.CACHED)
            except MalformedError as err:
                self._counters.record_fault("lists_skipped", err)
        self._watch = Stream(self._loop, self._pool, self._address, self, WATCH_LIMITS)
        self._poll()

    def move(self, agent_address: str) -> None:
        """Switch to the agent at another address."""
        self._client.move(agent_address)
        if self._watch:
            self._watch.move(agent_address)

    def forget(self, node: int) -> None:
        """Remove a node's address."""
        self.addresses.pop(node, None)

    def fetch(self) -> None:
        """Request the complete list."""
        self._fetch_requested = True
        self._request_list()

    def close(self) -> None:
        """Stop watching and polling."""
        if self._poll_timer:
            self._poll_timer.cancel()
        self._client.close()
        if self._watch:
            self._watch.close()

    # Polling.

    def _poll(self) -> None:
        self._request_list()
        self._poll_timer = self._loop.at(self._loop.now() + POLL_INTERVAL_NS, self._poll)

    def _request_list(self) -> None:
        if not self._client.busy:
            self._client.call("GET", PATH, b"", ANSWER_TIMEOUT_NS)

    def on_answer(self, status: int, body: bytes) -> None:
        """Process the response to a poll."""
        try:
            if status != HTTP_OK:
                raise MalformedError(f"status {status}")
            self._process_answer(object_value(parse_json(body)))
        except MalformedError as err:
            self.on_failure(str(err))

    def _process_answer(self, message: Mapping[str, object]) -> None:
        """Emit the agent's list if a fetch was requested; otherwise only compare its version with the watch's."""
        versions_ahead = non_negative_int(message.get("generation")) - self._version
        if self._fetch_requested:
            self._process_list(message, None)
            self._fetch_requested = False
        elif not versions_ahead and not self._list_received:
            # The watch will send no change: the cached list is current.
            self._process_list({**message, "reset": False, "instances": []}, None)
        elif versions_ahead > 0 and self._watch:
            self._counters.add("watches_behind")
            self._watch.drop("the watch lags behind the agent")

    def on_failure(self, why: str) -> None:
        """Record a failed poll, and report a failed list if a fetch was requested."""
        self._counters.record_fault("lists_broken", why)
        if self._fetch_requested:
            self._fetch_requested = False
            self._on_event(NodeListUpdate(NodeListKind.FAILED, ()))

    # Watching.

    def stream_path(self) -> str:
        """Return the path that requests the changes since the newest version."""
        return f"{PATH}?follow=1&since={self._version}"

    def on_stream_start(self) -> None:
        """Do nothing: the lines of the stream are sufficient."""

    def on_stream_end(self, why: str) -> None:
        """Record that the watch has ended; the stream reconnects by itself."""
        self._counters.record_fault("discovery_broken", why)

    def on_stream_line(self, line: bytes) -> None:
        """Process a change of the list."""
        if not line.strip():
            return
        try:
            self._process_list(object_value(parse_json(line)), None)
        except MalformedError as err:  # later changes would build on a lost one: reconnect to receive it again
            self._counters.record_fault("lists_skipped", err)
            if self._watch:
                self._watch.drop("unreadable")

    # Lists.

    def _process_list(self, message: Mapping[str, object], kind: NodeListKind | None) -> None:
        """Emit the list of a message as an event; if `kind` is None, the message states whether it is complete."""
        instances, version = list_value(message.get("instances")), non_negative_int(message.get("generation"))
        if kind is None:
            kind = NodeListKind.FULL if boolean(message.get("reset")) else NodeListKind.DELTA
        entries = []
        for instance in instances:
            try:
                entries.append(self._read_entry(object_value(instance)))
            except MalformedError as err:  # the other entries remain valid
                self._counters.record_fault("entries_skipped", err)
        self._version, self._list_received = version, kind is not NodeListKind.CACHED
        self._counters.add("lists_in")
        self._on_event(NodeListUpdate(kind, entries))

    def _read_entry(self, instance: Mapping[str, object]) -> NodeEntry:
        """Parse one entry of a list, and store the node's address."""
        condition = read_condition(instance.get("lifecycle"))
        zone, cell = instance.get("zone"), instance.get("cell")
        weight, started, address = instance.get("weight"), instance.get("startedAtMs"), instance.get("hostPort")
        entry = NodeEntry(
            node=self._ids.node(instance.get("instanceId")),
            condition=condition,
            zone=None if zone is None else self._ids.zone(zone),
            cell=None if cell is None else non_negative_int(cell),
            weight=1.0 if weight is None else non_negative(weight),
            started_at=self._loop.from_unix(duration_from_ms(started)) if started else None,
        )
        if isinstance(address, str):
            self.addresses[entry.node] = address
        return entry
