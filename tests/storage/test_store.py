"""A member's disk: what every store keeps, and of the one on disk what a loss of power, a torn file or a refused write
leave behind."""

import os
import shutil
from functools import partial

import lmdb
import pytest
from configuration.test_keeping import word
from storage.memory import Memory

from kestrelplank.files import whole
from kestrelplank.sharding.claims import Register
from kestrelplank.storage.store import Store

MEMBERS = ("a:1", "b:1", "c:1")
RECORD = [[0, 65535, "s", "s:80", 2_000_001, None]]


@pytest.fixture
def folder(tmp_path):
    return str(tmp_path / "member")


@pytest.fixture(params=["memory", "disk"])
def store(request, folder):
    return Memory() if request.param == "memory" else Store(folder)


def again(store):
    store.close()
    return store if isinstance(store, Memory) else Store(store.folder)


# What every store does.


def test_an_empty_disk_vouches_for_nothing(store):
    assert store.roll() is None and store.word() is None and store.registers() == {}


def test_what_was_kept_is_there_after_a_start(store):
    store.keep_roll(MEMBERS)
    store.keep_word(word(5))
    registers = {"views": Register((3, "a:1"), (2, "b:1"), 7, RECORD), "orders": Register((1, "c:1"))}
    store.keep_registers(registers)
    store = again(store)
    assert store.roll() == MEMBERS and store.word().text == word(5).text and store.registers() == registers


def test_the_highest_word_counts_in_whatever_order_they_were_kept(store):
    for version in (5, 9, 7, 300, 8):
        store.keep_word(word(version))
    assert again(store).word().key.version == 300


def test_a_write_that_comes_late_takes_no_promise_back(store):
    newer = Register((4, "b:1"), (2, "b:1"), 7, RECORD)
    store.keep_registers({"views": newer})
    store.keep_registers({"views": Register((3, "a:1"), (3, "a:1"), 1, [])})
    assert again(store).registers() == {"views": Register((4, "b:1"), (3, "a:1"), 1, [])}


# The one on disk.


def test_old_versions_go(folder):
    store = Store(folder)
    for version in (5, 9, 7, 300):
        store.keep_word(word(version))
    assert len([name for name in os.listdir(folder) if name.startswith("word-")]) == 2


class PowerLost(Exception):
    pass


def lose_power(monkeypatch, folder, write, at, chance):
    """Makes `write()` stop before its call number `at` of those that change or sync anything, and the folder what a loss
    of power may leave then: of files and names that were not synced any part. Whether it came to that."""
    calls, unsynced, old = 0, {}, {}

    def counted(call):
        def wrapped(*given):
            nonlocal calls
            if calls == at:
                raise PowerLost
            calls += 1
            return call(*given)

        return wrapped

    def replace(source, target):
        old[target] = open(target, "rb").read() if os.path.exists(target) else None
        rename(source, target)

    def sync(fd):
        path = os.readlink(f"/proc/self/fd/{fd}")
        if os.path.isdir(path):
            old.clear()
        else:
            unsynced.pop(path, None)
        real_sync(fd)

    def make(*given, **more):
        fd, path = real_make(*given, **more)
        unsynced[path] = None
        return fd, path

    rename, real_sync, real_make, unlink = os.replace, os.fsync, whole.tempfile.mkstemp, os.unlink
    with monkeypatch.context() as patched:
        patched.setattr(os, "replace", counted(replace))
        patched.setattr(os, "fsync", counted(sync))
        patched.setattr(os, "unlink", counted(unlink))
        patched.setattr(whole.tempfile, "mkstemp", make)
        try:
            write()
            lost = False
        except PowerLost:
            lost = True
    for path, before in old.items():  # a name that was not synced may be forgotten
        if chance.random() < 0.5:
            unlink(path) if before is None else open(path, "wb").write(before)
    for path in unsynced:
        if os.path.exists(path):
            data = open(path, "rb").read()
            open(path, "wb").write(data[: chance.randrange(len(data) + 1)])
    return lost


class Chosen:
    """In place of chance: whether names that were not synced last, and how many bytes of what was not synced do."""

    def __init__(self, last, prefix):
        self.last, self.prefix = last, prefix

    def random(self):
        return 0.9 if self.last else 0.1

    def randrange(self, end):
        return min(self.prefix, end - 1)


STRIDE = int(os.environ.get("KESTRELPLANK_STRIDE", "97"))  # 1: each prefix of what was not synced


def test_power_lost_at_each_step_of_a_write_leaves_the_old_word_or_the_new_and_the_disk_believed(folder, monkeypatch):
    """Each call before which power may be lost, with each length of what was not synced, and names kept or forgotten.
    Disks lose power apart from each other: what is true of each is true of every subset."""
    size, ends = len(word(4).text) + 200, []
    for last in (True, False):
        for prefix in range(0, size, STRIDE):
            at, lost = 0, True
            while lost:
                shutil.rmtree(folder, ignore_errors=True)
                store = Store(folder)
                store.keep_roll(MEMBERS)
                for version in (1, 2, 3):
                    store.keep_word(word(version))
                lost = lose_power(monkeypatch, folder, partial(store.keep_word, word(4)), at, Chosen(last, prefix))
                store = again(store)
                ends.append((at, store.word().key.version))
                assert store.roll() == MEMBERS and ends[-1][1] in ((3, 4) if lost else (4,))
                assert not [name for name in os.listdir(folder) if name.startswith(".")]
                store.close()
                at += 1
    seen = dict.fromkeys(ends)
    assert len(seen) >= 6 and {version for _, version in seen} == {3, 4}
    print(f"{len(ends)} losses of power, {len(seen)} ends that differ")


def test_a_commit_torn_anywhere_shows_the_last_one_or_the_disk_counts_as_empty(folder):
    store = Store(folder)
    store.keep_roll(MEMBERS)
    for number in range(1, 6):
        store.keep_registers({"views": Register((number, "a:1"), (number, "a:1"), number, RECORD * number)})
    path = os.path.join(folder, "registers", "data.mdb")
    before = open(path, "rb").read()
    store.keep_registers({"views": Register((6, "a:1"), (6, "a:1"), 6, RECORD)})
    store.close()
    after = open(path, "rb").read()
    before = before.ljust(len(after), b"\0")
    pages = [at for at in range(0, len(after), 4096) if before[at : at + 4096] != after[at : at + 4096]]
    meta, data = [at for at in pages if at < 8192], [at for at in pages if at >= 8192]
    assert len(meta) == 1 and data
    cases = [[]] + [[at] for at in data] + [data]  # pages that came down, before the commit's own page
    seen = []
    for written, cut in (
        [(case, None) for case in cases]
        + [(data, cut) for cut in range(16, 200, 8)]
        + [(data, -cut) for cut in range(16, 200, 8)]
    ):
        torn = bytearray(before)
        for at in written:
            torn[at : at + 4096] = after[at : at + 4096]
        if cut is not None:  # so many bytes of the commit's page came down, or all but so many
            at = slice(meta[0], meta[0] + cut) if cut > 0 else slice(meta[0] - cut, meta[0] + 4096)
            torn[at] = after[at]
        open(path, "wb").write(torn)
        store = Store(folder)
        believed, registers = store.roll() is not None, store.registers()
        store.close()
        assert not believed or registers["views"].promised[0] in (5, 6), (written, cut)
        seen.append(believed)
        Store(folder).keep_roll(MEMBERS)
    assert seen.count(True) > len(seen) // 2


def test_a_disk_on_which_a_word_turns_out_torn_counts_as_empty_but_for_what_is_whole(folder):
    store = Store(folder)
    store.keep_roll(MEMBERS)
    store.keep_word(word(5))
    store.keep_word(word(9))
    name = os.path.join(folder, max(name for name in os.listdir(folder) if name.startswith("word-")))
    data = open(name, "rb").read()
    open(name, "wb").write(data[:-9])
    store = again(store)
    assert store.roll() is None and store.word().key.version == 5


def test_registers_that_lmdb_cannot_open_make_the_disk_count_as_empty(folder):
    store = Store(folder)
    store.keep_roll(MEMBERS)
    store.close()
    open(os.path.join(folder, "registers", "data.mdb"), "wb").write(b"no such thing" * 1000)
    store = Store(folder)
    assert store.roll() is None and store.registers() == {}
    store.keep_registers({"views": Register((1, "a:1"))})


def test_a_full_disk_refuses_a_write_and_keeps_what_it_has(folder, monkeypatch):
    store = Store(folder)
    monkeypatch.setattr("kestrelplank.storage.store.MAP_BYTES", 1 << 16)
    store = again(store)
    store.keep_registers({"views": Register((1, "a:1"))})
    with pytest.raises(lmdb.MapFullError):
        store.keep_registers({"views": Register((2, "a:1"), (2, "a:1"), 1, RECORD * 9999)})
    assert again(store).registers() == {"views": Register((1, "a:1"))}


def test_a_file_torn_anywhere_counts_as_absent(folder):
    store = Store(folder)
    store.keep_word(word(5))
    store.keep_word(word(9))
    name = os.path.join(folder, max(name for name in os.listdir(folder) if name.startswith("word-")))
    whole = open(name, "rb").read()
    for end in range(0, len(whole) - 1, 7):
        with open(name, "wb") as file:
            file.write(whole[:end])
        assert store.word().key.version == 5
    for at in range(0, len(whole), 11):
        with open(name, "wb") as file:
            file.write(whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :])
        assert store.word().key.version == (5 if at < len(whole) - 1 else 9)
