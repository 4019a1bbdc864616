"""A start must never load damaged data from a log file, and must keep a file of another format."""

import os

import pytest
from storage.histories import HARD_STATE_1, HISTORY, create_log, entry, load_content, load_log, persist
from storage.memory import MemoryLog
from storage.power_loss import fill

from kestrelplank.consensus.log_entries import PutRecord
from kestrelplank.storage import frames, records
from kestrelplank.storage.errors import LogFormatError
from kestrelplank.storage.records import LogContent


def ends_of_frames(data):
    head = frames.head_frame(data)
    return [frame.end for frame in (head, *frames.frames_after(data, records.decode_head(head).salt, head))]


def content_after(count):
    log = MemoryLog()
    log.store_incarnation("first")
    log.write(HISTORY[:count])
    return log.load()


def test_truncated_file_loads_its_complete_batches(folder):
    log = create_log(folder, *HISTORY)
    data = open(log.path, "rb").read()
    ends = ends_of_frames(data)
    for length in range(len(data) + 1):
        fill(folder, {"log": data[:length]})
        complete = sum(end <= length for end in ends)
        log, loaded = load_log(folder)
        assert loaded == (content_after(complete - 1) if complete else LogContent())
        assert os.listdir(folder) == (["log"] if complete else [])
        assert log.size_bytes == (ends[complete - 1] if complete else 0)


@pytest.mark.parametrize("change", [lambda byte: byte ^ 1, lambda byte: byte ^ 0xFF, lambda byte: 0 if byte else 1])
def test_data_with_a_changed_byte_is_never_loaded(folder, change):
    log = create_log(folder, *HISTORY)
    data = open(log.path, "rb").read()
    last = ends_of_frames(data)[-2]
    for at in range(len(data)):
        fill(folder, {"log": data[:at] + bytes([change(data[at])]) + data[at + 1 :]})
        assert load_content(folder) == (content_after(3) if at >= last else LogContent()), at


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
def test_disk_that_lost_synced_data_counts_as_empty(folder, caplog, damage, request):
    log = create_log(folder, *HISTORY)
    data = open(log.path, "rb").read()
    fill(folder, {"log": damage(data, ends_of_frames(data)), "configuration-0000000000000005.json": b"{}"})
    log, loaded = load_log(folder)
    if "a frame removed" in request.node.name:  # later frames are at other offsets, so they are not intact
        assert loaded == content_after(1)
        return
    assert loaded == LogContent() and "counts as empty" in caplog.text
    assert log.size_bytes == 0 and log.frame_count == 0
    assert os.listdir(folder) == ["configuration-0000000000000005.json"]
    log.store_incarnation("new")
    log.write([persist(term=1)])
    assert load_content(folder) == LogContent("new", HARD_STATE_1)


def test_frames_of_another_file_are_not_loaded(folder, tmp_path):
    """After a power loss during a write, a file system may show old blocks."""
    data = open(create_log(folder, *HISTORY).path, "rb").read()
    other = open(create_log(str(tmp_path / "other"), *HISTORY, persist(term=9)).path, "rb").read()
    assert len(other) > len(data)
    for end in ends_of_frames(data)[:-1]:
        fill(folder, {"log": data[:end] + other[end:]})
        assert load_content(folder) == content_after(ends_of_frames(data).index(end))


def test_frames_inside_a_torn_entry_are_not_loaded(folder):
    log = create_log(folder, *HISTORY)
    data = open(log.path, "rb").read()
    log.write([persist(entry(5, 2, PutRecord("views", data)))])
    longer = open(log.path, "rb").read()
    for length in range(len(data) + 1, len(longer)):
        fill(folder, {"log": longer[:length]})
        assert load_content(folder) == content_after(4)


def test_file_of_an_unsupported_format_is_rejected_and_not_changed(folder, monkeypatch):
    with monkeypatch.context() as patched:
        patched.setattr(records, "FORMAT_VERSION", 2)
        log = create_log(folder, *HISTORY)
    before = open(log.path, "rb").read()
    with pytest.raises(LogFormatError, match="format version 2"):
        load_log(folder)
    assert open(log.path, "rb").read() == before
