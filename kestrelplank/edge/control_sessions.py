"""Sessions of an edge with control members: one with each voter, reopened after it ends or times out."""

import asyncio
import time
from collections.abc import Callable
from random import Random

from kestrelplank.settings.platform import parse_address
from kestrelplank.time_units import MILLISECOND
from kestrelplank.transport.edge_view import SESSION_TIMEOUT_NS, EdgeView
from kestrelplank.transport.messages import LoadReport, ToEdge, ViewUpdate, decode_at_edge
from kestrelplank.transport.wire import FrameConnection, encode_frame
from kestrelplank.usage.counts_sender import CountsSender
from kestrelplank.usage.edge_usage import EdgeUsage
from kestrelplank.usage.messages import UsageCountsReply
from kestrelplank.wall_clock import wall_time_ns

CONNECT_TIMEOUT_S = 0.6
RECONNECT_INTERVAL_S = 0.25  # minimum delay before reconnecting; also the interval of `reconcile`
HEARTBEAT_INTERVAL_S = 0.4
LAST_COUNTS_DELAY_S = 0.1  # for the last counts to be sent before the sessions are closed


class ControlSessions:
    """All sessions of one edge.

    :param port: the port on which control members accept sessions.
    :param on_message: called with a member's address and each update of the view received from it.
    :param usage: None if usage is not reported.
    """

    def __init__(
        self,
        view: EdgeView,
        port: int,
        random: Random,
        on_message: Callable[[str, ViewUpdate], None],
        usage: EdgeUsage | None = None,
    ) -> None:
        self._view, self._port, self._random, self._on_message = view, port, random, on_message
        self._usage = usage
        self._counts_senders: dict[FrameConnection[ToEdge], CountsSender] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}  # by member address
        self._connections: dict[str, FrameConnection[ToEdge]] = {}  # by member address
        self._last_received_at: dict[FrameConnection[ToEdge], int] = {}  # monotonic time in ns

    # The set of sessions.

    async def reconcile_periodically(self) -> None:
        """Call `reconcile` every `RECONNECT_INTERVAL_S`: seed nodes are dialled too once all members are silent."""
        while True:
            await asyncio.sleep(RECONNECT_INTERVAL_S)
            self.reconcile()

    def reconcile(self) -> None:
        """Open and close sessions to match `EdgeView.addresses_to_dial`: the voters, or seed nodes that report them."""
        wanted = self._view.addresses_to_dial(time.monotonic_ns())
        for member in wanted:
            if member not in self._tasks:
                self._tasks[member] = asyncio.create_task(self._session(member))
        for member in [member for member in self._tasks if member not in wanted]:
            self._tasks.pop(member).cancel()

    async def send_last_counts(self) -> None:
        """Send all members the counts that they lack, as no request is forwarded any more."""
        if self._usage is None:
            return
        self._usage.counter.close()
        for connection in self._connections.values():
            connection.send(self._counts_frame(connection))
        await asyncio.sleep(LAST_COUNTS_DELAY_S)

    def close(self) -> None:
        """Close all sessions."""
        for task in self._tasks.values():
            task.cancel()

    # One session.

    async def _session(self, member: str) -> None:
        """Maintain a session with that member until cancelled: connect, send heartbeats, reconnect after a failure."""
        while True:
            connection = None
            try:
                connection = await self._connect(member)
                await self._send_heartbeats(connection)
            except (OSError, TimeoutError):
                pass  # not logged: `silent_ms` shows the failure, and the loop reconnects
            finally:
                if connection is not None:
                    self._discard(member, connection)
            await asyncio.sleep(RECONNECT_INTERVAL_S * (1 + self._random.random()))

    async def _connect(self, member: str) -> FrameConnection[ToEdge]:
        host = parse_address(member)[0]
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: FrameConnection[ToEdge](decode_at_edge, self._received, _ignore_connection_end),
                host,
                self._port,
            )
        connection.peer, self._connections[member] = member, connection
        if self._usage is not None:
            self._counts_senders[connection] = CountsSender(self._usage, member)
        self._last_received_at[connection] = time.monotonic_ns()
        return connection

    async def _send_heartbeats(self, connection: FrameConnection[ToEdge]) -> None:
        """Send heartbeats and changed counts, until the connection ends or times out."""
        while connection.is_open and not self._is_timed_out(time.monotonic_ns(), connection):
            heartbeat = encode_frame(self._view.heartbeat(time.monotonic_ns()))
            connection.send(heartbeat + self._counts_frame(connection))  # in one packet
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _is_timed_out(self, now: int, connection: FrameConnection[ToEdge]) -> bool:
        """Whether the member has been silent for too long, or leaves messages unread and is silent."""
        silent_ns = now - self._last_received_at[connection]
        return silent_ns >= SESSION_TIMEOUT_NS or connection.stands_still(now, silent_ns)

    def _received(self, connection: FrameConnection[ToEdge], message: ToEdge) -> None:
        now = self._last_received_at[connection] = time.monotonic_ns()
        if not isinstance(message, UsageCountsReply):
            self._on_message(connection.peer, message)
        elif connection in self._counts_senders:
            self._counts_senders[connection].handle_reply(now, message)

    def _counts_frame(self, connection: FrameConnection[ToEdge]) -> bytes:
        """Return the counts that changed since the last message on the connection, encoded; nothing without usage."""
        sender = self._counts_senders.get(connection)
        return b"" if sender is None else encode_frame(sender.next_message(time.monotonic_ns(), wall_time_ns()))

    def _discard(self, member: str, connection: FrameConnection[ToEdge]) -> None:
        connection.reset()
        self._last_received_at.pop(connection, None)
        self._counts_senders.pop(connection, None)
        if self._connections.get(member) is connection:
            del self._connections[member]

    # Called by the edge program.

    def send_report(self, member: str | None, report: LoadReport) -> None:
        """Send a load report to that member; it is dropped if there is no session with it."""
        connection = self._connections.get(member or "")
        if connection is not None:
            connection.send(report)

    def silent_ms(self) -> dict[str, int]:
        """Return the time since the last message of each connected member, in ms."""
        now = time.monotonic_ns()
        return {
            member: (now - self._last_received_at.get(connection, now)) // MILLISECOND
            for member, connection in self._connections.items()
        }


def _ignore_connection_end(connection: FrameConnection[ToEdge]) -> None:
    """Do nothing: the session's task checks `is_open`."""
