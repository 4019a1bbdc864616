"""What every member's log keeps, that on disk and that in memory which stands in for it."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some
from storage.histories import (
    CONFIGURATION,
    MEMBERS,
    ONE,
    REFUSALS,
    SIX,
    TWO,
    entries,
    entry,
    persist,
    restarted,
    snapshot,
)
from storage.memory import MemoryLog

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import ChangeMembership, HardState, Noop
from kestrelplank.storage.errors import IncarnationMismatchError, MissingEntryError, NoIncarnationError
from kestrelplank.storage.log_file import LogFile
from kestrelplank.storage.records import LogContent


def test_an_empty_disk_holds_nothing(log):
    assert log.load() == LogContent(None, HardState(), None, ())


def test_nothing_is_written_before_the_incarnation(log):
    with pytest.raises(NoIncarnationError):
        log.write([persist(term=1)])
    assert restarted(log)[1] == LogContent()


def test_the_incarnation_is_kept_and_no_other_takes_its_place(log):
    log.store_incarnation("5f2c")
    log.store_incarnation("5f2c")
    with pytest.raises(IncarnationMismatchError):
        log.store_incarnation("77aa")
    log, loaded = restarted(log)
    assert loaded == LogContent("5f2c")
    with pytest.raises(IncarnationMismatchError):
        log.store_incarnation("77aa")
    log.write([persist(term=2)])
    assert restarted(log)[1] == LogContent("5f2c", HardState(2, "a:2", "b:1"))


CASES = [
    ([], LogContent("i")),
    ([Persist(1)], LogContent("i")),
    ([persist(term=1)], LogContent("i", ONE)),
    ([persist(term=1), persist(term=2)], LogContent("i", TWO)),
    ([persist(*entries(1, 3))], LogContent("i", entries=entries(1, 3))),
    ([persist(entry(1)), persist(entry(2)), persist(entry(3))], LogContent("i", entries=entries(1, 3))),
    ([persist(entry(1), term=1), persist(entry(2), term=2)], LogContent("i", TWO, entries=entries(1, 2))),
    # entries replace those from the first one's index on
    ([persist(*entries(1, 3)), persist(entry(2, 2))], LogContent("i", entries=(entry(1), entry(2, 2)))),
    ([persist(*entries(1, 3)), persist(entry(1, 2))], LogContent("i", entries=(entry(1, 2),))),
    ([persist(*entries(1, 3)), persist(*entries(3, 4, 2))], LogContent("i", entries=entries(1, 2) + entries(3, 4, 2))),
    ([persist(*entries(1, 3)), persist(*entries(1, 3))], LogContent("i", entries=entries(1, 3))),
    ([persist(*entries(1, 3)), persist(term=2), persist(entry(3, 2))], LogContent("i", TWO, entries=(*entries(1, 2), entry(3, 2)))),
    # a snapshot replaces the whole log, and not the hard state
    ([persist(snapshot=snapshot(9))], LogContent("i", snapshot=snapshot(9))),
    ([persist(*entries(1, 9), term=2), persist(snapshot=snapshot(7))], LogContent("i", TWO, snapshot(7))),
    ([persist(*entries(1, 9), term=2), persist(*entries(8, 9), snapshot=snapshot(7))], LogContent("i", TWO, snapshot(7), entries(8, 9))),
    ([persist(*entries(1, 9), term=2), persist(entry(10), term=6, snapshot=snapshot(9))], LogContent("i", SIX, snapshot(9), (entry(10),))),
    ([persist(snapshot=snapshot(9)), persist(*entries(10, 12)), persist(entry(11, 2))], LogContent("i", snapshot=snapshot(9), entries=(entry(10), entry(11, 2)))),
    ([persist(snapshot=snapshot(9)), persist(snapshot=snapshot(20, 2)), persist(entry(21, 2))], LogContent("i", snapshot=snapshot(20, 2), entries=(entry(21, 2),))),
    ([persist(term=2), persist(snapshot=snapshot(9)), persist(entry(10), term=6)], LogContent("i", SIX, snapshot(9), (entry(10),))),
    # what a snapshot contains is passed over
    ([persist(snapshot=snapshot(9)), persist(*entries(8, 11))], LogContent("i", snapshot=snapshot(9), entries=entries(10, 11))),
    ([persist(snapshot=snapshot(9)), persist(entry(10)), persist(*entries(3, 5))], LogContent("i", snapshot=snapshot(9), entries=(entry(10),))),
    ([persist(*entries(7, 11), snapshot=snapshot(9))], LogContent("i", snapshot=snapshot(9), entries=entries(10, 11))),
    # every command
    (
        [persist(entry(1, 1, Noop()), entry(2, 1, CONFIGURATION), entry(3, 1, ChangeMembership(MEMBERS)))],
        LogContent("i", entries=(entry(1, 1, Noop()), entry(2, 1, CONFIGURATION), entry(3, 1, ChangeMembership(MEMBERS)))),
    ),
]  # fmt: skip


@pytest.mark.parametrize("persists, expected", CASES)
@pytest.mark.parametrize("joined", [True, False])
def test_what_was_written_is_there_after_a_start(log, persists, expected, joined):
    log.store_incarnation("i")
    for batch in [persists] if joined else [[one] for one in persists]:
        log.write(batch)
    log, loaded = restarted(log)
    assert loaded == expected
    assert restarted(log)[1] == expected


@pytest.mark.parametrize("persists, expected", CASES)
def test_each_write_is_there_after_a_start_in_between(log, persists, expected):
    log.store_incarnation("i")
    for one in persists:
        log.write([one])
        log, _ = restarted(log)
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
    log.store_incarnation("i")
    for one in before:
        log.write([one])
    _, held = restarted(log)
    log, _ = restarted(log)
    with pytest.raises(MissingEntryError):
        log.write(wrong)
    assert restarted(log)[1] == held


def test_entries_that_an_earlier_snapshot_contains_are_passed_over_in_joined_writes_too(log):
    log.store_incarnation("i")
    log.write([persist(snapshot=snapshot(9))])
    log.write([persist(*entries(8, 11)), persist(entry(5)), persist(term=1)])
    assert restarted(log)[1] == LogContent("i", ONE, snapshot(9), entries(10, 11))


def test_a_log_may_be_loaded_again(log):
    log.store_incarnation("i")
    log.write([persist(*entries(1, 3))])
    assert log.load() == log.load() == LogContent("i", entries=entries(1, 3))
    log.write([persist(entry(4))])
    assert log.load().entries == entries(1, 4)


def test_copies_are_not_believed(log):
    log.write_configuration_copy(5, b"text")
    assert restarted(log)[1] == LogContent()


def random_persists(chance, count):
    """A history as a member's life makes it, and what it adds up to."""
    held, made = LogContent("i"), []
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
            new, held = kept, LogContent("i", held.hard_state, taken, kept)
        else:
            start = chance.randrange(first, following + 1) if chance.random() < 0.2 else following
            new = entries(start, start + chance.randrange(4) - 1, term)
            if new:
                held = LogContent(
                    "i", held.hard_state, held.snapshot, (*(one for one in held.entries if one.index < start), *new)
                )
        held = LogContent("i", hard_state or held.hard_state, held.snapshot, held.entries)
        made.append((Persist(0, hard_state, taken, new), held))
    return made  # fmt: skip


@pytest.mark.parametrize("kind", ["memory", "disk"])
@settings(max_examples=60, deadline=None)
@given(seed=some.integers(0, 1 << 32))
def test_any_history_joined_in_any_way_with_starts_anywhere(tmp_path_factory, kind, seed):
    chance = Random(seed)
    log = MemoryLog() if kind == "memory" else LogFile(str(tmp_path_factory.mktemp("log")))
    log.load()
    log.store_incarnation("i")
    history = random_persists(chance, 40)
    while history:
        count = chance.choice((1, 1, 2, 5))
        batch, history = history[:count], history[count:]
        log.write([one for one, _ in batch])
        if chance.random() < 0.2:
            log, loaded = restarted(log)
            assert loaded == batch[-1][1]
    assert restarted(log)[1] == batch[-1][1]


@pytest.mark.parametrize(
    "keeps_failed_writes, left", [(False, LogContent("i", ONE)), (True, LogContent("i", TWO, entries=(entry(1),)))]
)
def test_a_log_in_memory_refuses_as_it_is_told(keeps_failed_writes, left):
    log = MemoryLog()
    log.store_incarnation("i")
    log.write([persist(term=1)])
    log.write_error, log.keeps_failed_writes = REFUSALS[0], keeps_failed_writes
    for _ in range(2):
        with pytest.raises(OSError):
            log.write([persist(term=2), persist(entry(1))])
        assert log.load() == left
    log.write_error = None
    log.write([persist(term=2), persist(entry(1)), persist(entry(2))])
    assert log.load() == LogContent("i", TWO, entries=entries(1, 2))
    log.empty()
    assert log.load() == LogContent()
