"""A member's durable state: one file that is appended to, and replaced when the log is compacted.

    log                             the member's incarnation, hard state, snapshot and entries
    configuration-<version>.json    plain copies for operators (`readable_copies`), never read here

Both contain the API keys of tenants, so only the owner may read them.

`log` is a sequence of frames (`frames`). The first, the head, contains the member's incarnation, hard state, snapshot
and entries at the time when the file was created; each later one contains one batch: a hard state, entries, or both
(`records`). `recovery` describes how a start reads the file, also if it is torn or damaged. A missing `log` means that
the disk is empty: the member chooses a new incarnation and stores it.
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
    create_folder,
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
TEMPORARY_PREFIX = f".{FILE_NAME}."  # names of log files that are being written
NOT_OPEN = -1
log = logging.getLogger("storage")


class LogFile:
    """The log in one folder, which is created if it is missing.

    Call `load` first, then `store_incarnation` if there was no incarnation, then `write`. All calls block, and raise
    OSError if the disk fails; the caller runs them in a separate thread, one at a time. The file grows with each batch;
    its owner compares `size_bytes` with a limit and writes a snapshot once that is exceeded. So the file exceeds the
    limit by one batch at most; while a new file replaces it, the folder contains both.

    Invariants, each with the test in `tests/storage/` that checks it:

    - A write is atomic, wherever power is lost (`test_power_loss_at_any_call_of_a_write_leaves_all_or_nothing`), also
      after a disk error (`test_power_loss_after_a_disk_error_leaves_all_or_nothing`).
    - A batch takes one write and one sync, however many `Persist` it merges
      (`test_batch_takes_one_write_and_one_sync_however_many_persists_it_merges`).
    - What `load` returns is durable and survives a later power loss
      (`test_state_loaded_after_a_disk_error_survives_power_loss`).
    - Nothing is appended after the remains of a failed write
      (`test_failed_write_is_truncated_once_durably_before_the_next_write`), nor to a new file whose name is not durable
      (`test_nothing_is_appended_to_a_new_file_before_its_name_is_durable`).
    - Damaged data is never loaded (`test_data_with_a_changed_byte_is_never_loaded`).
    - A disk keeps its first incarnation (`test_incarnation_is_stored_and_cannot_be_replaced`).
    """

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.path = self.folder / FILE_NAME
        self.size_bytes = 0  # of the durable part of the file
        self.frame_count = 0  # in the file, including the head
        self._fd = NOT_OPEN
        self._salt = b""
        self._tail_truncation_pending = False  # a failed write may have left bytes after the durable end
        self._folder_sync_pending = False  # the folder was not synced since the file was renamed
        self._incarnation: str | None = None
        self._hard_state = HardState()
        self._first_index = 1
        self._last_index = 0
        create_folder(self.folder)

    def load(self) -> LogContent:
        """Read the log, and ensure that the returned content is durable.

        :raises LogFormatError: the format is not supported by this release; the file is not changed.
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
        self.path.unlink()  # if it reappears after a power loss, the next start finds it corrupt again
        return LogContent()

    def store_incarnation(self, incarnation: str) -> None:
        """Store this member's incarnation durably on an empty disk, with an empty log.

        :raises IncarnationMismatchError: the disk stores another incarnation.
        """
        if self._incarnation is not None and self._incarnation != incarnation:
            raise IncarnationMismatchError(self._incarnation, incarnation)
        if self._incarnation is None:
            self._replace(incarnation, LogContent(incarnation))
        self._finish_replacing()  # needed too if an earlier call wrote the file but failed to sync the folder

    def write(self, persists: Sequence[Persist]) -> None:
        """Make all the writes durable, or none.

        :raises OSError: the disk failed; the next call must start with the same writes.
        :raises MissingEntryError: the entries are not contiguous with those on disk.
        :raises NoIncarnationError: no incarnation is stored yet.
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
        """Write a readable copy of a configuration for operators; errors are only logged."""
        readable_copies.write_readable_copy(self.folder, version, text)

    def close(self) -> None:
        """Close the file; completed writes are durable already."""
        if self._fd != NOT_OPEN:
            os.close(self._fd)
        self._fd, self._incarnation = NOT_OPEN, None

    # Reading.

    def _open(self) -> LogContent:
        """Read the file and prepare it for appending.

        :raises CorruptLogError: the disk lost or changed synced data.
        """
        self._fd = os.open(self.path, os.O_RDWR)
        data = read_all(self._fd)
        recovered = recover(data)
        self._make_durable(data, recovered.last_frame)
        self._set_content(recovered.content, recovered.salt, recovered.last_frame.end, recovered.frame_count)
        return recovered.content

    def _make_durable(self, data: bytes, last_frame: Frame) -> None:
        """Make the intact frames durable, and truncate the file after them.

        If the process ended between a write and its sync, or after a failed sync, the last frame or the file's length
        may exist only in the page cache, and no later sync would write them (A. Rebello et al., Can Applications
        Recover from fsync Failures?, ATC 2020). So the last frame is rewritten in place, which leaves blocks already on
        disk unchanged, and the length is set again. A head needs no rewrite: it was synced before the file got its
        name.
        """
        if last_frame.start > 0:
            write_at(self._fd, data[last_frame.start : last_frame.end], last_frame.start)
        os.ftruncate(self._fd, last_frame.end + 1)  # so that the truncation below changes the length and is synced
        truncate_durably(self._fd, last_frame.end)
        sync_directory(str(self.folder))

    def _set_content(self, content: LogContent, salt: bytes, size_bytes: int, frame_count: int) -> None:
        """Record the content of the open file, as appending needs it."""
        self._incarnation, self._hard_state, self._salt = content.incarnation, content.hard_state, salt
        self._first_index, self._last_index = content.first_index, content.last_index
        self.size_bytes, self.frame_count = size_bytes, frame_count
        self._tail_truncation_pending = False

    # Appending.

    def _append(self, batch: Batch) -> None:
        """Append a batch: one write and one sync."""
        if self._tail_truncation_pending:
            self._truncate_tail()
        self._check_not_replaced()
        frame = encode_frame(self._salt, self.size_bytes, encode_batch(batch))
        try:
            write_at(self._fd, frame, self.size_bytes)
            os.fdatasync(self._fd)
        except OSError:
            self._tail_truncation_pending = True
            self._truncate_tail_if_possible()
            raise
        self.size_bytes += len(frame)
        self.frame_count += 1
        self._hard_state = batch.hard_state or self._hard_state
        if batch.entries:
            self._last_index = batch.entries[-1].index

    def _truncate_tail(self) -> None:
        """Truncate what a failed write may have left.

        After a failed sync the kernel may treat pages as written that are not on disk, so the frame can't be kept.
        """
        truncate_durably(self._fd, self.size_bytes)
        self._tail_truncation_pending = False

    def _truncate_tail_if_possible(self) -> None:
        """Truncate now if possible; otherwise the next write does so first."""
        try:
            self._truncate_tail()
        except OSError as err:
            log.warning("Storage: can't truncate the remains of a failed write, the next write tries again: %s", err)

    def _check_not_replaced(self) -> None:
        """Check that the open file is still the one at the log's path, which the next start reads.

        Compares lengths, as some file systems report different inodes for an open file and its path.

        :raises LogReplacedError: the path leads to another file.
        """
        if self.path.stat().st_size != self.size_bytes:
            raise LogReplacedError(errno.ESTALE, "the log was moved or replaced", str(self.path))

    # Compaction.

    def _replace(self, incarnation: str, content: LogContent) -> None:
        """Atomically replace the old file with a new one that has this content.

        The content is durable only after `_finish_replacing`.
        """
        salt = os.urandom(SALT_BYTES)
        head = encode_frame(HEAD_SALT, 0, encode_head(salt, incarnation, content))
        old_fd, self._fd = self._fd, replace_file(self.path, head, TEMPORARY_PREFIX)
        self._folder_sync_pending = True
        self._set_content(content, salt, len(head), 1)
        if old_fd != NOT_OPEN:
            os.close(old_fd)

    def _finish_replacing(self) -> None:
        """Make the new file's name durable; until then the old file may reappear after a power loss."""
        if self._folder_sync_pending:
            sync_directory(str(self.folder))
            self._folder_sync_pending = False
