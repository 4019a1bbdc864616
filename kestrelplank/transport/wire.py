"""Messages between our processes over TCP: four bytes of length, the highest bit for a compressed body, then msgpack.
Holds no state but the bytes under way."""

import asyncio
import zlib
from collections.abc import Callable
from typing import Any

from kestrelplank.http.socket_options import harden, reset_on_close
from kestrelplank.transport.messages import encode

MOST_FRAME = 32 << 20
MOST_UNSENT = 16 << 20  # bytes that a peer has not read: then it is let go, as it would hold us up
COMPRESSED = 1 << 31
WORTH = 1500  # bytes from which a body is compressed: one packet
Decode = Callable[[bytes], Any]  # a body as a typed message; ValueError where it is none


def packed(message: Any) -> bytes:
    """A message as it goes over the wire: packed once, it may be sent to many."""
    body, mark = encode(message), 0
    if len(body) >= WORTH:
        body, mark = zlib.compress(body, 1), COMPRESSED
    return (len(body) | mark).to_bytes(4) + body


def unpacked(body: bytes, compressed: bool) -> bytes:
    """The body as it was before it was compressed; ValueError where it is torn, or larger than any of ours."""
    if not compressed:
        return body
    inflating = zlib.decompressobj()
    try:
        body = inflating.decompress(body, MOST_FRAME)
    except zlib.error as err:
        raise ValueError(str(err)) from err
    if not inflating.eof:
        raise ValueError("torn, or too large")
    return body


class FrameConnection(asyncio.Protocol):
    """One connection. `on_message(wire, message)` for each that came whole, `on_end(wire)` once when it has ended.
    `decode`: which messages may come here; anything else ends the connection."""

    def __init__(
        self,
        decode: Decode,
        on_message: Callable[["FrameConnection", Any], None],
        on_end: Callable[["FrameConnection"], None],
    ) -> None:
        self._decode, self._on_message, self._on_end = decode, on_message, on_end
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.peer: Any = None  # whoever uses the wire keeps here who is at the other end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        harden(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        buffer = self._buffer
        buffer += data
        while len(buffer) >= 4 and self.transport is not None:
            head = int.from_bytes(buffer[:4])
            size = head & ~COMPRESSED
            if size > MOST_FRAME:
                return self.reset()
            if len(buffer) < 4 + size:
                return None
            body = bytes(buffer[4 : 4 + size])
            del buffer[: 4 + size]
            try:
                message = self._decode(unpacked(body, bool(head & COMPRESSED)))
            except ValueError:
                return self.reset()
            self._on_message(self, message)
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._on_end(self)

    @property
    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def send(self, message: Any) -> None:
        """Sends a message, or the bytes of one already packed; nothing where the connection has ended."""
        if not self.open:
            return
        self.transport.write(message if isinstance(message, bytes) else packed(message))
        if self.transport.get_write_buffer_size() > MOST_UNSENT:
            self.reset()

    def reset(self) -> None:
        """Ends it at once; bytes that a cut holds up are lost."""
        if self.transport is not None:
            reset_on_close(self.transport.get_extra_info("socket"))
            self.transport.abort()
