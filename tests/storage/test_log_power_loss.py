"""A power loss at any call of a log on disk must leave each write complete or absent."""

import pytest
from storage.histories import HARD_STATE_2, HARD_STATE_6, distinct, entries, entry, load_content, persist, snapshot
from storage.power_loss import Disk, PowerLostError, fill
from storage.scenario import (
    COMPACTED_CONTENT,
    COMPACTION,
    CONTENT_BEFORE,
    CONTENT_WITH_LARGE_WRITE,
    LARGE_WRITE,
    WRITES_BEFORE,
    Scenario,
)

from kestrelplank.storage.log_file import LogFile
from kestrelplank.storage.records import LogContent


@pytest.mark.parametrize(
    "persists, expected, calls",
    [
        ([LARGE_WRITE], CONTENT_WITH_LARGE_WRITE, 2),
        ([persist(term=6)], LogContent("first", HARD_STATE_6, None, entries(1, 5)), 2),
        ([persist(entry(4, 2))], LogContent("first", HARD_STATE_2, None, (*entries(1, 3), entry(4, 2))), 2),
        ([persist(term=6), persist(LARGE_WRITE.entries[0]), persist(LARGE_WRITE.entries[1])], CONTENT_WITH_LARGE_WRITE, 2),
        ([COMPACTION], COMPACTED_CONTENT, 5),
        ([persist(entry(6), term=6), persist(*entries(5, 6), snapshot=snapshot(4))], LogContent("first", HARD_STATE_6, snapshot(4), entries(5, 6)), 5),
    ],
)  # fmt: skip
def test_power_loss_at_any_call_of_a_write_leaves_all_or_nothing(tmp_path, monkeypatch, persists, expected, calls):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)

    def check(lost, loaded):
        assert loaded == expected if not lost else loaded in (CONTENT_BEFORE, expected)

    scenario.lose_power_at_each_call(lambda log: log.write(persists), check)
    assert scenario.calls == calls
    assert distinct(loaded for _, loaded in scenario.results) in (
        [CONTENT_BEFORE, expected],
        [expected, CONTENT_BEFORE],
    )


def test_power_loss_at_any_call_of_the_first_start_leaves_an_empty_disk_or_the_incarnation(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch)

    def first_start(log):
        log.load()
        log.store_incarnation("5f2c")
        log.write([persist(term=2)])

    def begin():
        fill(scenario.folder, {})
        scenario.disk = Disk(scenario.folder)
        return LogFile(scenario.folder)

    scenario.begin = begin
    written = LogContent("5f2c", HARD_STATE_2)

    def check(lost, loaded):
        assert loaded == written if not lost else loaded in (LogContent(), LogContent("5f2c"), written)

    scenario.lose_power_at_each_call(first_start, check)
    assert distinct(loaded for _, loaded in scenario.results) == [LogContent(), LogContent("5f2c"), written]


def test_second_power_loss_at_any_call_of_a_start_and_its_first_write_leaves_all_or_nothing(tmp_path, monkeypatch):
    """The first power loss left a torn batch, in each possible form."""
    first = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    log = first.begin()
    with monkeypatch.context() as patched:
        first.disk.install(patched)
        first.disk.arm(1)
        with pytest.raises(PowerLostError):
            log.write([LARGE_WRITE])
    outcomes = list(first.disk.outcomes(40))
    assert len(outcomes) > 20
    second = Scenario(tmp_path, monkeypatch)
    for contents in outcomes:
        fill(second.folder, contents)
        assert load_content(second.folder) in (CONTENT_BEFORE, CONTENT_WITH_LARGE_WRITE)
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
                except PowerLostError:
                    lost = True
            written = LogContent("first", HARD_STATE_6, None, (*entries(1, 5), entry(6, 9)))
            allowed = (
                (CONTENT_BEFORE, CONTENT_WITH_LARGE_WRITE)
                if loaded is None
                else (loaded, written)
                if lost
                else (written,)
            )
            for content in second.after_power_loss(40):
                assert content in allowed, (at, loaded)
            at += 1
