"""The socket under one of httpcore's connections.

It shows what httpcore's own streams hide: how much was sent, how much came, and bytes that no request asked for.
"""

import asyncio

import httpcore

from kestrelplank.http.socket_options import has_unread_bytes, reset_on_close, set_connection_options


class Stream(httpcore.AsyncNetworkStream, asyncio.Protocol):
    """One TCP connection, closed in one place: by `aclose` or `reset`.

    `sent_bytes` and `received_bytes` count what was given to the kernel and read from it since `begin_call`. Where
    `discards_writes` is set, nothing is sent: for `Connection.next_answer`.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.ended, self.discards_writes = False, False
        self.sent_bytes, self.received_bytes = 0, 0
        self.error: Exception | None = None  # how it ended, None: in order
        self._reader: asyncio.Future[None] | None = None  # waits for bytes
        self._writer: asyncio.Future[None] | None = None  # waits until the transport accepts more

    def begin_call(self) -> None:
        """Set both counts to 0, as a call begins."""
        self.sent_bytes, self.received_bytes = 0, 0

    # asyncio.Protocol: what the loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection that has come up."""
        self.transport = transport  # type: ignore[assignment] # of create_connection, so one that writes
        set_connection_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Keep the bytes until they are read."""
        self.received_bytes += len(data)
        self.buffer += data
        self._wake()

    def eof_received(self) -> bool:
        """Note that the other side has closed; the connection ends."""
        self.ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note how the connection has ended."""
        self.ended, self.error = True, exc
        self._wake()

    def pause_writing(self) -> None:
        """Let `write` wait, as the transport's buffer is full."""
        self._writer = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let `write` go on."""
        _finish(self._writer)
        self._writer = None

    def _wake(self) -> None:
        """Let `read` and `write` see what has changed."""
        _finish(self._reader)
        _finish(self._writer)  # a server that answers before it has all of the request may read no more of it

    # httpcore.AsyncNetworkStream: what httpcore calls. Time-outs are those of its callers, around the whole call.

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ARG002, ASYNC109 - httpcore's
        """Return bytes as soon as there are any; b"" where the connection has ended in order.

        :raises httpcore.ReadError: it has ended otherwise.
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
        """Send these bytes.

        :raises httpcore.WriteError: the connection has ended.
        """
        if self.discards_writes or not buffer:
            return
        if self.ended or self.transport is None:
            raise httpcore.WriteError("closed")
        self.sent_bytes += len(buffer)
        self.transport.write(buffer)
        if self._writer is not None:
            await self._writer

    async def aclose(self) -> None:
        """Close it after what was written has been sent."""
        if self.transport is not None:
            self.transport.close()

    def get_extra_info(self, info: str) -> bool | None:
        """Return whether something can be read, which is all that httpcore asks for."""
        return not self.is_quiet() if info == "is_readable" else None

    # For `Connection`.

    def reset(self) -> None:
        """End it at once; bytes that are on their way are lost."""
        if self.transport is not None:
            reset_on_close(self.transport.get_extra_info("socket"))
            self.transport.abort()

    def is_quiet(self) -> bool:
        """Whether there are no unread bytes and no end of stream, here or in the kernel."""
        return not self.buffer and not self.ended and not has_unread_bytes(self.transport)

    def has_unsent_bytes(self) -> bool:
        """Whether bytes of a request still wait to be taken by the kernel."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0


def _finish(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)


async def connect(host: str, port: int, timeout_s: float) -> Stream:
    """Return a connection to that address.

    :raises OSError: none comes up.
    :raises TimeoutError: none comes up in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, stream = await loop.create_connection(Stream, host, port)
    return stream
