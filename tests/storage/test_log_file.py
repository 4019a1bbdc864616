"""A member's log on disk: what every log keeps, and of the one on disk what a loss of power, a torn file or a refused
write leave behind."""

import errno
import os
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some
from storage.memory import MemoryLog
from storage.power_loss import Disk, PowerLost, fill

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.messages import (
    ChangeMembership,
    Entry,
    HardState,
    Membership,
    Noop,
    PutConfiguration,
    PutRecord,
    Snapshot,
)
from kestrelplank.decode import Malformed
from kestrelplank.storage import log_file
from kestrelplank.storage.log_file import Loaded, LogFile

STRIDE = int(os.environ.get("KESTRELPLANK_STRIDE", "7"))  # 1: each length of what was not synced
MEMBERS = Membership(3, ("a:1/first", "b:1/first", "c:1/5f2c"), ("a:1/first",), {"a:1": "north"})
CONFIGURATION = PutConfiguration(5, "d5", b'{"config_version": "00000005"}' * 3)
REFUSALS = [OSError(number, os.strerror(number)) for number in (errno.EIO, errno.ENOSPC, errno.EROFS)]


def entry(index, term=1, command=None):
    return Entry(index, term, command or PutRecord("views", b"%d of %d" % (index, term)))


def entries(first, last, term=1):
    return tuple(entry(index, term) for index in range(first, last + 1))


def persist(*new, term=None, snapshot=None):
    return Persist(0, HardState(term, f"a:{term}", "b:1") if term else None, snapshot, new)


def snapshot(index, term=1):
    return Snapshot(index, term, MEMBERS, b"state at %d" % index)


def started(folder):
    """The log in that folder after a start, and what it holds."""
    log = LogFile(folder)
    return log, log.load()


def found_in(folder):
    """What a start finds there."""
    log, loaded = started(folder)
    log.close()
    return loaded


def distinct(values):
    """Each once; memberships hold maps, so there are no sets of them."""
    found = []
    for value in values:
        if value not in found:
            found.append(value)
    return found


def filled(folder, *persists, incarnation="first"):
    log, _ = started(folder)
    log.keep_incarnation(incarnation)
    for one in persists:
        log.write([one])
    return log


@pytest.fixture
def folder(tmp_path):
    return str(tmp_path / "member")


@pytest.fixture(params=["memory", "disk"])
def log(request, folder):
    made = MemoryLog() if request.param == "memory" else LogFile(folder)
    made.load()
    return made


def again(log):
    """The log after a start, and what it holds."""
    log.close()
    log = log if isinstance(log, MemoryLog) else LogFile(log.folder)
    return log, log.load()


# What every log does.


def test_an_empty_disk_holds_nothing(log):
    assert log.load() == Loaded(None, HardState(), None, ())


def test_nothing_is_written_before_the_incarnation(log):
    with pytest.raises(ValueError):
        log.write([persist(term=1)])
    assert again(log)[1] == Loaded()


def test_the_incarnation_is_kept_and_no_other_takes_its_place(log):
    log.keep_incarnation("5f2c")
    log.keep_incarnation("5f2c")
    with pytest.raises(ValueError):
        log.keep_incarnation("77aa")
    log, loaded = again(log)
    assert loaded == Loaded("5f2c")
    with pytest.raises(ValueError):
        log.keep_incarnation("77aa")
    log.write([persist(term=2)])
    assert again(log)[1] == Loaded("5f2c", HardState(2, "a:2", "b:1"))


ONE, TWO, SIX = (HardState(term, f"a:{term}", "b:1") for term in (1, 2, 6))
CASES = [
    ([], Loaded("i")),
    ([Persist(1)], Loaded("i")),
    ([persist(term=1)], Loaded("i", ONE)),
    ([persist(term=1), persist(term=2)], Loaded("i", TWO)),
    ([persist(*entries(1, 3))], Loaded("i", entries=entries(1, 3))),
    ([persist(entry(1)), persist(entry(2)), persist(entry(3))], Loaded("i", entries=entries(1, 3))),
    ([persist(entry(1), term=1), persist(entry(2), term=2)], Loaded("i", TWO, entries=entries(1, 2))),
    # entries replace those from the first one's index on
    ([persist(*entries(1, 3)), persist(entry(2, 2))], Loaded("i", entries=(entry(1), entry(2, 2)))),
    ([persist(*entries(1, 3)), persist(entry(1, 2))], Loaded("i", entries=(entry(1, 2),))),
    ([persist(*entries(1, 3)), persist(*entries(3, 4, 2))], Loaded("i", entries=entries(1, 2) + entries(3, 4, 2))),
    ([persist(*entries(1, 3)), persist(*entries(1, 3))], Loaded("i", entries=entries(1, 3))),
    ([persist(*entries(1, 3)), persist(term=2), persist(entry(3, 2))], Loaded("i", TWO, entries=(*entries(1, 2), entry(3, 2)))),
    # a snapshot replaces the whole log, and not the hard state
    ([persist(snapshot=snapshot(9))], Loaded("i", snapshot=snapshot(9))),
    ([persist(*entries(1, 9), term=2), persist(snapshot=snapshot(7))], Loaded("i", TWO, snapshot(7))),
    ([persist(*entries(1, 9), term=2), persist(*entries(8, 9), snapshot=snapshot(7))], Loaded("i", TWO, snapshot(7), entries(8, 9))),
    ([persist(*entries(1, 9), term=2), persist(entry(10), term=6, snapshot=snapshot(9))], Loaded("i", SIX, snapshot(9), (entry(10),))),
    ([persist(snapshot=snapshot(9)), persist(*entries(10, 12)), persist(entry(11, 2))], Loaded("i", snapshot=snapshot(9), entries=(entry(10), entry(11, 2)))),
    ([persist(snapshot=snapshot(9)), persist(snapshot=snapshot(20, 2)), persist(entry(21, 2))], Loaded("i", snapshot=snapshot(20, 2), entries=(entry(21, 2),))),
    ([persist(term=2), persist(snapshot=snapshot(9)), persist(entry(10), term=6)], Loaded("i", SIX, snapshot(9), (entry(10),))),
    # what a snapshot contains is passed over
    ([persist(snapshot=snapshot(9)), persist(*entries(8, 11))], Loaded("i", snapshot=snapshot(9), entries=entries(10, 11))),
    ([persist(snapshot=snapshot(9)), persist(entry(10)), persist(*entries(3, 5))], Loaded("i", snapshot=snapshot(9), entries=(entry(10),))),
    ([persist(*entries(7, 11), snapshot=snapshot(9))], Loaded("i", snapshot=snapshot(9), entries=entries(10, 11))),
    # every command
    (
        [persist(entry(1, 1, Noop()), entry(2, 1, CONFIGURATION), entry(3, 1, ChangeMembership(MEMBERS)))],
        Loaded("i", entries=(entry(1, 1, Noop()), entry(2, 1, CONFIGURATION), entry(3, 1, ChangeMembership(MEMBERS)))),
    ),
]  # fmt: skip


@pytest.mark.parametrize("persists, expected", CASES)
@pytest.mark.parametrize("joined", [True, False])
def test_what_was_written_is_there_after_a_start(log, persists, expected, joined):
    log.keep_incarnation("i")
    for batch in [persists] if joined else [[one] for one in persists]:
        log.write(batch)
    log, loaded = again(log)
    assert loaded == expected
    assert again(log)[1] == expected


@pytest.mark.parametrize("persists, expected", CASES)
def test_each_write_is_there_after_a_start_in_between(log, persists, expected):
    log.keep_incarnation("i")
    for one in persists:
        log.write([one])
        log, _ = again(log)
    assert log.load() == expected


@pytest.mark.parametrize(
    "before, wrong",
    [
        ([], [persist(entry(2))]),
        ([persist(*entries(1, 3))], [persist(entry(5))]),
        ([persist(*entries(1, 3)), persist(entry(2, 2))], [persist(entry(4))]),
        ([persist(snapshot=snapshot(9))], [persist(entry(11))]),
        ([], [persist(entry(1)), persist(entry(3))]),
        ([], [persist(entry(11), snapshot=snapshot(9))]),
        ([], [persist(snapshot=snapshot(9)), persist(entry(11))]),
    ],
)
def test_an_entry_that_does_not_follow_is_refused_and_changes_nothing(log, before, wrong):
    log.keep_incarnation("i")
    for one in before:
        log.write([one])
    _, held = again(log)
    log, _ = again(log)
    with pytest.raises(ValueError):
        log.write(wrong)
    assert again(log)[1] == held


def test_entries_that_an_earlier_snapshot_contains_are_passed_over_in_joined_writes_too(log):
    log.keep_incarnation("i")
    log.write([persist(snapshot=snapshot(9))])
    log.write([persist(*entries(8, 11)), persist(entry(5)), persist(term=1)])
    assert again(log)[1] == Loaded("i", ONE, snapshot(9), entries(10, 11))


def test_a_log_may_be_loaded_again(log):
    log.keep_incarnation("i")
    log.write([persist(*entries(1, 3))])
    assert log.load() == log.load() == Loaded("i", entries=entries(1, 3))
    log.write([persist(entry(4))])
    assert log.load().entries == entries(1, 4)


def test_copies_are_not_believed(log):
    log.keep_copy(5, b"text")
    assert again(log)[1] == Loaded()


def random_persists(chance, count):
    """A history as a member's life makes it, and what it adds up to."""
    held, made = Loaded("i"), []
    for _ in range(count):
        first = 1 + (held.snapshot.index if held.snapshot else 0)
        following = first + len(held.entries)
        term = held.hard_state.term + chance.choice((0, 0, 1))
        hard_state = HardState(term, chance.choice(("", "a:1"))) if chance.random() < 0.5 else None
        taken = None
        if held.entries and chance.random() < 0.15:
            at = chance.randrange(first, following)
            taken = snapshot(at, term)
            kept = tuple(one for one in held.entries if one.index > at) if chance.random() < 0.7 else ()
            new, held = kept, Loaded("i", held.hard_state, taken, kept)
        else:
            start = chance.randrange(first, following + 1) if chance.random() < 0.2 else following
            new = entries(start, start + chance.randrange(4) - 1, term)
            if new:
                held = Loaded(
                    "i", held.hard_state, held.snapshot, (*(one for one in held.entries if one.index < start), *new)
                )
        held = Loaded("i", hard_state or held.hard_state, held.snapshot, held.entries)
        made.append((Persist(0, hard_state, taken, new), held))
    return made  # fmt: skip


@pytest.mark.parametrize("kind", ["memory", "disk"])
@settings(max_examples=60, deadline=None)
@given(seed=some.integers(0, 1 << 32))
def test_any_history_joined_in_any_way_with_starts_anywhere(tmp_path_factory, kind, seed):
    chance = Random(seed)
    log = MemoryLog() if kind == "memory" else LogFile(str(tmp_path_factory.mktemp("log")))
    log.load()
    log.keep_incarnation("i")
    history = random_persists(chance, 40)
    while history:
        count = chance.choice((1, 1, 2, 5))
        batch, history = history[:count], history[count:]
        log.write([one for one, _ in batch])
        if chance.random() < 0.2:
            log, loaded = again(log)
            assert loaded == batch[-1][1]
    assert again(log)[1] == batch[-1][1]


# The one in memory.


@pytest.mark.parametrize(
    "keeps_refused, left", [(False, Loaded("i", ONE)), (True, Loaded("i", TWO, entries=(entry(1),)))]
)
def test_a_log_in_memory_refuses_as_it_is_told(keeps_refused, left):
    log = MemoryLog()
    log.keep_incarnation("i")
    log.write([persist(term=1)])
    log.refusal, log.keeps_refused = REFUSALS[0], keeps_refused
    for _ in range(2):
        with pytest.raises(OSError):
            log.write([persist(term=2), persist(entry(1))])
        assert log.load() == left
    log.refusal = None
    log.write([persist(term=2), persist(entry(1)), persist(entry(2))])
    assert log.load() == Loaded("i", TWO, entries=entries(1, 2))
    log.empty()
    assert log.load() == Loaded()


# The one on disk: power.


class Scenario:
    """A disk that power may leave at any call, and a second folder in which what is left is looked at."""

    def __init__(self, tmp_path, monkeypatch, *persists):
        self.folder, self.left = str(tmp_path / "member"), str(tmp_path / "left")
        self.monkeypatch = monkeypatch
        self.persists = persists
        self.run = 0
        self.ends = []

    def begin(self):
        """A fresh disk on which all before is durable."""
        self.run += 1
        fill(self.folder, {})
        log = filled(self.folder, *self.persists)
        self.disk = Disk(self.folder)
        return log

    def after_power_loss(self, stride=STRIDE):
        """What a start finds, for each folder that may be left; a start that loses its power too finds the same."""
        for number, contents in enumerate(self.disk.outcomes(stride)):
            fill(self.left, contents)
            log, loaded = started(self.left)
            assert not [name for name in os.listdir(self.left) if name.startswith(".")]
            log.close()
            assert found_in(self.left) == loaded
            yield loaded

    def lose_power_at_each_call(self, write, check):
        """Calls `write(log)` on a fresh disk, with the power lost before each of its calls in turn, and at its end."""
        at, lost = 0, True
        while lost:
            log = self.begin()
            with self.monkeypatch.context() as patched:
                self.disk.install(patched)
                self.disk.arm(at)
                try:
                    write(log)
                    lost = False
                except PowerLost:
                    lost = True
            for loaded in self.after_power_loss():
                check(lost, loaded)
                self.ends.append((at, loaded))
            at += 1
        self.calls = at - 1
        print(f"{self.calls} calls, {len(self.ends)} losses of power")


BEFORE = [persist(*entries(1, 4), term=1), persist(entry(5), term=2)]
HELD = Loaded("first", TWO, None, entries(1, 5))
BIG = persist(entry(6, 2, CONFIGURATION), entry(7, 2, ChangeMembership(MEMBERS)), term=6)
WITH_BIG = Loaded("first", SIX, None, HELD.entries + BIG.entries)
COMPACTION = persist(entry(5), snapshot=snapshot(4))
COMPACTED = Loaded("first", TWO, snapshot(4), (entry(5),))


@pytest.mark.parametrize(
    "persists, expected, calls",
    [
        ([BIG], WITH_BIG, 2),
        ([persist(term=6)], Loaded("first", SIX, None, entries(1, 5)), 2),
        ([persist(entry(4, 2))], Loaded("first", TWO, None, (*entries(1, 3), entry(4, 2))), 2),
        ([persist(term=6), persist(BIG.entries[0]), persist(BIG.entries[1])], WITH_BIG, 2),
        ([COMPACTION], COMPACTED, 5),
        ([persist(entry(6), term=6), persist(*entries(5, 6), snapshot=snapshot(4))], Loaded("first", SIX, snapshot(4), entries(5, 6)), 5),
    ],
)  # fmt: skip
def test_power_lost_at_each_call_of_a_write_leaves_all_of_it_or_none(tmp_path, monkeypatch, persists, expected, calls):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)

    def check(lost, loaded):
        assert loaded == expected if not lost else loaded in (HELD, expected)

    scenario.lose_power_at_each_call(lambda log: log.write(persists), check)
    assert scenario.calls == calls
    assert distinct(loaded for _, loaded in scenario.ends) in ([HELD, expected], [expected, HELD])


def test_power_lost_at_each_call_of_the_first_start_leaves_an_empty_disk_or_the_incarnation(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch)

    def first_start(log):
        log.load()
        log.keep_incarnation("5f2c")
        log.write([persist(term=2)])

    def begin():
        fill(scenario.folder, {})
        scenario.disk = Disk(scenario.folder)
        return LogFile(scenario.folder)

    scenario.begin = begin
    kept = Loaded("5f2c", TWO)

    def check(lost, loaded):
        assert loaded == kept if not lost else loaded in (Loaded(), Loaded("5f2c"), kept)

    scenario.lose_power_at_each_call(first_start, check)
    assert distinct(loaded for _, loaded in scenario.ends) == [Loaded(), Loaded("5f2c"), kept]


def test_power_lost_again_at_each_call_of_a_start_and_the_write_after_it(tmp_path, monkeypatch):
    """The first loss left a torn batch, in each of its forms."""
    first = Scenario(tmp_path, monkeypatch, *BEFORE)
    log = first.begin()
    with monkeypatch.context() as patched:
        first.disk.install(patched)
        first.disk.arm(1)
        with pytest.raises(PowerLost):
            log.write([BIG])
    left = list(first.disk.outcomes(40))
    assert len(left) > 20
    second = Scenario(tmp_path, monkeypatch)
    for contents in left:
        fill(second.folder, contents)
        assert found_in(second.folder) in (HELD, WITH_BIG)
        at, lost = 0, True
        while lost:
            fill(second.folder, contents)
            second.disk = Disk(second.folder)
            log, loaded = LogFile(second.folder), None
            with monkeypatch.context() as patched:
                second.disk.install(patched)
                second.disk.arm(at)
                try:
                    loaded = log.load()
                    log.write([persist(entry(6, 9), term=6)])
                    lost = False
                except PowerLost:
                    lost = True
            written = Loaded("first", SIX, None, (*entries(1, 5), entry(6, 9)))
            allowed = (HELD, WITH_BIG) if loaded is None else (loaded, written) if lost else (written,)
            for found in second.after_power_loss(40):
                assert found in allowed, (at, loaded)
            at += 1


# The one on disk: refusals.


def refuse_each_call(scenario, write, refusal, lasting=False):
    """Runs `write(log)` on fresh disks with one of its calls refused, or all from that one on; yields the log after
    each refusal, while the disk is still patched and refuses nothing any more."""
    at, refused = 0, True
    while refused:
        log = scenario.begin()
        with scenario.monkeypatch.context() as patched:
            scenario.disk.install(patched)
            scenario.disk.arm(at, refusal, lasting)
            try:
                write(log)
                refused = False
            except OSError as err:
                assert err is refusal
                scenario.disk.arm()
                yield log
        at += 1
    assert at > 2


WRITES = [([BIG], WITH_BIG), ([COMPACTION], COMPACTED)]


@pytest.mark.parametrize("persists, expected", WRITES)
@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("lasting", [False, True])
def test_a_refused_write_that_is_repeated_is_durable(tmp_path, monkeypatch, persists, expected, refusal, lasting):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    for log in refuse_each_call(scenario, lambda log: log.write(persists), refusal, lasting):
        log.write([*persists, persist(term=9)])
        nine = Loaded("first", HardState(9, "a:9", "b:1"), expected.snapshot, expected.entries)
        assert distinct(scenario.after_power_loss()) == [nine]
        log.write([persist(term=10)])
        ten = Loaded("first", HardState(10, "a:10", "b:1"), expected.snapshot, expected.entries)
        assert distinct(scenario.after_power_loss()) == [ten]


@pytest.mark.parametrize("persists, expected", WRITES)
@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("lasting", [False, True])
def test_power_lost_after_a_refusal_leaves_all_or_none(tmp_path, monkeypatch, persists, expected, refusal, lasting):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    for _ in refuse_each_call(scenario, lambda log: log.write(persists), refusal, lasting):
        assert all(found in (HELD, expected) for found in scenario.after_power_loss())


@pytest.mark.parametrize("persists, expected", WRITES)
def test_power_lost_at_each_call_of_a_repeated_write(tmp_path, monkeypatch, persists, expected):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    at, lost = 0, True
    while lost:
        lost = False
        for log in refuse_each_call(scenario, lambda log: log.write(persists), REFUSALS[0]):
            scenario.disk.arm(at)
            try:
                log.write(persists)
                assert distinct(scenario.after_power_loss()) == [expected]
            except PowerLost:
                lost = True
                assert all(found in (HELD, expected) for found in scenario.after_power_loss())
        at += 1


@pytest.mark.parametrize("persists, expected", WRITES)
@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("lasting", [False, True])
def test_what_a_start_finds_after_a_refusal_lasts(tmp_path, monkeypatch, persists, expected, refusal, lasting):
    """The program ends after the refusal and starts again, and only then power is lost: what memory had of a batch
    whose sync failed must be on the disk once a start believed it."""
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    for log in refuse_each_call(scenario, lambda log: log.write(persists), refusal, lasting):
        log.close()
        _, loaded = started(scenario.folder)
        assert loaded in (HELD, expected)
        assert distinct(scenario.after_power_loss()) == [loaded]


def test_a_batch_whose_sync_failed_is_not_believed_after_a_start_that_cannot_write_it(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    log = scenario.begin()
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        scenario.disk.arm(1, REFUSALS[0])
        with pytest.raises(OSError):
            log.write([BIG])
        for at in range(4):
            scenario.disk.arm(at, REFUSALS[0])
            with pytest.raises(OSError):
                started(scenario.folder)


def test_a_refused_incarnation_may_be_kept_again(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch)

    def begin():
        fill(scenario.folder, {})
        scenario.disk = Disk(scenario.folder)
        log = LogFile(scenario.folder)
        log.load()
        return log

    scenario.begin = begin
    for log in refuse_each_call(scenario, lambda log: log.keep_incarnation("5f2c"), REFUSALS[0]):
        log.keep_incarnation("5f2c")
        assert distinct(scenario.after_power_loss()) == [Loaded("5f2c")]


def test_a_full_disk_in_a_snapshot_leaves_the_log_in_use_and_no_temporary_file(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    full = OSError(errno.ENOSPC, "full")
    log = scenario.begin()
    size = log.size
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        for at in (0, 1, 2, 3):  # a temporary file, its content, its sync, its name
            scenario.disk.arm(at, full)
            with pytest.raises(OSError):
                log.write([COMPACTION])
            assert os.listdir(scenario.folder) == ["log"] and log.size == size
            assert distinct(scenario.after_power_loss()) == [HELD]
        scenario.disk.arm()
        log.write([COMPACTION])
    assert found_in(scenario.folder) == COMPACTED


def test_a_refused_write_is_cut_off_durably_before_the_next_and_no_other_pays_for_it(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    log = scenario.begin()
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        scenario.disk.arm(1, REFUSALS[0], lasting=True)
        with pytest.raises(OSError):
            log.write([BIG])
        scenario.disk.arm()
        log.write([BIG])
        assert scenario.disk.log == ["ftruncate", "fsync", "pwrite", "fdatasync"]
        scenario.disk.arm()
        log.write([persist(term=9)])
        assert scenario.disk.log == ["pwrite", "fdatasync"]


def test_nothing_is_appended_to_a_new_file_before_its_name_is_durable(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    log = scenario.begin()
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        scenario.disk.arm(4, REFUSALS[0])
        with pytest.raises(OSError):
            log.write([COMPACTION])
        assert scenario.disk.log[-1] == "sync folder"
        scenario.disk.arm(0, REFUSALS[0])
        with pytest.raises(OSError):
            log.write([persist(term=6)])
        assert scenario.disk.log == ["sync folder"]
        scenario.disk.arm()
        log.write([persist(term=6)])
        assert distinct(scenario.after_power_loss()) == [Loaded("first", SIX, snapshot(4), (entry(5),))]


def test_refusals_leave_no_file_open(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    log = scenario.begin()
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        before = len(os.listdir("/proc/self/fd"))
        for at in (0, 1, 2, 3, 4) * 3:
            scenario.disk.arm(at, REFUSALS[1])
            with pytest.raises(OSError):
                log.write([COMPACTION])
        assert len(os.listdir("/proc/self/fd")) == before


def test_a_refused_write_takes_no_space(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    for log in refuse_each_call(scenario, lambda log: log.write([BIG]), REFUSALS[1]):
        assert log.size == os.path.getsize(log.path)


def test_one_write_and_one_sync_for_each_batch_however_many_it_joins(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    log = scenario.begin()
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        log.write([persist(entry(index), term=index) for index in range(6, 90)])
        log.write([])
        log.write([Persist(1)])
    assert scenario.disk.log == ["pwrite", "fdatasync"]


def test_a_log_that_was_moved_away_takes_no_more_writes(folder):
    log = filled(folder, *BEFORE)
    os.rename(log.path, log.path + ".moved")
    with pytest.raises(OSError):
        log.write([BIG])
    filled(folder, incarnation="other")
    with pytest.raises(OSError):
        log.write([BIG])
    assert found_in(folder) == Loaded("other")


# The one on disk: damage.


def ends_of_frames(data):
    frames = [log_file.head_of(data)]
    frames.extend(log_file.frames_behind(data, log_file.decoded_head(frames[0]).salt, frames[0]))
    return [frame.end for frame in frames]


HISTORY = [persist(*entries(1, 2), term=1), persist(entry(3)), persist(term=2), persist(entry(3, 2), entry(4, 2))]


def held_after(count):
    log = MemoryLog()
    log.keep_incarnation("first")
    log.write(HISTORY[:count])
    return log.load()


def test_a_file_that_ends_early_holds_the_batches_that_are_whole(folder):
    log = filled(folder, *HISTORY)
    data = open(log.path, "rb").read()
    ends = ends_of_frames(data)
    for length in range(len(data) + 1):
        fill(folder, {"log": data[:length]})
        whole = sum(end <= length for end in ends)
        log, loaded = started(folder)
        assert loaded == (held_after(whole - 1) if whole else Loaded())
        assert os.listdir(folder) == (["log"] if whole else [])
        assert log.size == (ends[whole - 1] if whole else 0)


@pytest.mark.parametrize("change", [lambda byte: byte ^ 1, lambda byte: byte ^ 0xFF, lambda byte: 0 if byte else 1])
def test_a_byte_changed_anywhere_is_never_believed(folder, change):
    log = filled(folder, *HISTORY)
    data = open(log.path, "rb").read()
    last = ends_of_frames(data)[-2]
    for at in range(len(data)):
        fill(folder, {"log": data[:at] + bytes([change(data[at])]) + data[at + 1 :]})
        assert found_in(folder) == (held_after(3) if at >= last else Loaded()), at


@pytest.mark.parametrize(
    "damage",
    [
        pytest.param(lambda data, ends: b"", id="empty file"),
        pytest.param(lambda data, ends: b"\0" * len(data), id="zeros"),
        pytest.param(lambda data, ends: b"no such thing" * 100, id="another file"),
        pytest.param(lambda data, ends: data[ends[0] :], id="no head"),
        pytest.param(lambda data, ends: data[: ends[1]] + data[ends[2] :], id="a frame removed, one of the same length"),
        pytest.param(lambda data, ends: data[: ends[1]] + b"\0" * (ends[2] - ends[1]) + data[ends[2] :], id="a hole"),
        pytest.param(lambda data, ends: data[: ends[1]] + b"\0" * (ends[3] - ends[1]) + data[ends[3] :], id="two holes"),
        pytest.param(lambda data, ends: b"\0" * ends[0] + data[ends[0] :], id="a hole for a head"),
    ],
)  # fmt: skip
def test_a_disk_that_lost_what_it_had_synced_counts_as_empty(folder, caplog, damage, request):
    log = filled(folder, *HISTORY)
    data = open(log.path, "rb").read()
    fill(folder, {"log": damage(data, ends_of_frames(data)), "configuration-0000000000000005.json": b"{}"})
    log, loaded = started(folder)
    if "a frame removed" in request.node.name:  # what is left does not stand in its place, so it is no frame
        assert loaded == held_after(1)
        return
    assert loaded == Loaded() and "counts as empty" in caplog.text
    assert log.size == 0 and log.frames == 0
    assert os.listdir(folder) == ["configuration-0000000000000005.json"]
    log.keep_incarnation("new")
    log.write([persist(term=1)])
    assert found_in(folder) == Loaded("new", ONE)


def test_frames_of_another_file_never_pass_for_this_ones(folder, tmp_path):
    """A file system may show old blocks where power was lost in a write."""
    data = open(filled(folder, *HISTORY).path, "rb").read()
    other = open(filled(str(tmp_path / "other"), *HISTORY, persist(term=9)).path, "rb").read()
    assert len(other) > len(data)
    for end in ends_of_frames(data)[:-1]:
        fill(folder, {"log": data[:end] + other[end:]})
        assert found_in(folder) == held_after(ends_of_frames(data).index(end))


def test_an_entry_that_contains_whole_frames_is_only_an_entry(folder):
    log = filled(folder, *HISTORY)
    data = open(log.path, "rb").read()
    log.write([persist(entry(5, 2, PutRecord("views", data)))])
    whole = open(log.path, "rb").read()
    for length in range(len(data) + 1, len(whole)):
        fill(folder, {"log": whole[:length]})
        assert found_in(folder) == held_after(4)


def test_a_file_of_another_form_is_refused_and_stands(folder, monkeypatch):
    with monkeypatch.context() as patched:
        patched.setattr(log_file, "FORM", 2)
        log = filled(folder, *HISTORY)
    before = open(log.path, "rb").read()
    with pytest.raises(Malformed, match="form 2"):
        started(folder)
    assert open(log.path, "rb").read() == before


# The one on disk: size, and what else is in the folder.


def test_many_changes_with_compaction_keep_the_folder_and_the_next_start_small(folder):
    bound, largest, most_frames = 20_000, 0, 0
    log = filled(folder)
    for index in range(1, 5001):
        log.write([persist(entry(index), term=index)])
        if log.size > bound:
            log.write([persist(snapshot=snapshot(index))])
        largest = max(largest, sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder)))
        most_frames = max(most_frames, log.frames)
    assert largest < bound + 200
    frames_of_bound = bound // 60
    assert most_frames <= frames_of_bound
    log, loaded = started(folder)
    assert loaded.hard_state.term == 5000 and log.frames <= frames_of_bound and log.size <= bound
    assert [one.index for one in loaded.entries] == list(range(loaded.snapshot.index + 1, 5001))
    assert os.listdir(folder) == ["log"]


def test_size_and_frames_are_those_of_the_file(folder):
    log = filled(folder)
    for number, one in enumerate(HISTORY, 2):
        log.write([one])
        assert log.size == os.path.getsize(log.path) and log.frames == number
    log, _ = started(folder)
    assert log.size == os.path.getsize(log.path) and log.frames == 1 + len(HISTORY)
    log.write([persist(snapshot=snapshot(4))])
    assert log.size == os.path.getsize(log.path) and log.frames == 1


def test_leftover_temporary_files_go_at_a_start_and_nothing_else_does(folder):
    filled(folder, *BEFORE)
    for name in (
        ".log.x7",
        ".configuration-0000000000000005.json.q1",
        "registers",
        ".other",
        "configuration-0000000000000005.json",
    ):
        with open(os.path.join(folder, name), "wb") as file:
            file.write(b"x")
    assert found_in(folder) == HELD
    assert sorted(os.listdir(folder)) == [".other", "configuration-0000000000000005.json", "log", "registers"]


def test_the_folder_and_those_above_it_are_made_durably(tmp_path, monkeypatch):
    folder, synced = str(tmp_path / "a" / "b" / "c"), []
    with monkeypatch.context() as patched:
        patched.setattr(log_file, "sync_directory", synced.append)
        LogFile(folder)
    assert synced == [str(tmp_path), str(tmp_path / "a"), str(tmp_path / "a" / "b")]
    filled(folder, *BEFORE)
    assert found_in(folder) == HELD


def test_the_newest_two_copies_are_kept_as_plain_files(folder):
    log = filled(folder)
    for version in (5, 0x1F, 7, 300, 2):
        log.keep_copy(version, b"text of %d" % version)
    assert sorted(os.listdir(folder)) == [
        "configuration-000000000000001f.json",
        "configuration-000000000000012c.json",
        "log",
    ]
    with open(os.path.join(folder, "configuration-000000000000012c.json"), "rb") as file:
        assert file.read() == b"text of 300"


@pytest.mark.parametrize("at", range(5))
def test_a_copy_that_the_disk_refuses_is_logged_and_harms_nothing(tmp_path, monkeypatch, caplog, at):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    log = scenario.begin()
    log.keep_copy(3, b"three")
    log.keep_copy(4, b"four")
    with monkeypatch.context() as patched:
        scenario.disk = Disk(scenario.folder)
        scenario.disk.install(patched)
        scenario.disk.arm(at, REFUSALS[1])
        log.keep_copy(5, b"five")
    assert "no plain copy of configuration 00000005" in caplog.text
    log.write([BIG])
    assert found_in(scenario.folder) == WITH_BIG
