"""An append-only journal of checksummed records, and its recovery after a crash.

No I/O: `Journal` returns the bytes to append, and `recover` parses the bytes of a file. Each record is

    size of the body (4 bytes), sequence (8), checksum of both and of the body (16), body (JSON)

A torn tail was never acknowledged and is to be truncated. Damage before an intact record is an error that names its
offset, as truncating there would silently lose acknowledged records.
"""

import struct
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple, TypeAlias

import msgspec

from kestrelplank.decode import MalformedError

MAGIC = b"kestrelplank journal 1\n"
HEADER = struct.Struct("!IQ16s")
CHECKSUMMED_HEADER = struct.Struct("!IQ")
CHECKSUM_BYTES = 16
MAX_BODY_BYTES = 1 << 24

JsonValue: TypeAlias = "None | bool | int | float | str | list[JsonValue] | dict[str, JsonValue]"


class RecoveredJournal(NamedTuple):
    """The content of a journal file.

    :param records: sequence and value of each record, in order.
    :param intact_bytes: size of the intact part of the file; the rest is to be truncated.
    :param truncation_reason: "" if nothing is to be truncated.
    """

    records: list[tuple[int, JsonValue]]
    intact_bytes: int
    truncation_reason: str


class _Record(NamedTuple):
    sequence: int
    body: bytes
    end: int  # offset of the first byte after the record


def encode_record(sequence: int, value: JsonValue) -> bytes:
    """Return the bytes of one record.

    :raises ValueError: its body is larger than `MAX_BODY_BYTES`.
    """
    body = msgspec.json.encode(value)
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"the record has {len(body)} bytes, more than {MAX_BODY_BYTES}")
    return HEADER.pack(len(body), sequence, record_checksum(sequence, body)) + body


def record_checksum(sequence: int, body: bytes) -> bytes:
    """Return the checksum of a record's size, sequence and body."""
    header = CHECKSUMMED_HEADER.pack(len(body), sequence)
    return blake2b(header + body, digest_size=CHECKSUM_BYTES).digest()


def recover(data: bytes) -> RecoveredJournal:
    """Parse a journal file.

    :raises MalformedError: the magic bytes are missing, a damaged record is followed by an intact one, or sequences are
        not consecutive; the text names the offset.
    """
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):  # torn while the file was created: no record was acknowledged yet
            return RecoveredJournal([], 0, f"{len(data)} bytes of a journal that was being created")
        raise MalformedError("byte 0: expected the magic bytes of a journal")
    offset = len(MAGIC)
    records: list[tuple[int, JsonValue]] = []
    while offset < len(data):
        record = _record_at(data, offset)
        last_sequence = records[-1][0] if records else None
        if record is None:
            _check_is_tail(data, offset, last_sequence)
            return RecoveredJournal(records, offset, f"a torn record of {len(data) - offset} bytes at byte {offset}")
        if last_sequence is not None and record.sequence != last_sequence + 1:
            raise MalformedError(
                f"byte {offset}: record {record.sequence} follows {last_sequence}, expected the next sequence"
            )
        records.append((record.sequence, msgspec.json.decode(record.body)))
        offset = record.end
    return RecoveredJournal(records, offset, "")


def _record_at(data: bytes, offset: int) -> _Record | None:
    """Return the intact record that starts at `offset`, or None."""
    if len(data) - offset < HEADER.size:
        return None
    body_bytes, sequence, expected_checksum = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + body_bytes
    if body_bytes > MAX_BODY_BYTES or end > len(data):
        return None
    body = data[offset + HEADER.size : end]
    return _Record(sequence, body, end) if record_checksum(sequence, body) == expected_checksum else None


def _check_is_tail(data: bytes, damaged_at: int, last_sequence: int | None) -> None:
    """Check that no intact record follows the damaged one.

    :raises MalformedError: an intact record follows.
    """
    for offset in range(damaged_at + 1, len(data) - HEADER.size + 1):
        later = _record_at(data, offset)
        if later is not None and (last_sequence is None or later.sequence > last_sequence):
            raise MalformedError(
                f"byte {damaged_at}: the record is damaged, but an intact one follows at byte {offset}"
            )


class Journal:
    """Buffers records and returns the bytes to append.

    Records added before a write share one write and one fsync (group commit). A record is durable once `handle_synced`
    is called after its write; callers that wait for it may be answered only then
    (`tests/state/test_journal.py::test_records_added_before_a_write_share_it_and_are_durable_after_the_sync`).

    After a failed write or fsync no more records are accepted: the content of the disk is unknown, and a repeated fsync
    may report lost data as durable (`test_no_record_is_durable_after_a_failed_fsync`).

    :param exists: whether the file exists already.
    """

    def __init__(self, next_sequence: int = 1, exists: bool = False) -> None:
        self._next_sequence, self._exists = next_sequence, exists
        self._unwritten: list[tuple[int, bytes]] = []
        self._written_sequence = self.durable_sequence = next_sequence - 1
        self.failure = ""

    def add(self, value: JsonValue) -> int:
        """Add a record and return its sequence.

        :raises ValueError: the journal has failed.
        """
        if self.failure:
            raise ValueError(f"the journal has failed: {self.failure}")
        sequence, self._next_sequence = self._next_sequence, self._next_sequence + 1
        self._unwritten.append((sequence, encode_record(sequence, value)))
        return sequence

    def take_unwritten(self) -> bytes:
        """Return the bytes to append now in one write; empty if there are none."""
        if self.failure or not self._unwritten:
            return b""
        data = (b"" if self._exists else MAGIC) + b"".join(record for _, record in self._unwritten)
        self._exists, self._written_sequence = True, self._unwritten[-1][0]
        self._unwritten.clear()
        return data

    def handle_synced(self) -> int:
        """Mark all written records as durable; return the last durable sequence."""
        if not self.failure:
            self.durable_sequence = self._written_sequence
        return self.durable_sequence

    def handle_failure(self, reason: str) -> None:
        """Record that a write or an fsync failed; no more records are accepted."""
        self.failure = self.failure or reason


def encode_compacted(values: Iterable[JsonValue], first_sequence: int) -> bytes:
    """Return the bytes of a new journal in which `values`, numbered from `first_sequence`, replace earlier records.

    The caller must replace the old file atomically.
    """
    records = [encode_record(first_sequence + index, value) for index, value in enumerate(values)]
    return MAGIC + b"".join(records)
