"""The bodies of a log file's frames, in msgpack: a head, then batches.

The order of fields decides the bytes on disk. A change of it needs another `FORMAT_VERSION`.
"""

from dataclasses import dataclass

import msgspec

from kestrelplank.consensus.log_entries import Entry, HardState, Snapshot
from kestrelplank.storage.errors import LogFormatError
from kestrelplank.storage.frames import Frame

FORMAT_VERSION = 1


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The first frame's body: the member's complete durable state when the file was made.

    `format_version` comes first in every release.
    """

    format_version: int
    salt: bytes
    incarnation: str
    hard_state: HardState
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


class FormatVersionOnly(msgspec.Struct, frozen=True, array_like=True):
    """The first field of a head of any format; the others are not decoded."""

    format_version: int


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The body of each later frame; its entries replace those from the first one's index on."""

    hard_state: HardState | None
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class LogContent:
    """The content of a log file: what a start finds on a member's disk, or what a new file is to hold.

    :param incarnation: None for a disk that is empty, or counts as empty because its file is damaged.
    """

    incarnation: str | None = None
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()

    @property
    def first_index(self) -> int:
        """The index that the entries begin with, or would."""
        return 1 + (self.snapshot.index if self.snapshot else 0)

    @property
    def last_index(self) -> int:
        """The newest entry's index, the snapshot's where there is no entry, 0 where there is neither."""
        return self.entries[-1].index if self.entries else self.first_index - 1


def encode_head(salt: bytes, incarnation: str, content: LogContent) -> bytes:
    """Return the body of the first frame of a file that holds this."""
    head = Head(FORMAT_VERSION, salt, incarnation, content.hard_state, content.snapshot, content.entries)
    return msgspec.msgpack.encode(head)


def decode_head(frame: Frame) -> Head:
    """Return what the first frame contains.

    :raises LogFormatError: another release wrote it.
    """
    try:
        format_version = msgspec.msgpack.decode(frame.body, type=FormatVersionOnly).format_version
        if format_version == FORMAT_VERSION:
            return msgspec.msgpack.decode(frame.body, type=Head)
    except msgspec.DecodeError as err:
        raise LogFormatError(f"log: {err}") from err
    raise LogFormatError(f"log: format version {format_version} is not known, {FORMAT_VERSION} is")


def encode_batch(batch: Batch) -> bytes:
    """Return the body of a later frame."""
    return msgspec.msgpack.encode(batch)


def decode_batch(frame: Frame) -> Batch:
    """Return what a later frame contains.

    :raises LogFormatError: another release wrote it.
    """
    try:
        return msgspec.msgpack.decode(frame.body, type=Batch)
    except msgspec.DecodeError as err:
        raise LogFormatError(f"log: frame at byte {frame.start}: {err}") from err
