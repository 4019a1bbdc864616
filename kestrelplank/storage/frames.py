"""Frames, the units of a log file, with a checksum that detects torn or changed ones.

    magic (4 bytes), size of the body (4, big-endian), checksum (16), body

The checksum (blake2b, keyed with the file's salt) covers the frame's offset in the file, the body's size and the body.
So blocks of an older file, remains of a failed write and frames inside an operator's text are not taken for frames.
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
HEAD_SALT = b""  # the first frame contains the salt of all others, so its own checksum is not keyed


class Frame(NamedTuple):
    """The body of an intact frame, the offset of its first byte, and that of the first byte after it."""

    start: int
    end: int
    body: bytes


def encode_frame(salt: bytes, offset: int, body: bytes) -> bytes:
    """Return the bytes of a frame to be written at `offset`."""
    return HEADER.pack(MAGIC, len(body), checksum(salt, offset, body)) + body


def checksum(salt: bytes, offset: int, body: bytes) -> bytes:
    """Return the checksum of a frame at `offset`."""
    digest = hashlib.blake2b(digest_size=CHECKSUM_BYTES, key=salt)
    digest.update(CHECKSUMMED_HEADER.pack(offset, len(body)))
    digest.update(body)
    return digest.digest()


def frame_at(data: bytes, salt: bytes, offset: int) -> Frame | None:
    """Return the intact frame that starts at `offset`, or None."""
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

    :raises CorruptLogError: it is damaged, although it was synced before the file got its name.
    """
    head = frame_at(data, HEAD_SALT, 0)
    if head is None:
        raise CorruptLogError("its head is torn or changed")
    return head


def frames_after(data: bytes, salt: bytes, head: Frame) -> Iterator[Frame]:
    """Yield the intact frames after the first one, up to the end of the data or to a torn last frame.

    :raises CorruptLogError: an intact frame follows a damaged one, so synced data is missing.
    """
    offset = head.end
    while frame := frame_at(data, salt, offset):
        yield frame
        offset = frame.end
    later = first_intact_frame(data, salt, offset + 1)
    if later is not None:
        raise CorruptLogError(f"torn or changed at byte {offset}, before an intact frame at byte {later.start}")


def first_intact_frame(data: bytes, salt: bytes, start: int) -> Frame | None:
    """Return the first intact frame at or after `start`."""
    offset = data.find(MAGIC, start)
    while offset >= 0:
        frame = frame_at(data, salt, offset)
        if frame is not None:
            return frame
        offset = data.find(MAGIC, offset + 1)
    return None
