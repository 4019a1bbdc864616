"""The size of a log on disk, and the other files in its folder."""

import os

import pytest
from storage.histories import DISK_ERRORS, HISTORY, create_log, entry, load_content, load_log, persist, snapshot
from storage.power_loss import Disk
from storage.scenario import CONTENT_BEFORE, CONTENT_WITH_LARGE_WRITE, LARGE_WRITE, WRITES_BEFORE, Scenario

from kestrelplank.storage import files
from kestrelplank.storage.log_file import LogFile


def test_compaction_limits_the_size_of_the_folder_and_of_the_loaded_log(folder):
    limit, largest_size, max_frames = 20_000, 0, 0
    log = create_log(folder)
    for index in range(1, 5001):
        log.write([persist(entry(index), term=index)])
        if log.size_bytes > limit:
            log.write([persist(snapshot=snapshot(index))])
        largest_size = max(
            largest_size, sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))
        )
        max_frames = max(max_frames, log.frame_count)
    assert largest_size < limit + 200
    frame_limit = limit // 60
    assert max_frames <= frame_limit
    log, loaded = load_log(folder)
    assert loaded.hard_state.term == 5000 and log.frame_count <= frame_limit and log.size_bytes <= limit
    assert [loaded_entry.index for loaded_entry in loaded.entries] == list(range(loaded.snapshot.index + 1, 5001))
    assert os.listdir(folder) == ["log"]


def test_size_and_frame_count_match_the_file(folder):
    log = create_log(folder)
    for number, write in enumerate(HISTORY, 2):
        log.write([write])
        assert log.size_bytes == os.path.getsize(log.path) and log.frame_count == number
    log, _ = load_log(folder)
    assert log.size_bytes == os.path.getsize(log.path) and log.frame_count == 1 + len(HISTORY)
    log.write([persist(snapshot=snapshot(4))])
    assert log.size_bytes == os.path.getsize(log.path) and log.frame_count == 1


def test_start_removes_only_leftover_temporary_files(folder):
    create_log(folder, *WRITES_BEFORE)
    for name in (
        ".log.x7",
        ".configuration-0000000000000005.json.q1",
        "registers",
        ".other",
        "configuration-0000000000000005.json",
    ):
        with open(os.path.join(folder, name), "wb") as file:
            file.write(b"x")
    assert load_content(folder) == CONTENT_BEFORE
    assert sorted(os.listdir(folder)) == [".other", "configuration-0000000000000005.json", "log", "registers"]


def test_folder_and_its_parents_are_created_durably(tmp_path, monkeypatch):
    folder, synced = str(tmp_path / "a" / "b" / "c"), []
    with monkeypatch.context() as patched:
        patched.setattr(files, "sync_directory", synced.append)
        LogFile(folder)
    assert synced == [str(tmp_path), str(tmp_path / "a"), str(tmp_path / "a" / "b")]
    create_log(folder, *WRITES_BEFORE)
    assert load_content(folder) == CONTENT_BEFORE


def test_only_the_two_newest_configuration_copies_are_kept(folder):
    log = create_log(folder)
    for version in (5, 0x1F, 7, 300, 2):
        log.write_configuration_copy(version, b"text of %d" % version)
    assert sorted(os.listdir(folder)) == [
        "configuration-000000000000001f.json",
        "configuration-000000000000012c.json",
        "log",
    ]
    with open(os.path.join(folder, "configuration-000000000000012c.json"), "rb") as file:
        assert file.read() == b"text of 300"


# Guards against API keys in a file that other users of the machine may read.
def test_only_the_owner_may_read_the_log_and_the_configuration_copies(folder):
    umask = os.umask(0)
    try:
        log = create_log(folder, *WRITES_BEFORE)
        log.write([persist(snapshot=snapshot(4))])
        log.write_configuration_copy(5, b"text")
    finally:
        os.umask(umask)
    assert {name: os.stat(os.path.join(folder, name)).st_mode & 0o777 for name in os.listdir(folder)} == {
        "configuration-0000000000000005.json": 0o600,
        "log": 0o600,
    }


@pytest.mark.parametrize("at", range(5))
def test_failed_configuration_copy_is_logged_and_does_not_affect_the_log(tmp_path, monkeypatch, caplog, at):
    scenario = Scenario(tmp_path, monkeypatch, *WRITES_BEFORE)
    log = scenario.begin()
    log.write_configuration_copy(3, b"three")
    log.write_configuration_copy(4, b"four")
    with monkeypatch.context() as patched:
        scenario.disk = Disk(scenario.folder)
        scenario.disk.install(patched)
        scenario.disk.arm(at, DISK_ERRORS[1])
        log.write_configuration_copy(5, b"five")
    assert "can't write the plain copy of configuration 00000005" in caplog.text
    log.write([LARGE_WRITE])
    assert load_content(scenario.folder) == CONTENT_WITH_LARGE_WRITE
