"""A journal's text: records that are whole or recognisably torn, and what a file of them comes to after a crash.

No I/O: `Journal` says what to append, and `recovered` what bytes read back mean. Each record is

    length (4 bytes), sequence (8), checksum of both and of the body (16), body

A tail that was never acknowledged may be torn and is cut; damage before a whole record is no tear, and is refused with
its place, as something acknowledged would be lost silently.
"""

import struct
from collections.abc import Iterable
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

from kestrelplank.decode import Malformed

MAGIC = b"kestrelplank journal 1\n"
HEAD = struct.Struct("!IQ16s")
MOST_BODY = 1 << 24


def digest(length: int, sequence: int, body: bytes) -> bytes:
    return blake2b(struct.pack("!IQ", length, sequence) + body, digest_size=16).digest()


def record(sequence: int, value: Any) -> bytes:
    """One record's bytes; the value goes as JSON."""
    body = msgspec.json.encode(value)
    if len(body) > MOST_BODY:
        raise ValueError(f"a record of {len(body)} bytes is over {MOST_BODY}")
    return HEAD.pack(len(body), sequence, digest(len(body), sequence, body)) + body


class Found(NamedTuple):
    """Records by sequence, in order; how many bytes of the file are good; what was cut, empty where nothing was."""

    records: list[tuple[int, Any]]
    good: int
    cut: str


def _at(data: bytes, at: int) -> tuple[int, bytes, int] | None:
    """Sequence, body and end of a whole record that begins there; None where none does."""
    if len(data) - at < HEAD.size:
        return None
    length, sequence, checksum = HEAD.unpack_from(data, at)
    end = at + HEAD.size + length
    if length > MOST_BODY or end > len(data):
        return None
    body = data[at + HEAD.size : end]
    return (sequence, body, end) if digest(length, sequence, body) == checksum else None


def recovered(data: bytes) -> Found:
    """What a journal file holds. Raises Malformed, with the byte, where it is none of ours, where a record is damaged
    and a whole one follows, or where sequences do not follow one another."""
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):  # torn while it was made: nothing can have been acknowledged
            return Found([], 0, f"{len(data)} bytes of a journal that was being made")
        raise Malformed("byte 0: no journal of this form")
    at, records = len(MAGIC), []
    while at < len(data):
        found = _at(data, at)
        if found is None:
            after = next(
                (
                    place
                    for place in range(at + 1, len(data) - HEAD.size + 1)
                    if (later := _at(data, place)) and (not records or later[0] > records[-1][0])
                ),
                None,
            )
            if after is not None:
                raise Malformed(f"byte {at}: a damaged record, and a whole one follows at byte {after}")
            return Found(records, at, f"a torn record of {len(data) - at} bytes at byte {at}")
        sequence, body, end = found
        if records and sequence != records[-1][0] + 1:
            raise Malformed(f"byte {at}: record {sequence} follows {records[-1][0]}")
        records.append((sequence, msgspec.json.decode(body)))
        at = end
    return Found(records, at, "")


class Journal:
    """Gathers records and says what to append; several that came before one write are one write and one fsync (group
    commit). A record counts once `synced` was told of it, and whoever waits for it is answered then, not before.

    After a write or fsync that failed nothing more is taken: what the disk holds is not known, and an fsync that is
    repeated may report as kept what is lost."""

    def __init__(self, next_sequence: int = 1, made: bool = False) -> None:
        self._next, self._made = next_sequence, made
        self._waiting: list[tuple[int, bytes]] = []
        self._written = self.kept = next_sequence - 1
        self.failed = ""

    def add(self, value: Any) -> int:
        """A record to be kept; returns its sequence. Raises ValueError once the journal has failed."""
        if self.failed:
            raise ValueError(f"the journal has failed: {self.failed}")
        sequence, self._next = self._next, self._next + 1
        self._waiting.append((sequence, record(sequence, value)))
        return sequence

    def write(self) -> bytes:
        """All that is to be appended now, in one piece; empty where there is nothing."""
        if self.failed or not self._waiting:
            return b""
        begin = b"" if self._made else MAGIC
        data = begin + b"".join(part for _, part in self._waiting)
        self._made, self._written = True, self._waiting[-1][0]
        self._waiting.clear()
        return data

    def synced(self) -> int:
        """What was written is on the disk. Returns the last sequence that counts."""
        if not self.failed:
            self.kept = self._written
        return self.kept

    def fail(self, why: str) -> None:
        """A write or an fsync did not do what it should."""
        self.failed = self.failed or why


def snapshot(values: Iterable[Any], sequence: int) -> bytes:
    """A new journal that begins with a state in place of the records up to `sequence`: compaction. It takes the old
    one's place whole or not at all."""
    parts = [MAGIC]
    for place, value in enumerate(values):
        parts.append(record(sequence + place, value))
    return b"".join(parts)
