import os

import pytest

from kestrelplank.file_discovery.atomic_write import write_atomically


def test_a_file_is_replaced_atomically_and_keeps_its_mode(tmp_path):
    path = tmp_path / "nodes.ini"
    write_atomically(str(path), b"one")
    path.chmod(0o640)
    with open(path, "rb") as reader:  # an open reader keeps the old content
        write_atomically(str(path), b"two")
        assert reader.read() == b"one"
    assert path.read_bytes() == b"two" and path.stat().st_mode & 0o777 == 0o640
    assert os.listdir(tmp_path) == ["nodes.ini"]


@pytest.mark.parametrize("failing_call", ["fsync", "replace"])
def test_failed_write_keeps_the_old_file_and_leaves_no_temporary_file(tmp_path, monkeypatch, failing_call):
    path = tmp_path / "nodes.ini"
    path.write_bytes(b"one")

    def raise_no_space(*_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, failing_call, raise_no_space)
    with pytest.raises(OSError, match="No space left"):
        write_atomically(str(path), b"two")
    assert path.read_bytes() == b"one" and os.listdir(tmp_path) == ["nodes.ini"]
