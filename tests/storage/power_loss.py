"""A disk that may lose its power, or refuse, before each call that changes or syncs anything.

The calls go to the real folder, which shows what a running system shows: all that was written, synced or not. Beside it
the disk knows what would be left if power went now:

- each name that was made, renamed or removed since its folder was synced, kept or lost by itself;
- of each file what was written or cut since its last sync: nothing, all, each prefix (by a stride), with and without the
  file's new length, and with holes at the front and in the middle;
- what a failed sync should have written, it may have written in part; a later sync writes none of it, unless it was
  written again meanwhile.
"""

import itertools
import os
import tempfile

HOLE = 64  # bytes of a hole in the middle


class PowerLost(Exception):
    pass


class File:
    """One file's contents: what the disk may have, and what is due to reach it with the next sync."""

    def __init__(self, durable=b""):
        self.seen = durable
        self.durable = [durable]  # more than one after a sync that failed
        self._begin()

    def written(self, seen, start, end):
        self.due.append((start, end))
        self.length_due |= len(seen) != len(self.seen)
        self._see(seen)

    def cut(self, seen):
        self.length_due |= len(seen) != len(self.seen)
        self._see(seen)

    def _see(self, seen):
        self.seen = seen
        self.versions.append(seen)

    def synced(self):
        self.durable = list(dict.fromkeys(self._with_due(old) for old in self.durable))
        self._begin()

    def _with_due(self, old):
        length = len(self.seen) if self.length_due else len(old)
        data = bytearray(old[:length].ljust(length, b"\0"))
        for start, end in self.due:
            end = min(end, length, len(self.seen))
            data[start:end] = self.seen[start:end]
        return bytes(data)

    def sync_failed(self):
        """Each content that a loss of power could have left just before may be what the disk has from now on; three
        stand for all: nothing of it, half of it, all of it."""
        halves = [half for old in self.durable for half in self._torn(old, HOLE)]
        self.durable = list(dict.fromkeys([*self.durable, *halves[len(halves) // 2 :][:1], self.seen]))
        self._begin()

    def _begin(self):
        self.due, self.length_due, self.versions = [], False, []

    def contents(self, stride):
        """All that a loss of power may leave, each once."""
        found = dict.fromkeys([*self.durable, *self.versions])
        if self.due or self.length_due:
            for old in self.durable:
                found.update(dict.fromkeys(self._torn(old, stride)))
        return list(found)

    def _torn(self, old, stride):
        new = self.seen
        length = max(len(old), len(new))
        full = old.ljust(len(new), b"\0")  # the new length came down, the bytes did not
        start = next((at for at, (one, other) in enumerate(zip(old, new)) if one != other), min(len(old), len(new)))
        for at in range(start, length + 1, stride):
            yield new[:at] + old[at:]
            yield new[:at] + full[at:]
            yield full[:at] + new[at:]
            yield new[:at] + full[at : at + HOLE] + new[at + HOLE :]


class Disk:
    """The folder's disk while `installed` with pytest's monkeypatch."""

    def __init__(self, folder):
        self.folder = folder
        self.names = {}  # name -> files (None: no such name) that it may lead to, the last one as it is seen
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

    def arm(self, at=None, refusal=None, lasting=False):
        """From now on call number `at` (0: the next one) finds the power gone, or is refused with this OSError;
        `lasting`: so are all after it."""
        self.calls, self.stop_at, self.refusal, self.lasting, self.log = 0, at, refusal, lasting, []

    def _refused(self, call):
        """Counts a call. Whether it is to be refused; raises PowerLost."""
        self.log.append(call)
        self.calls += 1
        if self.stop_at is None or self.calls <= self.stop_at or self.calls > self.stop_at + 1 and not self.lasting:
            return False
        if self.refusal is None:
            raise PowerLost
        return True

    # The patched calls. What is done to other folders passes through uncounted.

    def mkstemp(self, suffix=None, prefix=None, dir=None):
        if not self._ours(dir):
            return self.real["mkstemp"](suffix, prefix, dir)
        if self._refused("mkstemp"):
            raise self.refusal
        fd, path = self.real["mkstemp"](suffix, prefix, dir)
        self._lead(path, File())
        return fd, path

    def replace(self, source, target):
        if not self._ours(target):
            return self.real["replace"](source, target)
        if self._refused("replace"):
            raise self.refusal
        self.real["replace"](source, target)
        self._lead(target, self.names[os.path.basename(source)][-1])
        self._lead(source, None)

    def unlink(self, path):
        if not self._ours(path):
            return self.real["unlink"](path)
        if self._refused("unlink"):
            raise self.refusal
        self.real["unlink"](path)
        self._lead(path, None)

    def pwrite(self, fd, data, place):
        if not self._ours(path_of(fd)):
            return self.real["pwrite"](fd, data, place)
        refused = self._refused("pwrite")
        if refused:
            data = data[: len(data) // 2]  # a disk that gets full takes a part
        written = self.real["pwrite"](fd, data, place)
        self._file(fd).written(content_of(fd), place, place + written)
        if refused:
            raise self.refusal
        return written

    def ftruncate(self, fd, length):
        if not self._ours(path_of(fd)):
            return self.real["ftruncate"](fd, length)
        if self._refused("ftruncate"):
            raise self.refusal
        self.real["ftruncate"](fd, length)
        self._file(fd).cut(content_of(fd))

    def fsync(self, fd):
        self._sync(fd, "fsync")

    def fdatasync(self, fd):
        self._sync(fd, "fdatasync")

    def _sync(self, fd, call):
        path = path_of(fd)
        if not self._ours(path):
            return
        refused = self._refused("sync folder" if path == self.folder else call)
        if path == self.folder:
            if refused:
                raise self.refusal
            self.names = {name: files[-1:] for name, files in self.names.items() if files[-1] is not None}
            return
        file, content = self._file(fd), content_of(fd)
        if content != file.seen:  # written by calls that aren't patched
            file.written(content, 0, len(content))
        if refused:
            file.sync_failed()
            raise self.refusal
        file.synced()

    def _ours(self, path):
        path = os.fspath(path)
        return self.folder in (path, os.path.dirname(path))

    def _file(self, fd):
        return self.names[os.path.basename(path_of(fd))][-1]

    def _read(self, name):
        with open(os.path.join(self.folder, name), "rb") as file:
            return file.read()

    def _lead(self, path, file):
        self.names.setdefault(os.path.basename(path), [None]).append(file)

    # What is left.

    def outcomes(self, stride):
        """Each folder that a loss of power may leave now, as names and contents."""
        names = list(self.names)
        for files in itertools.product(*(dict.fromkeys(self.names[name]) for name in names)):
            kept = {name: file for name, file in zip(names, files) if file is not None}
            choices = [self._choices(name, file, stride) for name, file in kept.items()]
            for contents in itertools.product(*choices):
                yield dict(zip(kept, contents))

    @staticmethod
    def _choices(name, file, stride):
        """Temporary files are removed unread: one content, a torn one, stands for all."""
        contents = file.contents(stride)
        return contents[len(contents) // 2 :][:1] if name.startswith(".") else contents


def path_of(fd):
    return os.readlink(f"/proc/self/fd/{fd}")


def content_of(fd):
    with open(f"/proc/self/fd/{fd}", "rb") as file:
        return file.read()


def fill(folder, contents):
    """Makes `folder` hold these files and no others."""
    os.makedirs(folder, exist_ok=True)
    for name in os.listdir(folder):
        os.unlink(os.path.join(folder, name))
    for name, content in contents.items():
        with open(os.path.join(folder, name), "wb") as file:
            file.write(content)
