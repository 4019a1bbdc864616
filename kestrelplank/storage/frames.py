"""Frames, the units of a log file: each is intact, or recognisably is not.

    magic (4 bytes), size of the body (4, big-endian), checksum (16), body

The checksum (blake2b, keyed with the file's salt) covers the frame's offset in the file, the body's size and the body.
So neither blocks of an older file, nor what a refused write left, nor frames inside an operator's text pass for one.
"""

import hashlib
import struct
from collections.abc import Iterator
from typing import NamedTuple

from kestrelplank.storage.errors import CorruptLogError

MAGIC = b"\xf7kpl"  # no UTF-8 text contains its first byte
HEADER = struct.Struct(">4sI16s")
CHECKSUMMED_HEADER = struct.Struct(">QI")
CHECKSUM_BYTES = 16
SALT_BYTES = 16
HEAD_SALT = b""  # of the first frame, which contains the salt of all others: its checksum is not keyed


class Frame(NamedTuple):
    """The body of an intact frame, and the offsets of the frame's first byte and of the byte behind it."""

    start: int
    end: int
    body: bytes


def encode_frame(salt: bytes, offset: int, body: bytes) -> bytes:
    """Return the bytes of a frame that is to start at `offset`."""
    return HEADER.pack(MAGIC, len(body), checksum(salt, offset, body)) + body


def checksum(salt: bytes, offset: int, body: bytes) -> bytes:
    """Return the checksum of a frame at `offset`."""
    digest = hashlib.blake2b(digest_size=CHECKSUM_BYTES, key=salt)
    digest.update(CHECKSUMMED_HEADER.pack(offset, len(body)))
    digest.update(body)
    return digest.digest()


def frame_at(data: bytes, salt: bytes, offset: int) -> Frame | None:
    """Return the frame that starts at `offset`, None where no intact one does."""
    body_start = offset + HEADER.size
    if body_start > len(data):
        return None
    magic, body_bytes, expected_checksum = HEADER.unpack_from(data, offset)
    end = body_start + body_bytes
    if magic != MAGIC or end > len(data):
        return None
    body = data[body_start:end]
    if checksum(salt, offset, body) != expected_checksum:
        return None
    return Frame(offset, end, body)


def head_frame(data: bytes) -> Frame:
    """Return the first frame.

    :raises CorruptLogError: it is not intact, though it was synced before the file had its name.
    """
    head = frame_at(data, HEAD_SALT, 0)
    if head is None:
        raise CorruptLogError("its head is torn or changed")
    return head


def frames_after(data: bytes, salt: bytes, head: Frame) -> Iterator[Frame]:
    """Yield the intact frames behind the first one, up to the end or a last one that is torn.

    :raises CorruptLogError: a frame is not intact and an intact one follows, so something synced is missing.
    """
    offset = head.end
    while frame := frame_at(data, salt, offset):
        yield frame
        offset = frame.end
    later = first_intact_frame(data, salt, offset + 1)
    if later is not None:
        raise CorruptLogError(f"torn or changed at byte {offset}, before an intact frame at byte {later.start}")


def first_intact_frame(data: bytes, salt: bytes, start: int) -> Frame | None:
    """Return the first intact frame at `start` or behind it."""
    offset = data.find(MAGIC, start)
    while offset >= 0:
        frame = frame_at(data, salt, offset)
        if frame is not None:
            return frame
        offset = data.find(MAGIC, offset + 1)
    return None
