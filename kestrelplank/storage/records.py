"""The bodies of a log file's frames, in msgpack: a head, then batches.

The order of fields determines the bytes on disk; changing it requires a new `FORMAT_VERSION`.
"""

from dataclasses import dataclass

import msgspec

from kestrelplank.consensus.log_entries import Entry, HardState, Snapshot
from kestrelplank.storage.errors import LogFormatError
from kestrelplank.storage.frames import Frame

FORMAT_VERSION = 1


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The body of the first frame: the member's complete durable state when the file was created.

    `format_version` comes first in all formats.
    """

    format_version: int
    salt: bytes
    incarnation: str
    hard_state: HardState
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


class FormatVersionOnly(msgspec.Struct, frozen=True, array_like=True):
    """The first field of a head in any format; the other fields are not decoded."""

    format_version: int


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The body of a later frame; its entries replace earlier ones from the first entry's index on."""

    hard_state: HardState | None
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class LogContent:
    """The content of a log file, either loaded from a member's disk or to be written to a new file.

    :param incarnation: None if the disk is empty, or counts as empty because its file is damaged.
    """

    incarnation: str | None = None
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()

    @property
    def first_index(self) -> int:
        """The index of the first entry, or of the next one if there are no entries."""
        return 1 + (self.snapshot.index if self.snapshot else 0)

    @property
    def last_index(self) -> int:
        """The index of the last entry, else of the snapshot, else 0."""
        return self.entries[-1].index if self.entries else self.first_index - 1


def encode_head(salt: bytes, incarnation: str, content: LogContent) -> bytes:
    """Return the body of the first frame of a file with this content."""
    head = Head(FORMAT_VERSION, salt, incarnation, content.hard_state, content.snapshot, content.entries)
    return msgspec.msgpack.encode(head)


def decode_head(frame: Frame) -> Head:
    """Decode the first frame.

    :raises LogFormatError: its format is not supported by this release.
    """
    try:
        format_version = msgspec.msgpack.decode(frame.body, type=FormatVersionOnly).format_version
        if format_version == FORMAT_VERSION:
            return msgspec.msgpack.decode(frame.body, type=Head)
    except msgspec.DecodeError as err:
        raise LogFormatError(f"log: {err}") from err
    raise LogFormatError(f"log: format version {format_version} is not supported, expected {FORMAT_VERSION}")


def encode_batch(batch: Batch) -> bytes:
    """Return the body of a later frame."""
    return msgspec.msgpack.encode(batch)


def decode_batch(frame: Frame) -> Batch:
    """Decode a later frame.

    :raises LogFormatError: its format is not supported by this release.
    """
    try:
        return msgspec.msgpack.decode(frame.body, type=Batch)
    except msgspec.DecodeError as err:
        raise LogFormatError(f"log: frame at byte {frame.start}: {err}") from err
