"""How large a log on disk gets, and what else is in its folder."""

import os

import pytest
from storage.histories import HISTORY, REFUSALS, entry, filled, found_in, persist, snapshot, started
from storage.power_loss import Disk
from storage.scenario import BEFORE, BIG, HELD, WITH_BIG, Scenario

from kestrelplank.storage import files
from kestrelplank.storage.log_file import LogFile


def test_many_changes_with_compaction_keep_the_folder_and_the_next_start_small(folder):
    bound, largest, most_frames = 20_000, 0, 0
    log = filled(folder)
    for index in range(1, 5001):
        log.write([persist(entry(index), term=index)])
        if log.size_bytes > bound:
            log.write([persist(snapshot=snapshot(index))])
        largest = max(largest, sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder)))
        most_frames = max(most_frames, log.frame_count)
    assert largest < bound + 200
    frames_of_bound = bound // 60
    assert most_frames <= frames_of_bound
    log, loaded = started(folder)
    assert loaded.hard_state.term == 5000 and log.frame_count <= frames_of_bound and log.size_bytes <= bound
    assert [one.index for one in loaded.entries] == list(range(loaded.snapshot.index + 1, 5001))
    assert os.listdir(folder) == ["log"]


def test_size_and_frames_are_those_of_the_file(folder):
    log = filled(folder)
    for number, one in enumerate(HISTORY, 2):
        log.write([one])
        assert log.size_bytes == os.path.getsize(log.path) and log.frame_count == number
    log, _ = started(folder)
    assert log.size_bytes == os.path.getsize(log.path) and log.frame_count == 1 + len(HISTORY)
    log.write([persist(snapshot=snapshot(4))])
    assert log.size_bytes == os.path.getsize(log.path) and log.frame_count == 1


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
        patched.setattr(files, "sync_directory", synced.append)
        LogFile(folder)
    assert synced == [str(tmp_path), str(tmp_path / "a"), str(tmp_path / "a" / "b")]
    filled(folder, *BEFORE)
    assert found_in(folder) == HELD


def test_the_newest_two_copies_are_kept_as_plain_files(folder):
    log = filled(folder)
    for version in (5, 0x1F, 7, 300, 2):
        log.write_configuration_copy(version, b"text of %d" % version)
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
    log.write_configuration_copy(3, b"three")
    log.write_configuration_copy(4, b"four")
    with monkeypatch.context() as patched:
        scenario.disk = Disk(scenario.folder)
        scenario.disk.install(patched)
        scenario.disk.arm(at, REFUSALS[1])
        log.write_configuration_copy(5, b"five")
    assert "can't write the plain copy of configuration 00000005" in caplog.text
    log.write([BIG])
    assert found_in(scenario.folder) == WITH_BIG
