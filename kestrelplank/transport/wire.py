"""Frames of messages between our processes over TCP.

    size of the body (4 bytes, big-endian, the highest bit set where the body is compressed), body (msgpack)

The only module of this package with I/O.
"""

import asyncio
import zlib
from collections.abc import Callable
from typing import Any, Generic, TypeVar, cast

from kestrelplank.http.socket_options import reset_on_close, set_connection_options
from kestrelplank.transport.messages import ToEdge, ToMember, encode

HEADER_BYTES = 4
COMPRESSED_FLAG = 1 << 31
COMPRESSION_LEVEL = 1
MIN_COMPRESSED_BYTES = 1500  # a smaller body fits one packet, so it is not compressed
MAX_BODY_BYTES = 32 << 20
MAX_UNSENT_BYTES = 16 << 20  # a peer that leaves more unread is dropped: a bound on memory
Message = TypeVar("Message")


def encode_frame(message: ToEdge | ToMember) -> bytes:
    """Return a message as it goes over the wire; it is encoded once where it is sent to many."""
    body, flag = encode(message), 0
    if len(body) >= MIN_COMPRESSED_BYTES:
        body, flag = zlib.compress(body, COMPRESSION_LEVEL), COMPRESSED_FLAG
    return (len(body) | flag).to_bytes(HEADER_BYTES) + body


def uncompressed_body(body: bytes, compressed: bool) -> bytes:
    """Return a frame's body as msgpack.

    :raises ValueError: it is truncated or no zlib data, or larger than `MAX_BODY_BYTES`.
    """
    if not compressed:
        return body
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(body, MAX_BODY_BYTES)
    except zlib.error as err:
        raise ValueError(str(err)) from err
    if not decompressor.eof:
        raise ValueError("torn, or too large")
    return body


class FrameConnection(asyncio.Protocol, Generic[Message]):
    """One connection over which messages come and go.

    Invariants, each with the test in `tests/transport/test_wire.py` that holds it:

    - Messages come complete and in order (`test_messages_come_complete_and_in_order_small_and_large`).
    - What can't be read ends the connection, once, and nothing behind it counts
      (`test_what_cannot_be_read_ends_it_once_and_nothing_behind_it_counts`).
    - What a peer does not read is bounded (`test_a_peer_that_reads_nothing_is_dropped`).

    :param decode: turns a body into one of the messages that may come here; raises ValueError for anything else.
    :param on_message: called with the connection and each message.
    :param on_end: called with the connection once, when it has ended.
    """

    def __init__(
        self,
        decode: Callable[[bytes], Message],
        on_message: Callable[["FrameConnection[Message]", Message], None],
        on_end: Callable[["FrameConnection[Message]"], None],
    ) -> None:
        self._decode, self._on_message, self._on_end = decode, on_message, on_end
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.peer: Any = None  # its user keeps here who is at the other end, in a form of the user's own

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)
        set_connection_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Take bytes, and hand on each message that is complete; called by the event loop."""
        buffer = self._buffer
        buffer += data
        while len(buffer) >= HEADER_BYTES and self.transport is not None:
            header = int.from_bytes(buffer[:HEADER_BYTES])
            end = HEADER_BYTES + (header & ~COMPRESSED_FLAG)
            if end > HEADER_BYTES + MAX_BODY_BYTES:
                self.reset()
                return
            if len(buffer) < end:
                return
            body = bytes(buffer[HEADER_BYTES:end])
            del buffer[:end]
            try:
                message = self._decode(uncompressed_body(body, bool(header & COMPRESSED_FLAG)))
            except ValueError:
                self.reset()
                return
            self._on_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # the loop's signature
        """End; called by the event loop."""
        self.transport = None
        self._on_end(self)

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, message: ToEdge | ToMember | bytes) -> None:
        """Send a message, or the bytes of `encode_frame`; nothing where the connection has ended."""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(message if isinstance(message, bytes) else encode_frame(message))
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.reset()

    def reset(self) -> None:
        """End the connection at once with a TCP reset; bytes that were not delivered are lost."""
        if self.transport is not None:
            reset_on_close(self.transport.get_extra_info("socket"))
            self.transport.abort()
