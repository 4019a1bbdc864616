"""What a log on disk does when the disk refuses a call, once or from then on."""

import errno
import os

import pytest
from storage.histories import REFUSALS, SIX, distinct, entry, filled, found_in, persist, snapshot, started
from storage.power_loss import Disk, PowerLost, fill
from storage.scenario import BEFORE, BIG, COMPACTED, COMPACTION, HELD, WRITES, Scenario, refuse_each_call

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import HardState
from kestrelplank.storage.log_file import LogFile
from kestrelplank.storage.records import LogContent


@pytest.mark.parametrize("persists, expected", WRITES)
@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("lasting", [False, True])
def test_a_refused_write_that_is_repeated_is_durable(tmp_path, monkeypatch, persists, expected, refusal, lasting):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    for log in refuse_each_call(scenario, lambda log: log.write(persists), refusal, lasting):
        log.write([*persists, persist(term=9)])
        nine = LogContent("first", HardState(9, "a:9", "b:1"), expected.snapshot, expected.entries)
        assert distinct(scenario.after_power_loss()) == [nine]
        log.write([persist(term=10)])
        ten = LogContent("first", HardState(10, "a:10", "b:1"), expected.snapshot, expected.entries)
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
    for log in refuse_each_call(scenario, lambda log: log.store_incarnation("5f2c"), REFUSALS[0]):
        log.store_incarnation("5f2c")
        assert distinct(scenario.after_power_loss()) == [LogContent("5f2c")]


def test_a_full_disk_in_a_snapshot_leaves_the_log_in_use_and_no_temporary_file(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)
    full = OSError(errno.ENOSPC, "full")
    log = scenario.begin()
    size = log.size_bytes
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        for at in (0, 1, 2, 3):  # a temporary file, its content, its sync, its name
            scenario.disk.arm(at, full)
            with pytest.raises(OSError):
                log.write([COMPACTION])
            assert os.listdir(scenario.folder) == ["log"] and log.size_bytes == size
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
        assert distinct(scenario.after_power_loss()) == [LogContent("first", SIX, snapshot(4), (entry(5),))]


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
        assert log.size_bytes == os.path.getsize(log.path)


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
    os.rename(log.path, f"{log.path}.moved")
    with pytest.raises(OSError):
        log.write([BIG])
    filled(folder, incarnation="other")
    with pytest.raises(OSError):
        log.write([BIG])
    assert found_in(folder) == LogContent("other")
