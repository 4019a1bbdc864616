"""Logs that a test is run with: one in memory, one on disk."""

import pytest
from storage.memory import MemoryLog

from kestrelplank.storage.log_file import LogFile


@pytest.fixture
def folder(tmp_path):
    return str(tmp_path / "member")


@pytest.fixture(params=["memory", "disk"])
def log(request, folder):
    made = MemoryLog() if request.param == "memory" else LogFile(folder)
    made.load()
    return made
