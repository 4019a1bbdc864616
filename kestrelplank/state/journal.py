"""A journal: records that are intact or recognisably torn, and what a file of them comes to after a crash.

No I/O: `Journal` says what to append, and `recover` what bytes read back mean. Each record is

    size of the body (4 bytes), sequence (8), checksum of both and of the body (16), body (JSON)

A tail that was never acknowledged may be torn and is cut; damage before an intact record is no tear, and is refused
with its offset, as something acknowledged would be lost silently.
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
    """What a journal file holds.

    :param records: by sequence, in order.
    :param intact_bytes: of the file; what is behind them is to be cut.
    :param cut_reason: "" where nothing is cut.
    """

    records: list[tuple[int, JsonValue]]
    intact_bytes: int
    cut_reason: str


class _Record(NamedTuple):
    sequence: int
    body: bytes
    end: int  # offset of the byte behind it


def encode_record(sequence: int, value: JsonValue) -> bytes:
    """Return one record's bytes.

    :raises ValueError: it would be too large.
    """
    body = msgspec.json.encode(value)
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a record of {len(body)} bytes is over {MAX_BODY_BYTES}")
    return HEADER.pack(len(body), sequence, record_checksum(sequence, body)) + body


def record_checksum(sequence: int, body: bytes) -> bytes:
    """Return what tells an intact record from a torn one."""
    header = CHECKSUMMED_HEADER.pack(len(body), sequence)
    return blake2b(header + body, digest_size=CHECKSUM_BYTES).digest()


def recover(data: bytes) -> RecoveredJournal:
    """Read a journal file.

    :raises MalformedError: it is none of ours, a record is damaged and an intact one follows, or sequences do not
        follow one another; the text names the offset.
    """
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):  # torn while it was made: nothing can have been acknowledged
            return RecoveredJournal([], 0, f"{len(data)} bytes of a journal that was being made")
        raise MalformedError("byte 0: no journal of this form")
    offset = len(MAGIC)
    records: list[tuple[int, JsonValue]] = []
    while offset < len(data):
        record = _record_at(data, offset)
        last_sequence = records[-1][0] if records else None
        if record is None:
            _check_is_tail(data, offset, last_sequence)
            return RecoveredJournal(records, offset, f"a torn record of {len(data) - offset} bytes at byte {offset}")
        if last_sequence is not None and record.sequence != last_sequence + 1:
            raise MalformedError(f"byte {offset}: record {record.sequence} follows {last_sequence}")
        records.append((record.sequence, msgspec.json.decode(record.body)))
        offset = record.end
    return RecoveredJournal(records, offset, "")


def _record_at(data: bytes, offset: int) -> _Record | None:
    """Return the intact record that begins there, None where none does."""
    if len(data) - offset < HEADER.size:
        return None
    body_bytes, sequence, expected_checksum = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + body_bytes
    if body_bytes > MAX_BODY_BYTES or end > len(data):
        return None
    body = data[offset + HEADER.size : end]
    return _Record(sequence, body, end) if record_checksum(sequence, body) == expected_checksum else None


def _check_is_tail(data: bytes, damaged_at: int, last_sequence: int | None) -> None:
    """Check that no intact record follows a damaged one.

    :raises MalformedError: one does.
    """
    for offset in range(damaged_at + 1, len(data) - HEADER.size + 1):
        later = _record_at(data, offset)
        if later is not None and (last_sequence is None or later.sequence > last_sequence):
            raise MalformedError(f"byte {damaged_at}: a damaged record, and an intact one follows at byte {offset}")


class Journal:
    """Gathers records and says what to append.

    Several that came before one write are one write and one fsync (group commit). A record counts once `handle_synced`
    was called after its write, and whoever waits for it is answered then, not before
    (`tests/state/test_journal.py::test_what_came_before_one_write_is_one_write_and_counts_once_it_is_on_the_disk`).

    After a write or fsync that failed nothing more is taken: what the disk holds is not known, and an fsync that is
    repeated may report as durable what is lost (`test_after_an_fsync_that_failed_nothing_counts_any_more`).

    :param exists: whether the file has been made.
    """

    def __init__(self, next_sequence: int = 1, exists: bool = False) -> None:
        self._next_sequence, self._exists = next_sequence, exists
        self._unwritten: list[tuple[int, bytes]] = []
        self._written_sequence = self.durable_sequence = next_sequence - 1
        self.failure = ""

    def add(self, value: JsonValue) -> int:
        """Take a record, and return its sequence.

        :raises ValueError: the journal has failed.
        """
        if self.failure:
            raise ValueError(f"the journal has failed: {self.failure}")
        sequence, self._next_sequence = self._next_sequence, self._next_sequence + 1
        self._unwritten.append((sequence, encode_record(sequence, value)))
        return sequence

    def take_unwritten(self) -> bytes:
        """Return all that is to be appended now, in one write; empty where there is nothing."""
        if self.failure or not self._unwritten:
            return b""
        data = (b"" if self._exists else MAGIC) + b"".join(record for _, record in self._unwritten)
        self._exists, self._written_sequence = True, self._unwritten[-1][0]
        self._unwritten.clear()
        return data

    def handle_synced(self) -> int:
        """Count what was written as durable; return the last sequence that counts."""
        if not self.failure:
            self.durable_sequence = self._written_sequence
        return self.durable_sequence

    def handle_failure(self, reason: str) -> None:
        """Take no more, as a write or an fsync did not do what it should."""
        self.failure = self.failure or reason


def compacted(values: Iterable[JsonValue], first_sequence: int) -> bytes:
    """Return a new journal that begins with a state in place of the records up to `first_sequence`.

    It is to take the old one's place completely or not at all.
    """
    records = [encode_record(first_sequence + index, value) for index, value in enumerate(values)]
    return MAGIC + b"".join(records)
