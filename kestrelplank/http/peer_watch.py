"""Watches a connection whose peer leaves bytes unread: it is kept if the peer reads late, and ended if it is gone."""

import asyncio
import time
from collections.abc import Callable

from kestrelplank.http.socket_options import set_user_timeout
from kestrelplank.http.tcp_info import TcpInfo, has_unsent_bytes, read_tcp_info
from kestrelplank.http.unread_bytes import USER_TIMEOUT_NS, PeerState, UnreadBytes

FIRST_CHECK_S = 0.25  # after a write: before the kernel can end the connection by `USER_TIMEOUT_NS`
CHECK_INTERVAL_S = 0.1
MIN_WATCHED_BYTES = 1024  # fewer fit into any receive window


class PeerWatch:
    """The watch over one connection, which checks its peer only while bytes are outstanding.

    Where the system doesn't tell what the peer has acknowledged, the user time-out is never extended.

    :param end_unreachable: called once if the peer is unreachable, to end the connection.
    """

    def __init__(self, transport: asyncio.WriteTransport, end_unreachable: Callable[[], None]) -> None:
        self._transport, self._end_unreachable = transport, end_unreachable
        self._socket = transport.get_extra_info("socket")
        self._unread = UnreadBytes()
        self._user_timeout_ns = USER_TIMEOUT_NS  # as set at the socket
        self._unwatched_bytes = 0  # written since the last check
        self._timer: asyncio.TimerHandle | None = None  # of the next check; None: nothing is outstanding
        self._all_read = asyncio.Event()
        self._on_stall: Callable[[], None] | None = None

    def written(self, size_bytes: int) -> None:
        """Start the checks, once more bytes were written than any receive window holds."""
        self._unwatched_bytes += size_bytes
        if self._timer is None and self._unwatched_bytes >= MIN_WATCHED_BYTES:
            self._unread.written(time.monotonic_ns())
            self._all_read.clear()
            self._set_timer(FIRST_CHECK_S)

    def stop(self) -> None:
        """End the watch, as the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._all_read.set()

    def has_unsent_bytes(self) -> bool:
        """Whether bytes wait, here or in the kernel, for the peer to read."""
        return self._timer is not None and has_unsent_bytes(self._transport)

    async def wait_until_read(self) -> None:
        """Wait until the peer has acknowledged all bytes, or the connection has ended."""
        if self._timer is not None:
            await self._all_read.wait()

    def is_stalled(self, now: int) -> bool:
        """Whether bytes wait for the peer, which has taken none for `unread_bytes.STALL_NS`."""
        return self._timer is not None and self._unread.is_stalled(now)

    def call_on_stall(self, callback: Callable[[], None] | None) -> None:
        """Set what is called, once, at the first check that finds the peer stalled; None: nothing."""
        self._on_stall = callback

    def _set_timer(self, delay_s: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._check)

    def _check(self) -> None:
        """Check the peer, and set the timer again while bytes are outstanding."""
        self._timer = None
        now = time.monotonic_ns()
        state = self._check_peer(now, read_tcp_info(self._socket))
        if state is PeerState.UNREACHABLE:
            self._end_unreachable()
        elif state is not PeerState.UP_TO_DATE or self._transport.get_write_buffer_size():
            self._unread.written(now)  # what the transport had kept may be outstanding by the next check
            self._set_timer(CHECK_INTERVAL_S)
            self._report_stall(now)
        else:
            self._unwatched_bytes = 0
            self._all_read.set()

    def _check_peer(self, now: int, info: TcpInfo | None) -> PeerState:
        """Return the peer's state, and give the kernel the time-out that belongs to it."""
        if info is None:
            self._unread.forget()
            return PeerState.UP_TO_DATE
        state = self._unread.check(now, info)
        if self._unread.user_timeout_ns != self._user_timeout_ns:
            self._user_timeout_ns = self._unread.user_timeout_ns
            set_user_timeout(self._socket, self._user_timeout_ns)
        return state

    def _report_stall(self, now: int) -> None:
        if self._on_stall is not None and self._unread.is_stalled(now):
            callback, self._on_stall = self._on_stall, None
            callback()
