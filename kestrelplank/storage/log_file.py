"""A member's durable state: one file that is appended to, and replaced when the log is compacted.

    log                             the member's incarnation, hard state, snapshot and entries
    configuration-<version>.json    plain copies for operators (`readable_copies`), never read here

`log` is a sequence of frames (`frames`). The first, the head, has the member's incarnation, hard state, snapshot and
entries as they were when the file was made; each later one has one batch: a hard state, entries, or both (`records`).
How a start reads them, and a file that is torn or damaged, is in `recovery`. No `log` at all is an empty disk: the
member draws an incarnation and keeps it.
"""

import errno
import logging
import os
from collections.abc import Sequence
from pathlib import Path

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import HardState
from kestrelplank.file_discovery.atomic_write import sync_directory
from kestrelplank.storage import readable_copies
from kestrelplank.storage.entries import check_contiguous, merge_persists
from kestrelplank.storage.errors import (
    CorruptLogError,
    IncarnationMismatchError,
    LogReplacedError,
    NoIncarnationError,
)
from kestrelplank.storage.files import (
    make_folder,
    read_all,
    remove_leftovers,
    replace_file,
    truncate_durably,
    write_at,
)
from kestrelplank.storage.frames import HEAD_SALT, SALT_BYTES, Frame, encode_frame
from kestrelplank.storage.records import Batch, LogContent, encode_batch, encode_head
from kestrelplank.storage.recovery import recover

FILE_NAME = "log"
TEMPORARY_PREFIX = f".{FILE_NAME}."  # of the names of log files that are being made
NOT_OPEN = -1
log = logging.getLogger("storage")


class LogFile:
    """The log in one folder, which is made where it is missing.

    `load` comes first, then, where it found no incarnation, `store_incarnation`, then `write`. All calls block, and
    raise OSError where the disk refuses: an adapter makes them in a thread of its own, one at a time. The file grows
    with each batch; its owner compares `size_bytes` with a bound and writes a snapshot when that is exceeded. So the
    file is at most a batch larger than the bound; while a new file replaces it, the folder has both.

    Invariants, each with the test in `tests/storage/` that holds it:

    - A write is durable completely or not at all, wherever power is lost
      (`test_power_lost_at_each_call_of_a_write_leaves_all_of_it_or_none`), and after a refusal too
      (`test_power_lost_after_a_refusal_leaves_all_or_none`).
    - A batch is one write and one sync, however many `Persist` it joins
      (`test_one_write_and_one_sync_for_each_batch_however_many_it_joins`).
    - What `load` returns is durable: power lost later does not take it back
      (`test_what_a_start_finds_after_a_refusal_lasts`).
    - Nothing is appended behind what a refused write left
      (`test_a_refused_write_is_cut_off_durably_before_the_next_and_no_other_pays_for_it`), nor to a file whose name may
      yet be forgotten (`test_nothing_is_appended_to_a_new_file_before_its_name_is_durable`).
    - Damage is never believed (`test_a_byte_changed_anywhere_is_never_believed`).
    - A disk has one incarnation for good (`test_the_incarnation_is_kept_and_no_other_takes_its_place`).
    """

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.path = self.folder / FILE_NAME
        self.size_bytes = 0  # of the file, as far as it is durable
        self.frame_count = 0  # in the file, the head included
        self._fd = NOT_OPEN
        self._salt = b""
        self._tail_cut_due = False  # a refused write may have left something behind the durable end
        self._folder_sync_due = False  # the file was renamed since the folder was last synced
        self._incarnation: str | None = None
        self._hard_state = HardState()
        self._first_index = 1
        self._last_index = 0
        make_folder(self.folder)

    def load(self) -> LogContent:
        """Read the disk, and make sure that what is returned is durable.

        :raises LogFormatError: another release wrote the file; nothing is removed then.
        """
        self.close()
        self.size_bytes, self.frame_count = 0, 0
        remove_leftovers(self.folder, (TEMPORARY_PREFIX, readable_copies.TEMPORARY_PREFIX))
        try:
            return self._open()
        except FileNotFoundError:
            return LogContent()
        except CorruptLogError as err:
            log.warning("Storage: %s: %s; this disk counts as empty", self.path, err)
        self.close()
        self.path.unlink()  # should a loss of power bring it back, it is found corrupt again
        return LogContent()

    def store_incarnation(self, incarnation: str) -> None:
        """Make this member's identity durable on an empty disk, with an empty log.

        :raises IncarnationMismatchError: the disk is another member's.
        """
        if self._incarnation is not None and self._incarnation != incarnation:
            raise IncarnationMismatchError(self._incarnation, incarnation)
        if self._incarnation is None:
            self._replace(incarnation, LogContent(incarnation))
        self._finish_replacing()  # also where a call before made the file, and failed to sync its name

    def write(self, persists: Sequence[Persist]) -> None:
        """Make all of these durable, or none.

        :raises OSError: the disk refuses; the next call must begin with the same ones.
        :raises MissingEntryError: the entries do not follow those on disk.
        :raises NoIncarnationError: no incarnation is kept yet.
        """
        if self._incarnation is None:
            raise NoIncarnationError
        self._finish_replacing()
        merged = merge_persists(persists, self._first_index - 1)
        if merged.snapshot is not None:
            check_contiguous(merged.entries, merged.snapshot.index)
            hard_state = merged.hard_state or self._hard_state
            compacted = LogContent(self._incarnation, hard_state, merged.snapshot, merged.entries)
            self._replace(self._incarnation, compacted)
            self._finish_replacing()
        elif merged.hard_state is not None or merged.entries:
            check_contiguous(merged.entries, self._last_index)
            self._append(Batch(merged.hard_state, merged.entries))

    def write_configuration_copy(self, version: int, text: bytes) -> None:
        """Write a readable copy of a configuration for operators; a refusal is only logged."""
        readable_copies.write_readable_copy(self.folder, version, text)

    def close(self) -> None:
        """Close the file; what `write` returned from is durable already."""
        if self._fd != NOT_OPEN:
            os.close(self._fd)
        self._fd, self._incarnation = NOT_OPEN, None

    # Reading.

    def _open(self) -> LogContent:
        """Read the file and make it ready to be appended to.

        :raises CorruptLogError: the disk lost what it had synced.
        """
        self._fd = os.open(self.path, os.O_RDWR)
        data = read_all(self._fd)
        recovered = recover(data)
        self._make_durable(data, recovered.last_frame)
        self._set_content(recovered.content, recovered.salt, recovered.last_frame.end, recovered.frame_count)
        return recovered.content

    def _make_durable(self, data: bytes, last_frame: Frame) -> None:
        """Make durable what was read, and cut off what is behind it.

        A process that ended between a write and its sync, or in a sync that failed, left a last frame or a length that
        only memory may have, and that no further sync would write (A. Rebello et al., Can Applications Recover from
        fsync Failures?, ATC 2020). The frame is written again over itself, which does not change blocks that are on the
        disk already, and the length is set anew; a head was synced before it had its name.
        """
        if last_frame.start > 0:
            write_at(self._fd, data[last_frame.start : last_frame.end], last_frame.start)
        os.ftruncate(self._fd, last_frame.end + 1)  # another length, so that the cut below is a change to be synced
        truncate_durably(self._fd, last_frame.end)
        sync_directory(str(self.folder))

    def _set_content(self, content: LogContent, salt: bytes, size_bytes: int, frame_count: int) -> None:
        """Take note of what the open file contains, so that batches can be appended to it."""
        self._incarnation, self._hard_state, self._salt = content.incarnation, content.hard_state, salt
        self._first_index, self._last_index = content.first_index, content.last_index
        self.size_bytes, self.frame_count = size_bytes, frame_count
        self._tail_cut_due = False

    # Appending.

    def _append(self, batch: Batch) -> None:
        """Append a batch: one write and one sync."""
        if self._tail_cut_due:
            self._cut_tail()
        self._check_not_replaced()
        frame = encode_frame(self._salt, self.size_bytes, encode_batch(batch))
        try:
            write_at(self._fd, frame, self.size_bytes)
            os.fdatasync(self._fd)
        except OSError:
            self._tail_cut_due = True
            self._cut_tail_if_possible()
            raise
        self.size_bytes += len(frame)
        self.frame_count += 1
        self._hard_state = batch.hard_state or self._hard_state
        if batch.entries:
            self._last_index = batch.entries[-1].index

    def _cut_tail(self) -> None:
        """Cut off what a refused write may have left.

        After a failed sync the system may hold pages for written that are not on disk, so the frame can't be kept.
        """
        truncate_durably(self._fd, self.size_bytes)
        self._tail_cut_due = False

    def _cut_tail_if_possible(self) -> None:
        """Cut it off now where the disk lets us; else the next write does so first."""
        try:
            self._cut_tail()
        except OSError as err:
            log.warning("Storage: what a refused write left behind can't be removed yet: %s", err)

    def _check_not_replaced(self) -> None:
        """Check that the open file is the one that the next start will read.

        By length and not by inode: some file systems number an open file and its name apart.

        :raises LogReplacedError: it is another file.
        """
        if self.path.stat().st_size != self.size_bytes:
            raise LogReplacedError(errno.ESTALE, "the log was moved or replaced", str(self.path))

    # Compaction.

    def _replace(self, incarnation: str, content: LogContent) -> None:
        """Put a new file with this content in the place of the old one, complete or not at all.

        `_finish_replacing` must follow before anything in the new file counts as durable.
        """
        salt = os.urandom(SALT_BYTES)
        head = encode_frame(HEAD_SALT, 0, encode_head(salt, incarnation, content))
        old_fd, self._fd = self._fd, replace_file(self.path, head, TEMPORARY_PREFIX)
        self._folder_sync_due = True
        self._set_content(content, salt, len(head), 1)
        if old_fd != NOT_OPEN:
            os.close(old_fd)

    def _finish_replacing(self) -> None:
        """Make the new file's name durable; until then a loss of power may bring the old file back."""
        if self._folder_sync_due:
            sync_directory(str(self.folder))
            self._folder_sync_due = False
