"""Frames between our processes over TCP: four bytes of length, the highest bit for a compressed frame, then msgpack.
Holds no state but the bytes under way."""

import asyncio
import zlib
from collections.abc import Callable
from typing import Any

import msgspec

from kestrelplank.http.stream import harden, resetting

MOST_FRAME = 32 << 20
MOST_UNSENT = 8 << 20  # bytes that a peer has not read: then it is let go, as it would hold us up
COMPRESSED = 1 << 31
WORTH = 1500  # bytes from which a frame is compressed: one packet
Frame = dict[str, Any]
encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder()


def packed(frame: Frame) -> bytes:
    """A frame as it goes over the wire: packed once, it may be sent to many."""
    body, mark = encoder.encode(frame), 0
    if len(body) >= WORTH:
        body, mark = zlib.compress(body, 1), COMPRESSED
    return (len(body) | mark).to_bytes(4) + body


def unpacked(body: bytes, compressed: bool) -> Frame:
    """The frame in these bytes; ValueError where it can't be read, or is larger than any of ours."""
    if compressed:
        inflating = zlib.decompressobj()
        try:
            body = inflating.decompress(body, MOST_FRAME)
        except zlib.error as err:
            raise ValueError(str(err)) from err
        if not inflating.eof:
            raise ValueError("torn, or too large")
    try:
        frame = decoder.decode(body)
    except msgspec.DecodeError as err:
        raise ValueError(str(err)) from err
    if not isinstance(frame, dict):
        raise ValueError("no table")
    return frame


class FrameConnection(asyncio.Protocol):
    """One connection. `on_frame(wire, frame)` for each that came whole, `on_end(wire)` once when it has ended."""

    def __init__(
        self, on_frame: Callable[["FrameConnection", Frame], None], on_end: Callable[["FrameConnection"], None]
    ) -> None:
        self._on_frame, self._on_end = on_frame, on_end
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
                frame = unpacked(body, bool(head & COMPRESSED))
            except ValueError:
                return self.reset()
            self._on_frame(self, frame)
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._on_end(self)

    @property
    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def send(self, frame: Frame | bytes) -> None:
        """Sends a frame, or one already packed; nothing where the connection has ended."""
        if not self.open:
            return
        self.transport.write(frame if isinstance(frame, bytes) else packed(frame))
        if self.transport.get_write_buffer_size() > MOST_UNSENT:
            self.reset()

    def reset(self) -> None:
        """Ends it at once; bytes that a cut holds up are lost."""
        if self.transport is not None:
            resetting(self.transport.get_extra_info("socket"))
            self.transport.abort()
