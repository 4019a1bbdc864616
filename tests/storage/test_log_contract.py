"""The contract of a member's log, for the log on disk and its replacement in memory."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some
from storage.histories import (
    CONFIGURATION,
    DISK_ERRORS,
    HARD_STATE_1,
    HARD_STATE_2,
    HARD_STATE_6,
    MEMBERS,
    entries,
    entry,
    persist,
    reload,
    snapshot,
)
from storage.memory import MemoryLog

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import ChangeMembership, HardState, Noop
from kestrelplank.storage.errors import IncarnationMismatchError, MissingEntryError, NoIncarnationError
from kestrelplank.storage.log_file import LogFile
from kestrelplank.storage.records import LogContent


def test_empty_disk_loads_as_empty_content(log):
    assert log.load() == LogContent(None, HardState(), None, ())


def test_write_before_the_incarnation_is_rejected(log):
    with pytest.raises(NoIncarnationError):
        log.write([persist(term=1)])
    assert reload(log)[1] == LogContent()


def test_incarnation_is_stored_and_cannot_be_replaced(log):
    log.store_incarnation("5f2c")
    log.store_incarnation("5f2c")
    with pytest.raises(IncarnationMismatchError):
        log.store_incarnation("77aa")
    log, loaded = reload(log)
    assert loaded == LogContent("5f2c")
    with pytest.raises(IncarnationMismatchError):
        log.store_incarnation("77aa")
    log.write([persist(term=2)])
    assert reload(log)[1] == LogContent("5f2c", HardState(2, "a:2", "b:1"))


CASES = [
    ([], LogContent("i")),
    ([Persist(1)], LogContent("i")),
    ([persist(term=1)], LogContent("i", HARD_STATE_1)),
    ([persist(term=1), persist(term=2)], LogContent("i", HARD_STATE_2)),
    ([persist(*entries(1, 3))], LogContent("i", entries=entries(1, 3))),
    ([persist(entry(1)), persist(entry(2)), persist(entry(3))], LogContent("i", entries=entries(1, 3))),
    ([persist(entry(1), term=1), persist(entry(2), term=2)], LogContent("i", HARD_STATE_2, entries=entries(1, 2))),
    # new entries replace those from the first one's index on
    ([persist(*entries(1, 3)), persist(entry(2, 2))], LogContent("i", entries=(entry(1), entry(2, 2)))),
    ([persist(*entries(1, 3)), persist(entry(1, 2))], LogContent("i", entries=(entry(1, 2),))),
    ([persist(*entries(1, 3)), persist(*entries(3, 4, 2))], LogContent("i", entries=entries(1, 2) + entries(3, 4, 2))),
    ([persist(*entries(1, 3)), persist(*entries(1, 3))], LogContent("i", entries=entries(1, 3))),
    ([persist(*entries(1, 3)), persist(term=2), persist(entry(3, 2))], LogContent("i", HARD_STATE_2, entries=(*entries(1, 2), entry(3, 2)))),
    # a snapshot replaces all entries, but not the hard state
    ([persist(snapshot=snapshot(9))], LogContent("i", snapshot=snapshot(9))),
    ([persist(*entries(1, 9), term=2), persist(snapshot=snapshot(7))], LogContent("i", HARD_STATE_2, snapshot(7))),
    ([persist(*entries(1, 9), term=2), persist(*entries(8, 9), snapshot=snapshot(7))], LogContent("i", HARD_STATE_2, snapshot(7), entries(8, 9))),
    ([persist(*entries(1, 9), term=2), persist(entry(10), term=6, snapshot=snapshot(9))], LogContent("i", HARD_STATE_6, snapshot(9), (entry(10),))),
    ([persist(snapshot=snapshot(9)), persist(*entries(10, 12)), persist(entry(11, 2))], LogContent("i", snapshot=snapshot(9), entries=(entry(10), entry(11, 2)))),
    ([persist(snapshot=snapshot(9)), persist(snapshot=snapshot(20, 2)), persist(entry(21, 2))], LogContent("i", snapshot=snapshot(20, 2), entries=(entry(21, 2),))),
    ([persist(term=2), persist(snapshot=snapshot(9)), persist(entry(10), term=6)], LogContent("i", HARD_STATE_6, snapshot(9), (entry(10),))),
    # entries that the snapshot covers are dropped
    ([persist(snapshot=snapshot(9)), persist(*entries(8, 11))], LogContent("i", snapshot=snapshot(9), entries=entries(10, 11))),
    ([persist(snapshot=snapshot(9)), persist(entry(10)), persist(*entries(3, 5))], LogContent("i", snapshot=snapshot(9), entries=(entry(10),))),
    ([persist(*entries(7, 11), snapshot=snapshot(9))], LogContent("i", snapshot=snapshot(9), entries=entries(10, 11))),
    # all commands
    (
        [persist(entry(1, 1, Noop()), entry(2, 1, CONFIGURATION), entry(3, 1, ChangeMembership(MEMBERS)))],
        LogContent("i", entries=(entry(1, 1, Noop()), entry(2, 1, CONFIGURATION), entry(3, 1, ChangeMembership(MEMBERS)))),
    ),
]  # fmt: skip


@pytest.mark.parametrize("persists, expected", CASES)
@pytest.mark.parametrize("merged", [True, False])
def test_written_content_is_loaded_after_a_restart(log, persists, expected, merged):
    log.store_incarnation("i")
    for batch in [persists] if merged else [[write] for write in persists]:
        log.write(batch)
    log, loaded = reload(log)
    assert loaded == expected
    assert reload(log)[1] == expected


@pytest.mark.parametrize("persists, expected", CASES)
def test_content_is_complete_with_a_restart_after_each_write(log, persists, expected):
    log.store_incarnation("i")
    for write in persists:
        log.write([write])
        log, _ = reload(log)
    assert log.load() == expected


@pytest.mark.parametrize(
    "before, invalid",
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
def test_write_with_a_missing_entry_is_rejected_and_changes_nothing(log, before, invalid):
    log.store_incarnation("i")
    for write in before:
        log.write([write])
    _, expected = reload(log)
    log, _ = reload(log)
    with pytest.raises(MissingEntryError):
        log.write(invalid)
    assert reload(log)[1] == expected


def test_merged_writes_drop_entries_that_an_earlier_snapshot_covers(log):
    log.store_incarnation("i")
    log.write([persist(snapshot=snapshot(9))])
    log.write([persist(*entries(8, 11)), persist(entry(5)), persist(term=1)])
    assert reload(log)[1] == LogContent("i", HARD_STATE_1, snapshot(9), entries(10, 11))


def test_log_can_be_loaded_again_while_open(log):
    log.store_incarnation("i")
    log.write([persist(*entries(1, 3))])
    assert log.load() == log.load() == LogContent("i", entries=entries(1, 3))
    log.write([persist(entry(4))])
    assert log.load().entries == entries(1, 4)


def test_configuration_copies_are_not_loaded(log):
    log.write_configuration_copy(5, b"text")
    assert reload(log)[1] == LogContent()


def random_persists(random, count):
    """Return a random history: existing write, and the content expected after it."""
    content, history = LogContent("i"), []
    for _ in range(count):
        first = 1 + (content.snapshot.index if content.snapshot else 0)
        following = first + len(content.entries)
        term = content.hard_state.term + random.choice((0, 0, 1))
        hard_state = HardState(term, random.choice(("", "a:1"))) if random.random() < 0.5 else None
        new_snapshot = None
        if content.entries and random.random() < 0.15:
            at = random.randrange(first, following)
            new_snapshot = snapshot(at, term)
            kept = (
                tuple(existing for existing in content.entries if existing.index > at) if random.random() < 0.7 else ()
            )
            new, content = kept, LogContent("i", content.hard_state, new_snapshot, kept)
        else:
            start = random.randrange(first, following + 1) if random.random() < 0.2 else following
            new = entries(start, start + random.randrange(4) - 1, term)
            if new:
                content = LogContent(
                    "i",
                    content.hard_state,
                    content.snapshot,
                    (*(existing for existing in content.entries if existing.index < start), *new),
                )
        content = LogContent("i", hard_state or content.hard_state, content.snapshot, content.entries)
        history.append((Persist(0, hard_state, new_snapshot, new), content))
    return history  # fmt: skip


@pytest.mark.parametrize("kind", ["memory", "disk"])
@settings(max_examples=60, deadline=None)
@given(seed=some.integers(0, 1 << 32))
def test_random_history_with_random_batches_and_restarts_loads_the_expected_content(tmp_path_factory, kind, seed):
    random = Random(seed)
    log = MemoryLog() if kind == "memory" else LogFile(str(tmp_path_factory.mktemp("log")))
    log.load()
    log.store_incarnation("i")
    history = random_persists(random, 40)
    while history:
        count = random.choice((1, 1, 2, 5))
        batch, history = history[:count], history[count:]
        log.write([write for write, _ in batch])
        if random.random() < 0.2:
            log, loaded = reload(log)
            assert loaded == batch[-1][1]
    assert reload(log)[1] == batch[-1][1]


@pytest.mark.parametrize(
    "keeps_failed_writes, expected",
    [(False, LogContent("i", HARD_STATE_1)), (True, LogContent("i", HARD_STATE_2, entries=(entry(1),)))],
)
def test_memory_log_raises_the_set_write_error_and_keeps_or_drops_failed_writes(keeps_failed_writes, expected):
    log = MemoryLog()
    log.store_incarnation("i")
    log.write([persist(term=1)])
    log.write_error, log.keeps_failed_writes = DISK_ERRORS[0], keeps_failed_writes
    for _ in range(2):
        with pytest.raises(OSError):
            log.write([persist(term=2), persist(entry(1))])
        assert log.load() == expected
    log.write_error = None
    log.write([persist(term=2), persist(entry(1)), persist(entry(2))])
    assert log.load() == LogContent("i", HARD_STATE_2, entries=entries(1, 2))
    log.empty()
    assert log.load() == LogContent()
