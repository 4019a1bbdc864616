"""The node list: what the configuration remembers, then a watch on the agent of our own machine.

What the agent has written counts as received by us, also on a connection that has silently died. So the agent is polled
for its version, which costs nothing, and a watch that lags behind is replaced.
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
MOST_LIST_BYTES = 1 << 23
WATCH_LIMITS = StreamLimits(
    idle_timeout_ns=2600 * NS_PER_MS,  # an empty line comes every 2 s
    initial_backoff_ns=20 * NS_PER_MS,
    max_backoff_ns=500 * NS_PER_MS,
    max_line_bytes=MOST_LIST_BYTES,
)
POLL_INTERVAL_NS = 400 * NS_PER_MS  # so an order still has a second to arrive within the shortest deadline
ANSWER_TIMEOUT_NS = 300 * NS_PER_MS


class NodeDiscovery:
    """Follows the node list. `addresses` holds where each listed node is reached, by index.

    The watch goes on from the newest version that was read.
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
        self._list_received = False  # anything but what was remembered
        self._client = Client(loop, pool, agent_address, self, DIAL_TIMEOUT_NS, MOST_LIST_BYTES)
        self._fetch_wanted = False
        self._watch: Stream | None = None
        self._poll_timer: Timer | None = None

    def start(self, remembered: object) -> None:
        """Take the list that is remembered, then watch what the agent says has changed since."""
        if remembered is not None:
            try:
                self._take(object_value(remembered), NodeListKind.CACHED)
            except MalformedError as err:
                self._counters.record_fault("lists_skipped", err)
        self._watch = Stream(self._loop, self._pool, self._address, self, WATCH_LIMITS)
        self._poll()

    def move(self, agent_address: str) -> None:
        """Go to the agent at another address."""
        self._client.move(agent_address)
        if self._watch:
            self._watch.move(agent_address)

    def forget(self, node: int) -> None:
        """Release a node's address."""
        self.addresses.pop(node, None)

    def fetch(self) -> None:
        """Ask for the complete list."""
        self._fetch_wanted = True
        self._ask()

    def close(self) -> None:
        """End the watch and the poll."""
        if self._poll_timer:
            self._poll_timer.cancel()
        self._client.close()
        if self._watch:
            self._watch.close()

    # The poll.

    def _poll(self) -> None:
        self._ask()
        self._poll_timer = self._loop.at(self._loop.now() + POLL_INTERVAL_NS, self._poll)

    def _ask(self) -> None:
        if not self._client.busy:
            self._client.call("GET", PATH, b"", ANSWER_TIMEOUT_NS)

    def on_answer(self, status: int, body: bytes) -> None:
        """Handle the answer to a poll."""
        try:
            if status != HTTP_OK:
                raise MalformedError(f"status {status}")
            self._take_answer(object_value(parse_json(body)))
        except MalformedError as err:
            self.on_failure(str(err))

    def _take_answer(self, message: Mapping[str, object]) -> None:
        """Take the list that the agent has where a fetch asked for it, else only compare its version with ours."""
        versions_ahead = non_negative_int(message.get("generation")) - self._version
        if self._fetch_wanted:
            self._take(message, None)
            self._fetch_wanted = False
        elif not versions_ahead and not self._list_received:  # no change will come: the remembered list holds
            self._take({**message, "reset": False, "instances": []}, None)
        elif versions_ahead > 0 and self._watch:
            self._counters.add("watches_behind")
            self._watch.drop("lies behind")

    def on_failure(self, why: str) -> None:
        """Handle a failed poll."""
        self._counters.record_fault("lists_broken", why)
        if self._fetch_wanted:
            self._fetch_wanted = False
            self._on_event(NodeListUpdate(NodeListKind.FAILED, ()))

    # The watch.

    def stream_path(self) -> str:
        """Return the path that goes on from the newest version."""
        return f"{PATH}?follow=1&since={self._version}"

    def on_stream_start(self) -> None:
        """Do nothing: changes follow."""

    def on_stream_end(self, why: str) -> None:
        """Count that the watch has ended; it begins again by itself."""
        self._counters.record_fault("discovery_broken", why)

    def on_stream_line(self, line: bytes) -> None:
        """Handle a change of the list."""
        if not line.strip():
            return
        try:
            self._take(object_value(parse_json(line)), None)
        except MalformedError as err:  # the next would go on from changes that are lost: they must be sent again
            self._counters.record_fault("lists_skipped", err)
            if self._watch:
                self._watch.drop("unreadable")

    # Lists.

    def _take(self, message: Mapping[str, object], kind: NodeListKind | None) -> None:
        """Emit the list in a message as an event; where `kind` is None the message says which kind it is."""
        instances, version = list_value(message.get("instances")), non_negative_int(message.get("generation"))
        if kind is None:
            kind = NodeListKind.FULL if boolean(message.get("reset")) else NodeListKind.DELTA
        entries = []
        for instance in instances:
            try:
                entries.append(self._read_entry(object_value(instance)))
            except MalformedError as err:  # the others still hold
                self._counters.record_fault("entries_skipped", err)
        self._version, self._list_received = version, kind is not NodeListKind.CACHED
        self._counters.add("lists_in")
        self._on_event(NodeListUpdate(kind, entries))

    def _read_entry(self, instance: Mapping[str, object]) -> NodeEntry:
        """Return one entry of a list, and keep its address."""
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
