"""What a start makes of a log file that is torn, damaged, or of another release."""

import os

import pytest
from storage.histories import HISTORY, ONE, entry, filled, found_in, persist, started
from storage.memory import MemoryLog
from storage.power_loss import fill

from kestrelplank.consensus.log_entries import PutRecord
from kestrelplank.storage import frames, records
from kestrelplank.storage.errors import LogFormatError
from kestrelplank.storage.records import LogContent


def ends_of_frames(data):
    head = frames.head_frame(data)
    return [frame.end for frame in (head, *frames.frames_after(data, records.decode_head(head).salt, head))]


def held_after(count):
    log = MemoryLog()
    log.store_incarnation("first")
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
        assert loaded == (held_after(whole - 1) if whole else LogContent())
        assert os.listdir(folder) == (["log"] if whole else [])
        assert log.size_bytes == (ends[whole - 1] if whole else 0)


@pytest.mark.parametrize("change", [lambda byte: byte ^ 1, lambda byte: byte ^ 0xFF, lambda byte: 0 if byte else 1])
def test_a_byte_changed_anywhere_is_never_believed(folder, change):
    log = filled(folder, *HISTORY)
    data = open(log.path, "rb").read()
    last = ends_of_frames(data)[-2]
    for at in range(len(data)):
        fill(folder, {"log": data[:at] + bytes([change(data[at])]) + data[at + 1 :]})
        assert found_in(folder) == (held_after(3) if at >= last else LogContent()), at


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
    assert loaded == LogContent() and "counts as empty" in caplog.text
    assert log.size_bytes == 0 and log.frame_count == 0
    assert os.listdir(folder) == ["configuration-0000000000000005.json"]
    log.store_incarnation("new")
    log.write([persist(term=1)])
    assert found_in(folder) == LogContent("new", ONE)


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


def test_a_file_of_another_format_is_refused_and_kept(folder, monkeypatch):
    with monkeypatch.context() as patched:
        patched.setattr(records, "FORMAT_VERSION", 2)
        log = filled(folder, *HISTORY)
    before = open(log.path, "rb").read()
    with pytest.raises(LogFormatError, match="format version 2"):
        started(folder)
    assert open(log.path, "rb").read() == before
