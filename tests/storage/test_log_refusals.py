"""Disk errors, once or persistent, must neither lose durable writes nor corrupt the log."""

import errno
import os

import pytest
from storage.histories import (
    DISK_ERRORS,
    HARD_STATE_6,
    create_log,
    distinct,
    entry,
    load_content,
    load_log,
    persist,
    snapshot,
)
from storage.power_loss import Disk, PowerLostError, fill
from storage.scenario import (
    COMPACTED_CONTENT,
    COMPACTION,
    CONTENT_BEFORE,
    LARGE_WRITE,
    WRITES,
    WRITES_BEFORE,
    Scenario,
    fail_each_call,
)

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import HardState
from kestrelplank.storage.log_file import LogFile
from kestrelplank.storage.records import LogContent


@pytest.mark.parametrize("persists, expected", WRITES)
@pytest.mark.parametrize("error", DISK_ERRORS)
@pytest.mark.parametrize("persistent", [False, True])
def test_failed_write_is_durable_after_a_retry(tmp_path, monkeypatch, persists, expected, error, persistent):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    for log in fail_each_call(scenario, lambda log: log.write(persists), error, persistent):
        log.write([*persists, persist(term=9)])
        term_9 = LogContent("first", HardState(9, "a:9", "b:1"), expected.snapshot, expected.entries)
        assert distinct(scenario.after_power_loss()) == [term_9]
        log.write([persist(term=10)])
        term_10 = LogContent("first", HardState(10, "a:10", "b:1"), expected.snapshot, expected.entries)
        assert distinct(scenario.after_power_loss()) == [term_10]


@pytest.mark.parametrize("persists, expected", WRITES)
@pytest.mark.parametrize("error", DISK_ERRORS)
@pytest.mark.parametrize("persistent", [False, True])
def test_power_loss_after_a_disk_error_leaves_all_or_nothing(
    tmp_path, monkeypatch, persists, expected, error, persistent
):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    for _ in fail_each_call(scenario, lambda log: log.write(persists), error, persistent):
        assert all(content in (CONTENT_BEFORE, expected) for content in scenario.after_power_loss())


@pytest.mark.parametrize("persists, expected", WRITES)
def test_power_loss_at_any_call_of_a_retried_write_leaves_all_or_nothing(tmp_path, monkeypatch, persists, expected):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    at, lost = 0, True
    while lost:
        lost = False
        for log in fail_each_call(scenario, lambda log: log.write(persists), DISK_ERRORS[0]):
            scenario.disk.arm(at)
            try:
                log.write(persists)
                assert distinct(scenario.after_power_loss()) == [expected]
            except PowerLostError:
                lost = True
                assert all(content in (CONTENT_BEFORE, expected) for content in scenario.after_power_loss())
        at += 1


@pytest.mark.parametrize("persists, expected", WRITES)
@pytest.mark.parametrize("error", DISK_ERRORS)
@pytest.mark.parametrize("persistent", [False, True])
def test_state_loaded_after_a_disk_error_survives_power_loss(
    tmp_path, monkeypatch, persists, expected, error, persistent
):
    """After the error the process restarts, and then power is lost: a batch whose sync failed must be on disk once a
    start has loaded it, although it was only in the page cache before."""
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    for log in fail_each_call(scenario, lambda log: log.write(persists), error, persistent):
        log.close()
        _, loaded = load_log(scenario.folder)
        assert loaded in (CONTENT_BEFORE, expected)
        assert distinct(scenario.after_power_loss()) == [loaded]


def test_start_fails_if_it_cannot_rewrite_a_batch_whose_sync_failed(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    log = scenario.begin()
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        scenario.disk.arm(1, DISK_ERRORS[0])
        with pytest.raises(OSError):
            log.write([LARGE_WRITE])
        for at in range(4):
            scenario.disk.arm(at, DISK_ERRORS[0])
            with pytest.raises(OSError):
                load_log(scenario.folder)


def test_storing_the_incarnation_can_be_retried_after_a_disk_error(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch)

    def begin():
        fill(scenario.folder, {})
        scenario.disk = Disk(scenario.folder)
        log = LogFile(scenario.folder)
        log.load()
        return log

    scenario.begin = begin
    for log in fail_each_call(scenario, lambda log: log.store_incarnation("5f2c"), DISK_ERRORS[0]):
        log.store_incarnation("5f2c")
        assert distinct(scenario.after_power_loss()) == [LogContent("5f2c")]


def test_full_disk_during_compaction_keeps_the_old_log_and_no_temporary_file(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
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
            assert distinct(scenario.after_power_loss()) == [CONTENT_BEFORE]
        scenario.disk.arm()
        log.write([COMPACTION])
    assert load_content(scenario.folder) == COMPACTED_CONTENT


def test_failed_write_is_truncated_once_durably_before_the_next_write(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    log = scenario.begin()
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        scenario.disk.arm(1, DISK_ERRORS[0], persistent=True)
        with pytest.raises(OSError):
            log.write([LARGE_WRITE])
        scenario.disk.arm()
        log.write([LARGE_WRITE])
        assert scenario.disk.log == ["ftruncate", "fsync", "pwrite", "fdatasync"]
        scenario.disk.arm()
        log.write([persist(term=9)])
        assert scenario.disk.log == ["pwrite", "fdatasync"]


def test_nothing_is_appended_to_a_new_file_before_its_name_is_durable(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    log = scenario.begin()
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        scenario.disk.arm(4, DISK_ERRORS[0])
        with pytest.raises(OSError):
            log.write([COMPACTION])
        assert scenario.disk.log[-1] == "sync folder"
        scenario.disk.arm(0, DISK_ERRORS[0])
        with pytest.raises(OSError):
            log.write([persist(term=6)])
        assert scenario.disk.log == ["sync folder"]
        scenario.disk.arm()
        log.write([persist(term=6)])
        assert distinct(scenario.after_power_loss()) == [LogContent("first", HARD_STATE_6, snapshot(4), (entry(5),))]


def test_disk_errors_leak_no_file_descriptor(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    log = scenario.begin()
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        before = len(os.listdir("/proc/self/fd"))
        for at in (0, 1, 2, 3, 4) * 3:
            scenario.disk.arm(at, DISK_ERRORS[1])
            with pytest.raises(OSError):
                log.write([COMPACTION])
        assert len(os.listdir("/proc/self/fd")) == before


def test_failed_write_takes_no_space(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    for log in fail_each_call(scenario, lambda log: log.write([LARGE_WRITE]), DISK_ERRORS[1]):
        assert log.size_bytes == os.path.getsize(log.path)


def test_batch_takes_one_write_and_one_sync_however_many_persists_it_merges(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    log = scenario.begin()
    with monkeypatch.context() as patched:
        scenario.disk.install(patched)
        log.write([persist(entry(index), term=index) for index in range(6, 90)])
        log.write([])
        log.write([Persist(1)])
    assert scenario.disk.log == ["pwrite", "fdatasync"]


def test_write_fails_after_the_log_file_was_moved(folder):
    log = create_log(folder, *WRITES_BEFORE)
    os.rename(log.path, f"{log.path}.moved")
    with pytest.raises(OSError):
        log.write([LARGE_WRITE])
    create_log(folder, incarnation="other")
    with pytest.raises(OSError):
        log.write([LARGE_WRITE])
    assert load_content(folder) == LogContent("other")
