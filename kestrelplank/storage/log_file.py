"""A member's durable state: one file that is appended to, and written anew when the log is compacted.

    log                             what the member believes after a start
    configuration-<version>.json    plain copies for operators, never read here

`log` is a row of frames. The first, the head, has the member's incarnation, hard state, snapshot and entries as they
were when the file was made. Each later one has one batch: a hard state, entries that replace those from the first one's
index on, or both. A file is made whole under a temporary name, synced, renamed, and its folder synced; a batch is one
write and one sync.

    frame   MAGIC, bytes of the body (4, big-endian), checksum (16), body (msgpack)

The checksum covers the body, its length, the frame's place and a salt drawn for each file, so what an older file or a
refused write left on the disk's blocks never passes for a frame.

What a start finds, and what it is taken for:

- nothing: an empty disk. The member draws an incarnation and keeps it (`keep_incarnation`).
- a last frame that is not whole: a batch that power was lost in. It was never acknowledged, and is cut off.
- a frame that is not whole and a whole one behind it, or a head that is not whole: the disk lost what it had synced.
  Its promises can't be relied on, so it counts as empty: the file is removed, and the member takes a new identity.

A disk that damages the last frame after it was synced can't be told from a loss of power in that write.

All calls block and raise OSError where the disk refuses: an adapter makes them in a thread of its own, one at a time.
The file grows with each batch. Its owner compares `LogFile.size` with a bound that it is told, and writes a snapshot
when that is exceeded; the folder then holds at most the bound, one batch, and two files while one takes the other's
place.
"""

import errno
import hashlib
import logging
import os
import struct
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.messages import Entry, HardState, Snapshot
from kestrelplank.decode import Malformed
from kestrelplank.file_discovery.atomic_write import sync_directory, write_atomically

FORM = 1  # of the file
NAME = "log"
MAGIC = b"\xf7kpl"  # no UTF-8 text contains its first byte
HEADER = struct.Struct(">4sI16s")
DIGEST_BYTES = 16
SALT_BYTES = 16
NO_SALT = b""  # of the head, which tells the salt
COPY_PREFIX, COPY_SUFFIX = "configuration-", ".json"
TEMPORARY = f".{NAME}."  # what names of files that are being made begin with
TEMPORARIES = (TEMPORARY, f".{COPY_PREFIX}")
COPIES_KEPT = 2
log = logging.getLogger("storage")


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The first frame's body. `form` comes first in every release."""

    form: int
    salt: bytes
    incarnation: str
    hard_state: HardState
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


class FormOnly(msgspec.Struct, frozen=True, array_like=True):
    """What is read of a head of any form; the rest is passed over."""

    form: int


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The body of each later frame."""

    hard_state: HardState | None
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Loaded:
    """What a member's disk holds. `incarnation` None: nothing, or nothing that may be believed."""

    incarnation: str | None = None
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


class Frame(NamedTuple):
    """A whole frame: where it starts and ends in the file."""

    start: int
    end: int
    body: bytes


class Corrupt(Exception):
    """The file lacks something that had been synced; the text says what."""


class LogFile:
    """The log in one folder, made where it is missing. `load` comes first, then, where it found no incarnation,
    `keep_incarnation`, then `write`."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.path = os.path.join(folder, NAME)
        self.frames = 0  # in the file, the head included
        self._fd: int | None = None
        self._end = 0  # of what is durable in the file
        self._tail_due = False  # a refused write may have left something behind the end
        self._name_due = False  # the folder has not been synced since the file was renamed
        self._incarnation: str | None = None
        self._hard_state = HardState()
        self._first = 1  # index that the entries begin with
        self._last = 0  # index of the newest entry, or of the snapshot where there is none
        make_folder(folder)

    @property
    def size(self) -> int:
        """Bytes of the log file that are durable."""
        return self._end

    def load(self) -> Loaded:
        """Reads the disk, and makes sure that what it returns is durable. Raises OSError, and Malformed where another
        release wrote the file in a form not known here; nothing is removed then."""
        self.close()
        self._end, self.frames = 0, 0
        for name in os.listdir(self.folder):
            if name.startswith(TEMPORARIES):
                os.unlink(os.path.join(self.folder, name))
        try:
            return self._open()
        except FileNotFoundError:
            return Loaded()
        except Corrupt as err:
            log.warning("Storage: %s: %s; this disk counts as empty", self.path, err)
        self.close()
        os.unlink(self.path)  # should a loss of power bring it back, it is found corrupt again
        return Loaded()

    def keep_incarnation(self, incarnation: str) -> None:
        """Makes this member's identity durable on an empty disk, with an empty log. Raises OSError."""
        if self._incarnation is not None and self._incarnation != incarnation:
            raise ValueError(f"this disk is {self._incarnation}'s, not {incarnation}'s")
        if self._incarnation is None:
            self._replace(Loaded(incarnation))
        self._finish_rename()

    def write(self, persists: Sequence[Persist]) -> None:
        """Makes all of these durable, or none. Raises OSError; the next call must then begin with the same ones."""
        if self._incarnation is None:
            raise ValueError("no incarnation is kept yet")
        self._finish_rename()
        joined = join(persists, self._first - 1)
        if joined.snapshot is not None:
            check_follows(joined.entries, joined.snapshot.index)
            hard_state = joined.hard_state or self._hard_state
            self._replace(Loaded(self._incarnation, hard_state, joined.snapshot, joined.entries))
            self._finish_rename()
        elif joined.hard_state is not None or joined.entries:
            check_follows(joined.entries, self._last)
            self._append(Batch(joined.hard_state, joined.entries))

    def keep_copy(self, version: int, text: bytes) -> None:
        """Writes a configuration as a plain file for operators, and removes all but the newest copies. Best effort: a
        refusal is logged."""
        try:
            write_atomically(os.path.join(self.folder, copy_name(version)), text)
            for name in self._copies()[:-COPIES_KEPT]:
                os.unlink(os.path.join(self.folder, name))
        except OSError as err:
            log.warning("Storage: no plain copy of configuration %08x: %s", version, err)

    def close(self) -> None:
        """Lets go of the file; what `write` returned from is durable already."""
        if self._fd is not None:
            os.close(self._fd)
        self._fd, self._incarnation = None, None

    def _open(self) -> Loaded:
        """Reads the file and readies it for appending. Raises FileNotFoundError, OSError, Corrupt and Malformed."""
        self._fd = os.open(self.path, os.O_RDWR)
        data = read_all(self._fd)
        frames = [head_of(data)]
        head = decoded_head(frames[0])
        frames.extend(frames_behind(data, head.salt, frames[0]))
        loaded = added_up(head, [decoded_batch(frame) for frame in frames[1:]])
        self._confirm(data, frames[-1])
        self._hold(loaded, head.salt, frames[-1].end, len(frames))
        return loaded

    def _confirm(self, data: bytes, last: Frame) -> None:
        """Makes what was read durable. A life that ended between a write and its sync, or in a sync that failed, left a
        last frame or a length that only memory may have, and that no further sync would write. The frame is written
        again over itself, which does not change blocks that are on the disk already, and the length is set anew; a head
        was synced before it had its name."""
        if last.start > 0:
            write_at(self._fd, data[last.start : last.end], last.start)
        os.ftruncate(self._fd, last.end + 1)
        os.ftruncate(self._fd, last.end)
        os.fsync(self._fd)
        sync_directory(self.folder)

    def _hold(self, loaded: Loaded, salt: bytes, end: int, frames: int) -> None:
        """Takes what the open file has as what is held."""
        self._incarnation, self._hard_state, self._salt = loaded.incarnation, loaded.hard_state, salt
        self._first = 1 + (loaded.snapshot.index if loaded.snapshot else 0)
        self._last = loaded.entries[-1].index if loaded.entries else self._first - 1
        self._end, self.frames = end, frames
        self._tail_due = False

    def _append(self, batch: Batch) -> None:
        """One write and one sync, behind what is durable."""
        if self._tail_due:
            self._cut_tail()
        self._check_name()
        frame = framed(self._salt, self._end, msgspec.msgpack.encode(batch))
        try:
            write_at(self._fd, frame, self._end)
            os.fdatasync(self._fd)
        except OSError:
            self._tail_due = True
            self._cut_tail_quietly()
            raise
        self._end += len(frame)
        self.frames += 1
        self._hard_state = batch.hard_state or self._hard_state
        if batch.entries:
            self._last = batch.entries[-1].index

    def _cut_tail(self) -> None:
        """Removes what a refused write may have left: after a failed sync the system may take for written what is not,
        so none of it is believed."""
        os.ftruncate(self._fd, self._end)
        os.fsync(self._fd)
        self._tail_due = False

    def _cut_tail_quietly(self) -> None:
        """The same where the disk lets it; else the next write does it first."""
        try:
            self._cut_tail()
        except OSError as err:
            log.warning("Storage: what a refused write left behind can't be removed yet: %s", err)

    def _check_name(self) -> None:
        """Raises OSError where the open file is no longer the one that the next start will read. By length and not by
        inode: some file systems number an open file and its name apart."""
        if os.stat(self.path).st_size != self._end:
            raise OSError(errno.ESTALE, "the log was moved or replaced", self.path)

    def _replace(self, loaded: Loaded) -> None:
        """Puts a new file with this content in the place of the old one, whole or not at all. `_finish_rename` must
        follow before anything in the new file counts as durable."""
        salt = os.urandom(SALT_BYTES)
        head = Head(FORM, salt, loaded.incarnation, loaded.hard_state, loaded.snapshot, loaded.entries)
        data = framed(NO_SALT, 0, msgspec.msgpack.encode(head))
        fd, temporary = tempfile.mkstemp(dir=self.folder, prefix=TEMPORARY)
        try:
            write_at(fd, data, 0)
            os.fsync(fd)
            os.replace(temporary, self.path)
        except OSError:
            os.close(fd)
            remove_quietly(temporary)
            raise
        old, self._fd = self._fd, fd
        self._name_due = True
        self._hold(loaded, salt, len(data), 1)
        if old is not None:
            os.close(old)

    def _finish_rename(self) -> None:
        """Until the folder is synced, a loss of power may bring the old file back under the name."""
        if self._name_due:
            sync_directory(self.folder)
            self._name_due = False

    def _copies(self) -> list[str]:
        """Names of the plain copies, by version."""
        names = os.listdir(self.folder)
        return sorted(name for name in names if name.startswith(COPY_PREFIX) and name.endswith(COPY_SUFFIX))


def join(persists: Sequence[Persist], covered: int) -> Persist:
    """One Persist with the effect of all these in order. `covered`: index of the snapshot held so far; entries that a
    snapshot contains are passed over. Raises ValueError where entries don't follow each other."""
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = []
    for persist in persists:
        hard_state = persist.hard_state or hard_state
        if persist.snapshot is not None:
            snapshot, covered = persist.snapshot, persist.snapshot.index
            entries.clear()
        put(entries, after(covered, persist.entries))
    return Persist(0, hard_state, snapshot, tuple(entries))


def added_up(head: Head, batches: Sequence[Batch]) -> Loaded:
    """What a file holds that begins so, with these batches in order."""
    hard_state = head.hard_state
    entries = list(head.entries)
    for batch in batches:
        hard_state = batch.hard_state or hard_state
        put(entries, batch.entries)
    return Loaded(head.incarnation, hard_state, head.snapshot, tuple(entries))


def put(entries: list[Entry], new: Sequence[Entry]) -> None:
    """Replaces those from the first new one's index on. Raises ValueError where one would be missing between."""
    if not new:
        return
    kept = max(0, new[0].index - entries[0].index) if entries else 0
    if kept > len(entries):
        raise ValueError(f"entry {new[0].index} does not follow {entries[-1].index}")
    entries[kept:] = new


def after(index: int, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """Those that a snapshot at `index` does not contain."""
    if not entries or entries[0].index > index:
        return entries
    return tuple(entry for entry in entries if entry.index > index)


def check_follows(entries: Sequence[Entry], last: int) -> None:
    """Raises ValueError where entries are missing after `last`."""
    if entries and entries[0].index > last + 1:
        raise ValueError(f"entry {entries[0].index} does not follow {last}")


def framed(salt: bytes, place: int, body: bytes) -> bytes:
    """A frame that is to start at `place`."""
    return HEADER.pack(MAGIC, len(body), checksum(salt, place, body)) + body


def checksum(salt: bytes, place: int, body: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=salt)
    digest.update(struct.pack(">QI", place, len(body)))
    digest.update(body)
    return digest.digest()


def frame_at(data: bytes, salt: bytes, place: int) -> Frame | None:
    """The whole frame that starts there, if one does."""
    if place + HEADER.size > len(data):
        return None
    magic, length, found = HEADER.unpack_from(data, place)
    start, end = place + HEADER.size, place + HEADER.size + length
    if magic != MAGIC or end > len(data):
        return None
    body = data[start:end]
    return Frame(place, end, body) if checksum(salt, place, body) == found else None


def head_of(data: bytes) -> Frame:
    """The first frame. Raises Corrupt: it was synced before the file had its name."""
    head = frame_at(data, NO_SALT, 0)
    if head is None:
        raise Corrupt("its head is torn or changed")
    return head


def frames_behind(data: bytes, salt: bytes, head: Frame) -> Iterator[Frame]:
    """The whole frames in order, up to a torn one at the end. Raises Corrupt where something synced is missing."""
    place = head.end
    while frame := frame_at(data, salt, place):
        yield frame
        place = frame.end
    later = frame_further_on(data, salt, place)
    if later is not None:
        raise Corrupt(f"torn or changed at byte {place}, before a whole frame at byte {later.start}")


def frame_further_on(data: bytes, salt: bytes, place: int) -> Frame | None:
    """A whole frame that starts anywhere behind `place`."""
    at = data.find(MAGIC, place + 1)
    while at >= 0:
        frame = frame_at(data, salt, at)
        if frame is not None:
            return frame
        at = data.find(MAGIC, at + 1)
    return None


def decoded_head(frame: Frame) -> Head:
    """Raises Malformed."""
    try:
        form = msgspec.msgpack.decode(frame.body, type=FormOnly).form
        if form == FORM:
            return msgspec.msgpack.decode(frame.body, type=Head)
    except msgspec.DecodeError as err:
        raise Malformed(f"log: {err}") from err
    raise Malformed(f"log: form {form} is not known, {FORM} is")


def decoded_batch(frame: Frame) -> Batch:
    """Raises Malformed."""
    try:
        return msgspec.msgpack.decode(frame.body, type=Batch)
    except msgspec.DecodeError as err:
        raise Malformed(f"log: frame at byte {frame.start}: {err}") from err


def copy_name(version: int) -> str:
    return f"{COPY_PREFIX}{version:016x}{COPY_SUFFIX}"


def write_at(fd: int, data: bytes, place: int) -> None:
    """Writes all of it there. Raises OSError."""
    rest = memoryview(data)
    while rest:
        written = os.pwrite(fd, rest, place)
        rest, place = rest[written:], place + written


def read_all(fd: int) -> bytes:
    with os.fdopen(os.dup(fd), "rb") as file:
        return file.read()


def remove_quietly(path: str) -> None:
    """Removes a temporary file if the disk lets it; the next start does otherwise."""
    try:
        os.unlink(path)
    except OSError as err:
        log.warning("Storage: %s stays behind until the next start: %s", path, err)


def make_folder(folder: str) -> None:
    """Makes the folder, and those above it, where they are missing, durably. Raises OSError."""
    if os.path.isdir(folder):
        return
    above = os.path.dirname(os.path.abspath(folder))
    make_folder(above)
    os.makedirs(folder, exist_ok=True)
    sync_directory(above)
