"""Watches files: reports that a file may have changed, by inotify on its directory and by polling.

The receiver reads the file and compares its content, so a superfluous report costs one read. Polling never stops, as
inotify reports nothing on some file systems, drops events when its queue is full, and loses replaced directories.
"""

import contextlib
import glob
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from kestrelplank.sockets.loop import READ, Loop

if TYPE_CHECKING:
    from inotify_simple import INotify  # type: ignore[import-untyped] # the library has no types

WILDCARDS = "*?["
MAX_FILE_TIME_GRANULARITY_NS = 100_000_000  # above the granularity of file times on any file system


class FileIdentity(NamedTuple):
    """Metadata that distinguishes one state of a file from another.

    Times are compared only for equality, never for order, as clocks may be set back.
    """

    device: int
    inode: int
    size: int
    modified_ns: int
    changed_ns: int
    mode: int


class WatchedDirectory(NamedTuple):
    """A directory that inotify watches: watch descriptor, and the directory's identity when the watch was added."""

    descriptor: int
    device: int
    inode: int


class _Unknown:
    """An identity that equals no other, so that the file is read at the next poll."""


UNKNOWN = _Unknown()


class FileWatcher:
    """Watches files given by path or by pattern (wildcards in the last path component).

    :param poll_interval_ns: time between polls of all files.
    :param use_events: whether to use inotify as well, where it is available.
    :param on_change: called with the path of a file that may have been changed, created or deleted.
    :param on_problem: called with the reason when events are not available or were lost.
    """

    def __init__(
        self,
        loop: Loop,
        patterns: tuple[str, ...],
        poll_interval_ns: int,
        *,
        use_events: bool,
        on_change: Callable[[str], None],
        on_problem: Callable[[str], None],
    ) -> None:
        self._loop, self._patterns, self._poll_interval_ns = loop, patterns, poll_interval_ns
        self._on_change, self._on_problem = on_change, on_problem
        self._seen: dict[str, FileIdentity | None | _Unknown] = {}  # None: no such file
        self._inotify: INotify | None = None
        self._directories: dict[int, str] = {}  # by watch descriptor
        self._watched: dict[str, WatchedDirectory] = {}
        if use_events:
            self._open_inotify()
        self._timer = loop.at(loop.now(), self.poll)

    def paths(self) -> list[str]:
        """Return the sorted paths of all files seen so far, including deleted ones."""
        return sorted(self._seen)

    def close(self) -> None:
        """Stop watching."""
        self._timer.cancel()
        if self._inotify is not None:
            self._loop.forget(self._inotify)
            self._inotify.close()
            self._inotify = None

    # Polling

    def poll(self) -> None:
        """Check all files now, and again after the poll interval."""
        self._timer.cancel()
        self._check_all()
        self._timer = self._loop.at(self._loop.now() + self._poll_interval_ns, self.poll)

    def _check_all(self) -> None:
        if self._inotify is not None:
            self._watch_directories(self._inotify)
        paths = dict.fromkeys(self._seen)
        for pattern in self._patterns:
            if any(letter in Path(pattern).name for letter in WILDCARDS):
                matches = glob.glob(pattern)  # noqa: PTH207 - Path.glob takes no absolute pattern
                paths.update(dict.fromkeys(sorted(matches)))
            else:
                paths[pattern] = None
        for path in paths:
            self._check(path)

    def _check(self, path: str) -> None:
        identity = identity_of(path)
        if path not in self._seen or self._seen[path] != identity:
            # A file that was just written may be written again with the same times, so it is read once more.
            fresh = identity is not None and time.time_ns() - identity.modified_ns < MAX_FILE_TIME_GRANULARITY_NS
            self._seen[path] = UNKNOWN if fresh else identity
            self._on_change(path)

    # Events

    def _open_inotify(self) -> None:
        try:
            from inotify_simple import INotify
        except ImportError:
            self._on_problem("inotify-simple is not installed; files are only polled")
            return
        try:
            self._inotify = INotify(nonblocking=True)
        except OSError as err:
            self._on_problem(f"inotify is not available: {err.strerror}; files are only polled")
            return
        self._loop.watch(self._inotify, READ, self._on_readable)

    def _watch_directories(self, inotify: "INotify") -> None:
        """Watch the directory of each file, and the directory that its path resolves to through symbolic links.

        A directory that was replaced by another of the same name gets a new watch.
        """
        wanted: dict[str, None] = {}
        for path in (*self._patterns, *self._seen):
            wanted[os.path.dirname(path) or "."] = None  # noqa: PTH120 - the directory as written, for inotify and messages
            wanted[str(Path(os.path.realpath(path)).parent)] = None
        for directory in wanted:
            identity = identity_of(directory)
            watched = self._watched.get(directory)
            if identity is None or watched is not None and watched[1:] == identity[:2]:
                continue
            if watched is not None:
                self._unwatch(inotify, directory)
            self._watch(inotify, directory, identity)
        for directory in [directory for directory in self._watched if directory not in wanted]:
            self._unwatch(inotify, directory)

    def _watch(self, inotify: "INotify", directory: str, identity: FileIdentity) -> None:
        try:
            descriptor = inotify.add_watch(directory, _event_mask())
        except OSError as err:
            self._on_problem(f"{directory} can't be watched: {err.strerror}; its files are only polled")
            return
        self._directories[descriptor] = directory
        self._watched[directory] = WatchedDirectory(descriptor, identity.device, identity.inode)

    def _unwatch(self, inotify: "INotify", directory: str) -> None:
        watched = self._watched.pop(directory)
        if self._directories.pop(watched.descriptor, None) is not None:
            with contextlib.suppress(OSError):  # the directory was deleted, and its watch with it
                inotify.rm_watch(watched.descriptor)

    def _on_readable(self, _events: int) -> None:
        from inotify_simple import flags

        if self._inotify is None:
            return
        named: set[str] = set()
        for event in self._inotify.read(timeout=0):
            if event.mask & flags.Q_OVERFLOW:
                self._on_problem("inotify events were lost; checking all files")
            if event.mask & flags.IGNORED:
                directory = self._directories.pop(event.wd, "")
                self._watched.pop(directory, None)
            named.add(event.name)
        # A file named by an event is read in any case, as a second write within the granularity of file times does not
        # change them. The other files are checked too, as a file behind a symbolic link has another name.
        for path in list(self._seen):
            if Path(path).name in named or Path(os.path.realpath(path)).name in named:
                self._seen[path] = UNKNOWN
        self._check_all()


def _event_mask() -> int:
    """Return the inotify events to watch for: all that may change the files of a directory."""
    from inotify_simple import flags

    mask: int = (
        flags.CREATE
        | flags.CLOSE_WRITE
        | flags.MODIFY
        | flags.MOVED_FROM
        | flags.MOVED_TO
        | flags.DELETE
        | flags.DELETE_SELF
        | flags.MOVE_SELF
        | flags.ATTRIB
        | flags.ONLYDIR
    )
    return mask


def identity_of(path: str) -> FileIdentity | None:
    """Return the identity of a file's current state; None if there is no such file."""
    try:
        status = Path(path).stat()
    except OSError:
        return None
    return FileIdentity(
        status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns, status.st_mode
    )
