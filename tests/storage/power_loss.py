"""A simulated disk that loses power, or fails, before any call that changes or syncs a file or folder.

The calls go to the real folder, which shows all writes, synced or not, as a running system does. The disk also tracks
what a power loss could leave:

- each name created, renamed or removed since the last sync of the folder may be present or lost independently;
- of each file's unsynced writes and truncations: none, all, or any prefix (by a stride), with and without the file's
  new length, and with holes at the front and in the middle;
- a failed sync may have written its data in part; a later sync does not write that data, unless it was written again.
"""

import itertools
import os
import tempfile

HOLE_BYTES = 64  # size of a hole in the middle


class PowerLostError(Exception):
    pass


class File:
    """The possible durable contents of one file, and the data that the next sync will write."""

    def __init__(self, durable=b""):
        self.visible = durable
        self.durable = [durable]  # more than one after a failed sync
        self._begin()

    def written(self, visible, start, end):
        self.unsynced.append((start, end))
        self.length_unsynced |= len(visible) != len(self.visible)
        self._set_visible(visible)

    def truncated(self, visible):
        self.length_unsynced |= len(visible) != len(self.visible)
        self._set_visible(visible)

    def _set_visible(self, visible):
        self.visible = visible
        self.versions.append(visible)

    def synced(self):
        self.durable = list(dict.fromkeys(self._with_unsynced(old) for old in self.durable))
        self._begin()

    def _with_unsynced(self, old):
        length = len(self.visible) if self.length_unsynced else len(old)
        data = bytearray(old[:length].ljust(length, b"\0"))
        for start, end in self.unsynced:
            end = min(end, length, len(self.visible))
            data[start:end] = self.visible[start:end]
        return bytes(data)

    def sync_failed(self):
        """Record that the sync wrote any part of the data; three cases represent all: none, half and all of it."""
        halves = [half for old in self.durable for half in self._torn(old, HOLE_BYTES)]
        self.durable = list(dict.fromkeys([*self.durable, *halves[len(halves) // 2 :][:1], self.visible]))
        self._begin()

    def _begin(self):
        self.unsynced, self.length_unsynced, self.versions = [], False, []

    def contents(self, stride):
        """Return each content that a power loss may leave, without duplicates."""
        contents = dict.fromkeys([*self.durable, *self.versions])
        if self.unsynced or self.length_unsynced:
            for old in self.durable:
                contents.update(dict.fromkeys(self._torn(old, stride)))
        return list(contents)

    def _torn(self, old, stride):
        new = self.visible
        length = max(len(old), len(new))
        full = old.ljust(len(new), b"\0")  # the new length is on disk, the new bytes are not
        start = next((at for at, (was, now) in enumerate(zip(old, new)) if was != now), min(len(old), len(new)))
        for at in range(start, length + 1, stride):
            yield new[:at] + old[at:]
            yield new[:at] + full[at:]
            yield full[:at] + new[at:]
            yield new[:at] + full[at : at + HOLE_BYTES] + new[at + HOLE_BYTES :]


class Disk:
    """The disk of one folder, active while it is installed with pytest's monkeypatch."""

    def __init__(self, folder):
        self.folder = folder
        self.names = {}  # name -> the files it may lead to after a power loss (None: no such name), last the current one
        self.arm()
        os.makedirs(folder, exist_ok=True)
        for name in os.listdir(folder):
            self.names[name] = [File(self._read(name))]

    def install(self, monkeypatch):
        self.real = {
            name: getattr(os, name) for name in ("replace", "unlink", "fsync", "fdatasync", "pwrite", "ftruncate")
        }
        self.real["mkstemp"] = tempfile.mkstemp
        for name in self.real:
            monkeypatch.setattr(tempfile if name == "mkstemp" else os, name, getattr(self, name))

    def arm(self, at=None, error=None, persistent=False):
        """Make call number `at` (0: the next one) lose power, or raise `error` if it is given; None: no call.

        `persistent`: all later calls too.
        """
        self.calls, self.stop_at, self.error, self.persistent, self.log = 0, at, error, persistent, []

    def _fails(self, call):
        """Count a call; return whether it is to fail. Raises PowerLostError if it loses power."""
        self.log.append(call)
        self.calls += 1
        if self.stop_at is None or self.calls <= self.stop_at or self.calls > self.stop_at + 1 and not self.persistent:
            return False
        if self.error is None:
            raise PowerLostError
        return True

    # The patched calls. Calls on other folders are passed through and not counted.

    def mkstemp(self, suffix=None, prefix=None, dir=None):
        if not self._is_in_folder(dir):
            return self.real["mkstemp"](suffix, prefix, dir)
        if self._fails("mkstemp"):
            raise self.error
        fd, path = self.real["mkstemp"](suffix, prefix, dir)
        self._point_to(path, File())
        return fd, path

    def replace(self, source, target):
        if not self._is_in_folder(target):
            return self.real["replace"](source, target)
        if self._fails("replace"):
            raise self.error
        self.real["replace"](source, target)
        self._point_to(target, self.names[os.path.basename(source)][-1])
        self._point_to(source, None)

    def unlink(self, path):
        if not self._is_in_folder(path):
            return self.real["unlink"](path)
        if self._fails("unlink"):
            raise self.error
        self.real["unlink"](path)
        self._point_to(path, None)

    def pwrite(self, fd, data, offset):
        if not self._is_in_folder(path_of(fd)):
            return self.real["pwrite"](fd, data, offset)
        fails = self._fails("pwrite")
        if fails:
            data = data[: len(data) // 2]  # a disk that becomes full writes a part
        written = self.real["pwrite"](fd, data, offset)
        self._file(fd).written(content_of(fd), offset, offset + written)
        if fails:
            raise self.error
        return written

    def ftruncate(self, fd, length):
        if not self._is_in_folder(path_of(fd)):
            return self.real["ftruncate"](fd, length)
        if self._fails("ftruncate"):
            raise self.error
        self.real["ftruncate"](fd, length)
        self._file(fd).truncated(content_of(fd))

    def fsync(self, fd):
        self._sync(fd, "fsync")

    def fdatasync(self, fd):
        self._sync(fd, "fdatasync")

    def _sync(self, fd, call):
        path = path_of(fd)
        if not self._is_in_folder(path):
            return
        fails = self._fails("sync folder" if path == self.folder else call)
        if path == self.folder:
            if fails:
                raise self.error
            self.names = {name: files[-1:] for name, files in self.names.items() if files[-1] is not None}
            return
        file, content = self._file(fd), content_of(fd)
        if content != file.visible:  # written by calls that are not patched
            file.written(content, 0, len(content))
        if fails:
            file.sync_failed()
            raise self.error
        file.synced()

    def _is_in_folder(self, path):
        path = os.fspath(path)
        return self.folder in (path, os.path.dirname(path))

    def _file(self, fd):
        return self.names[os.path.basename(path_of(fd))][-1]

    def _read(self, name):
        with open(os.path.join(self.folder, name), "rb") as file:
            return file.read()

    def _point_to(self, path, file):
        self.names.setdefault(os.path.basename(path), [None]).append(file)

    # Results of a power loss.

    def outcomes(self, stride):
        """Yield each folder that a power loss may leave now, as a map of names to contents."""
        names = list(self.names)
        for files in itertools.product(*(dict.fromkeys(self.names[name]) for name in names)):
            present = {name: file for name, file in zip(names, files) if file is not None}
            choices = [self._choices(name, file, stride) for name, file in present.items()]
            for contents in itertools.product(*choices):
                yield dict(zip(present, contents))

    @staticmethod
    def _choices(name, file, stride):
        """Return the contents to test; one torn content is enough for temporary files, which are removed unread."""
        contents = file.contents(stride)
        return contents[len(contents) // 2 :][:1] if name.startswith(".") else contents


def path_of(fd):
    return os.readlink(f"/proc/self/fd/{fd}")


def content_of(fd):
    with open(f"/proc/self/fd/{fd}", "rb") as file:
        return file.read()


def fill(folder, contents):
    """Replace the files of `folder` with these."""
    os.makedirs(folder, exist_ok=True)
    for name in os.listdir(folder):
        os.unlink(os.path.join(folder, name))
    for name, content in contents.items():
        with open(os.path.join(folder, name), "wb") as file:
            file.write(content)
