"""The socket under one of httpcore's connections, which tells what its own streams hide: what was sent, what came, and
bytes that nobody has asked for. It is closed in one place, by `aclose` or `reset`."""

import asyncio
import select
import socket
import struct
from typing import Any

import httpcore

LINGER_NOT = struct.pack("ii", 1, 0)  # a close resets: what a cut holds up is lost, and never arrives late
UNACKNOWLEDGED = 1000  # ms after which the kernel gives up on bytes that nobody acknowledges: who is there does at once


def harden(sock: socket.socket) -> None:
    """What each connection of ours gets: no delay for small writes, and an end to silent peers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED)


def resetting(sock: Any) -> None:
    """Makes the close of this socket a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)
    except OSError:
        pass  # it has gone already


def readable(transport: asyncio.BaseTransport | None) -> bool:
    """Whether bytes, or an end, lie in the kernel that the loop has not read yet."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Stream(httpcore.AsyncNetworkStream, asyncio.Protocol):
    """One TCP connection. `sent` and `received`: bytes given to the kernel and read from it since `begin`; `muted`:
    writes are swallowed, to read on for an answer that is still owed."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.ended, self.muted = False, False
        self.sent, self.received = 0, 0
        self.error: Exception | None = None
        self._reader: asyncio.Future[None] | None = None  # who waits for bytes
        self._writer: asyncio.Future[None] | None = None  # who waits for room in the kernel

    def begin(self) -> None:
        """A new call begins: what is sent and received is counted from here."""
        self.sent, self.received = 0, 0

    # The loop's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        harden(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        self.buffer += data
        self._wake()

    def eof_received(self) -> bool:
        self.ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended, self.error = True, exc
        self._wake()

    def pause_writing(self) -> None:
        self._writer = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        _done(self._writer)
        self._writer = None

    def _wake(self) -> None:
        _done(self._reader)
        _done(self._writer)  # who answers before it has all of the request may read no more of it

    # httpcore's side.

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
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

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if self.muted or not buffer:
            return
        if self.ended:
            raise httpcore.WriteError("closed")
        self.sent += len(buffer)
        self.transport.write(buffer)
        if self._writer is not None:
            await self._writer

    async def aclose(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Ends it at once; bytes that are on their way are lost."""
        if self.transport is not None:
            resetting(self.transport.get_extra_info("socket"))
            self.transport.abort()

    def get_extra_info(self, info: str) -> Any:
        return self.quiet() is False if info == "is_readable" else None

    def quiet(self) -> bool:
        """Whether nothing has come that nobody asked for, an end included."""
        return not self.buffer and not self.ended and not readable(self.transport)

    def unsent(self) -> bool:
        """Whether bytes of a request still wait to be taken by the kernel."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0


def _done(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)


async def connect(host: str, port: int, within: float) -> Stream:
    """A connection to that address within so many seconds; OSError or TimeoutError where none comes up."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(within):
        _, stream = await loop.create_connection(Stream, host, port)
    return stream
