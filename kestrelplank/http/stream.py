"""The network stream of an httpcore connection.

Unlike httpcore's own streams, it exposes the number of bytes sent and received, and unsolicited bytes.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import httpcore

from kestrelplank.http.peer_watch import PeerWatch
from kestrelplank.http.socket_options import has_unread_bytes, reset_on_close, set_connection_options


class Stream(httpcore.AsyncNetworkStream, asyncio.Protocol):
    """One TCP connection, closed only by `aclose` or `reset`, or by the kernel or `watch` if its peer is unreachable.

    `sent_bytes` and `received_bytes` count the bytes passed to the transport and received from it since `begin_call`.
    While `discards_writes` is set, writes are ignored, for `Connection.next_answer`.

    :param keeps_late_reader: whether the peer may read as late as it likes; otherwise bytes that it has not taken in
        the user time-out (`socket_options.set_connection_options`) are given up with the connection.
    """

    def __init__(self, keeps_late_reader: bool = True) -> None:
        self.transport: asyncio.Transport | None = None
        self.watch: PeerWatch | None = None  # None: not connected yet, or a late reader is not kept
        self._keeps_late_reader = keeps_late_reader
        self.buffer = bytearray()
        self.ended, self.discards_writes = False, False
        self.sent_bytes, self.received_bytes = 0, 0
        self.error: Exception | None = None  # why the connection was lost; None: still open, or ended in order
        self._reader: asyncio.Future[None] | None = None  # set while `read` waits for bytes
        self._writer: asyncio.Future[None] | None = None  # set while the transport's write buffer is full

    def begin_call(self) -> None:
        """Reset both byte counts at the start of a call."""
        self.sent_bytes, self.received_bytes = 0, 0

    # asyncio.Protocol: called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection, and set its socket options."""
        self.transport = cast(asyncio.Transport, transport)  # create_connection always passes a writable one
        set_connection_options(transport.get_extra_info("socket"))
        if self._keeps_late_reader:
            self.watch = PeerWatch(self.transport, self._end_unreachable)

    def data_received(self, data: bytes) -> None:
        """Buffer the bytes until they are read."""
        self.received_bytes += len(data)
        self.buffer += data
        self._wake()

    def eof_received(self) -> bool:
        """Record the end of stream; asyncio then closes the transport."""
        self.ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection has ended, and its error if there is one."""
        self.ended, self.error = True, exc or self.error
        if self.watch is not None:
            self.watch.stop()
        self._wake()

    def pause_writing(self) -> None:
        """Make `write` wait, as the transport's buffer is full."""
        self._writer = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let a waiting `write` continue."""
        _resolve(self._writer)
        self._writer = None

    def _end_unreachable(self) -> None:
        """Reset the connection, whose peer acknowledges nothing any more."""
        self.error = TimeoutError("the peer is unreachable")
        self.reset()

    def _wake(self) -> None:
        """Wake a waiting `read` and `write`."""
        _resolve(self._reader)
        _resolve(self._writer)  # a server that answers early may not read the rest of the request

    # httpcore.AsyncNetworkStream: called by httpcore. `timeout` is ignored: callers limit the time of the whole call.

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ARG002, ASYNC109 - httpcore's
        """Wait for bytes and return them, or b"" after an orderly end of the connection.

        :raises httpcore.ReadError: the connection ended with an error.
        """
        if not self.buffer and not self.ended:
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        if self.buffer:
            data = bytes(self.buffer[:max_bytes])
            del self.buffer[:max_bytes]
            return data
        if self.error is not None:
            raise httpcore.ReadError(str(self.error))
        return b""

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ARG002, ASYNC109 - httpcore's
        """Write these bytes, and wait while the transport's buffer is full.

        :raises httpcore.WriteError: the connection has ended.
        """
        if self.discards_writes or not buffer:
            return
        if self.ended or self.transport is None:
            raise httpcore.WriteError("closed")
        self.sent_bytes += len(buffer)
        self.transport.write(buffer)
        if self.watch is not None:
            self.watch.written(len(buffer))
        if self._writer is not None:
            await self._writer

    async def aclose(self) -> None:
        """Close the connection; if bytes wait for the peer to read, its owner closes it instead, once that is done."""
        if not self.has_unsent_bytes():
            self.close()

    def get_extra_info(self, info: str) -> bool | None:
        """Return whether input can be read for "is_readable", the only value that httpcore requests, otherwise None."""
        return not self.has_no_input() if info == "is_readable" else None

    # Called by `Connection` and its users.

    def call_on_stall(self, callback: Callable[[], None] | None) -> None:
        """Set what is called once if the peer leaves bytes unread (`PeerWatch.call_on_stall`); None: nothing."""
        if self.watch is not None:
            self.watch.call_on_stall(callback)

    def close(self) -> None:
        """Close the connection once all written bytes have been sent."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection; bytes in transit are lost."""
        if self.transport is not None:
            reset_on_close(self.transport.get_extra_info("socket"))
            self.transport.abort()

    def has_no_input(self) -> bool:
        """Whether neither bytes nor an end of stream are waiting to be read, here or in the kernel."""
        return not self.buffer and not self.ended and not has_unread_bytes(self.transport)

    def has_unsent_bytes(self) -> bool:
        """Whether bytes of a request wait for the peer to read."""
        if self.watch is not None:
            return self.watch.has_unsent_bytes()
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    async def wait_until_read(self) -> None:
        """Wait until the peer has acknowledged all bytes, or the connection has ended."""
        if self.watch is not None:
            await self.watch.wait_until_read()


def _resolve(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)


async def connect(host: str, port: int, timeout_s: float, keeps_late_reader: bool = True) -> Stream:
    """Return a connection to that address.

    :param keeps_late_reader: see `Stream`.
    :raises OSError: it can't be established.
    :raises TimeoutError: it is not established in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, stream = await loop.create_connection(lambda: Stream(keeps_late_reader), host, port)
    return stream
