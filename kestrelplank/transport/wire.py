"""Framing of messages between the gateway's processes over TCP.

    size of the body (4 bytes, big-endian, the highest bit set if the body is compressed), body (msgpack)

This is the only module of the package with I/O.
"""

import asyncio
import zlib
from collections.abc import Callable
from typing import Any, Generic, TypeVar, cast

from kestrelplank.http.peer_watch import PeerWatch
from kestrelplank.http.socket_options import reset_on_close, set_connection_options
from kestrelplank.time_units import SECOND
from kestrelplank.transport.messages import ToEdge, ToMember, encode

HEADER_BYTES = 4
COMPRESSED_FLAG = 1 << 31
COMPRESSION_LEVEL = 1
MIN_COMPRESSED_BYTES = 1500  # a smaller body fits one packet, so it is not compressed
MAX_BODY_BYTES = 32 << 20
MAX_UNSENT_BYTES = 16 << 20  # limits memory: a peer that leaves more unread is disconnected
UNREAD_AND_SILENT_NS = SECOND  # a peer that has neither read nor sent anything for this long stands still
Message = TypeVar("Message")


def encode_frame(message: ToEdge | ToMember) -> bytes:
    """Return the frame of a message; a message to many peers is encoded once."""
    body, flag = encode(message), 0
    if len(body) >= MIN_COMPRESSED_BYTES:
        body, flag = zlib.compress(body, COMPRESSION_LEVEL), COMPRESSED_FLAG
    return (len(body) | flag).to_bytes(HEADER_BYTES) + body


def uncompressed_body(body: bytes, compressed: bool) -> bytes:
    """Return a frame's body as msgpack.

    :raises ValueError: the body is truncated, not zlib data, or decompresses to more than `MAX_BODY_BYTES`.
    """
    if not compressed:
        return body
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(body, MAX_BODY_BYTES)
    except zlib.error as err:
        raise ValueError(str(err)) from err
    if not decompressor.eof:
        raise ValueError("compressed body is truncated, or exceeds the size limit when decompressed")
    return body


class FrameConnection(asyncio.Protocol, Generic[Message]):
    """One connection that sends and receives messages.

    Invariants, each with its test in `tests/transport/test_wire.py`:

    - Messages arrive complete and in order (`test_messages_of_all_sizes_arrive_complete_and_in_order`).
    - An invalid frame ends the connection, once, and later frames are ignored
      (`test_an_invalid_frame_ends_the_connection_once_and_later_frames_are_ignored`).
    - Data that a peer does not read is bounded (`test_a_peer_that_reads_nothing_is_disconnected`).
    - A peer that reads late keeps its connection (`test_a_peer_that_reads_late_gets_all_messages`), and one that is cut
      off loses it (`test_a_peer_that_is_cut_off_is_disconnected`).

    :param decode: decodes a body to one of the messages accepted here; raises ValueError for anything else.
    :param on_message: called with the connection and each message.
    :param on_end: called once, with the connection, when it has ended.
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
        self._watch: PeerWatch | None = None  # None: not connected yet
        self.peer: Any = None  # identifies the peer; set and read by the user of the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)
        set_connection_options(transport.get_extra_info("socket"))
        self._watch = PeerWatch(self.transport, self.reset)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and deliver each complete message; called by the event loop."""
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

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # signature of asyncio.Protocol
        """End the connection; called by the event loop."""
        self.transport = None
        if self._watch is not None:
            self._watch.stop()
        self._on_end(self)

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, message: ToEdge | ToMember | bytes) -> None:
        """Send a message, or the bytes of `encode_frame`; do nothing if the connection has ended."""
        if self.transport is None or self.transport.is_closing() or self._watch is None:
            return
        frame = message if isinstance(message, bytes) else encode_frame(message)
        self.transport.write(frame)
        self._watch.written(len(frame))
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.reset()

    def stands_still(self, now: int, silent_ns: int) -> bool:
        """Whether the peer leaves messages unread and has said nothing either for `UNREAD_AND_SILENT_NS`.

        :param silent_ns: time since the peer's newest message, on this or another connection.
        """
        return silent_ns > UNREAD_AND_SILENT_NS and self._watch is not None and self._watch.is_stalled(now)

    def reset(self) -> None:
        """End the connection at once with a TCP reset; undelivered bytes are lost."""
        if self.transport is not None:
            reset_on_close(self.transport.get_extra_info("socket"))
            self.transport.abort()
