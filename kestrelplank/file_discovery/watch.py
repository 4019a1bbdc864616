"""Watches files: says that one may have changed, by inotify on its folder and by looking now and then.

Whoever hears of it reads the file and judges by its content; a call too many costs a reading. Looking never stops, as
inotify says nothing on some file systems, drops events when its queue is full, and loses a folder that is replaced.
"""

import glob
import os
import time
from collections.abc import Callable
from typing import Any

from kestrelplank.sockets.loop import READ, Loop

WILD = "*?["
RACY = 100_000_000  # ns; above the tick by which any file system keeps its times


class Watch:
    """Files by path or by pattern (`*`, `?` in the last part). `on_change(path)` is called for a file that may have
    changed, come or gone; `on_trouble(why)` where events can't be had or were lost."""

    def __init__(
        self,
        loop: Loop,
        patterns: tuple[str, ...],
        poll: int,
        events: bool,
        on_change: Callable[[str], None],
        on_trouble: Callable[[str], None],
    ) -> None:
        self._loop, self._patterns, self._poll = loop, patterns, poll
        self._on_change, self._on_trouble = on_change, on_trouble
        self._seen: dict[str, tuple | None] = {}  # path to what tells one state of the file from another
        self._inotify: Any = None
        self._folders: dict[int, str] = {}  # watch descriptor to folder
        self._watched: dict[str, tuple[int, tuple]] = {}  # folder to descriptor and identity
        if events:
            self._open()
        self._timer = loop.at(loop.now(), self.look)

    def paths(self) -> list[str]:
        """Files there are or have been, in the order of their names; one that has gone stays."""
        return sorted(self._seen)

    def close(self) -> None:
        self._timer.cancel()
        if self._inotify is not None:
            self._loop.forget(self._inotify)
            self._inotify.close()
            self._inotify = None

    # Looking.

    def look(self) -> None:
        """Looks at all now, and again after `poll`."""
        self._timer.cancel()
        self._look_at_all()
        self._timer = self._loop.at(self._loop.now() + self._poll, self.look)

    def _look_at_all(self) -> None:
        if self._inotify is not None:
            self._watch_folders()
        found = dict.fromkeys(self._seen)
        for pattern in self._patterns:
            if any(letter in os.path.basename(pattern) for letter in WILD):
                found.update(dict.fromkeys(sorted(glob.glob(pattern))))
            else:
                found[pattern] = None
        for path in found:
            self._look_at(path)

    def _look_at(self, path: str) -> None:
        state = identity(path)
        if path not in self._seen or self._seen[path] != state:
            # Written a moment ago, it may be written again without a time to tell it by: then it is read once more.
            racy = state is not None and time.time_ns() - state[3] < RACY
            self._seen[path] = () if racy else state
            self._on_change(path)

    # Events.

    def _open(self) -> None:
        try:
            from inotify_simple import INotify
        except ImportError:
            self._on_trouble("inotify-simple is not installed; files are looked at now and then")
            return
        try:
            self._inotify = INotify(nonblocking=True)
        except OSError as err:
            self._on_trouble(f"no inotify: {err.strerror}; files are looked at now and then")
            return
        self._loop.watch(self._inotify, READ, self._ready)

    def _watch_folders(self) -> None:
        """Each folder that holds a file, or to which a link in a file's path leads, by what it is now: one that was
        replaced under its name is watched anew."""
        from inotify_simple import flags

        mask = (
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
        wanted: dict[str, None] = {}
        for path in (*self._patterns, *self._seen):
            wanted[os.path.dirname(path) or "."] = None
            wanted[os.path.dirname(os.path.realpath(path))] = None
        for folder in wanted:
            now = identity(folder)
            held = self._watched.get(folder)
            if now is None or held is not None and held[1] == now[:2]:
                continue
            if held is not None:
                self._unwatch(folder)
            try:
                descriptor = self._inotify.add_watch(folder, mask)
            except OSError as err:
                self._on_trouble(f"{folder} can't be watched: {err.strerror}; it is looked at now and then")
                continue
            self._folders[descriptor] = folder
            self._watched[folder] = descriptor, now[:2]
        for folder in [folder for folder in self._watched if folder not in wanted]:
            self._unwatch(folder)

    def _unwatch(self, folder: str) -> None:
        descriptor, _ = self._watched.pop(folder)
        if self._folders.pop(descriptor, None) is not None:
            try:
                self._inotify.rm_watch(descriptor)
            except OSError:
                pass  # the folder has gone, and its watch with it

    def _ready(self, events: int) -> None:
        from inotify_simple import flags

        named: dict[str, None] = {}
        for event in self._inotify.read(timeout=0):
            if event.mask & flags.Q_OVERFLOW:
                self._on_trouble("events were lost; all files are looked at")
            if event.mask & flags.IGNORED:
                folder = self._folders.pop(event.wd, None)
                self._watched.pop(folder, None)
            named[event.name] = None
        # A file that was named is read in any case, as a write within one tick of the clock changes no time of its; the
        # others are looked at, as behind links a file has other names.
        for path in list(self._seen):
            if os.path.basename(path) in named or os.path.basename(os.path.realpath(path)) in named:
                self._seen[path] = ()
        self._look_at_all()


def identity(path: str) -> tuple | None:
    """What tells one state of a file from another; None where there is none. Times only tell that something differs,
    never which is newer: clocks are set back."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_dev, found.st_ino, found.st_size, found.st_mtime_ns, found.st_ctime_ns, found.st_mode
