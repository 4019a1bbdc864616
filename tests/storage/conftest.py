"""Fixtures: each test with `log` runs with a log in memory and with one on disk."""

import pytest
from storage.memory import MemoryLog

from kestrelplank.storage.log_file import LogFile


@pytest.fixture
def folder(tmp_path):
    return str(tmp_path / "member")


@pytest.fixture(params=["memory", "disk"])
def log(request, folder):
    member_log = MemoryLog() if request.param == "memory" else LogFile(folder)
    member_log.load()
    return member_log
