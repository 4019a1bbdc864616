"""Start of the control program from a disk that hangs or fails."""

import asyncio
import os
import signal
import threading

import pytest
from control.member_settings import member_settings

from kestrelplank.control import program
from kestrelplank.roles.role_names import USAGE_REPORT
from kestrelplank.settings.platform import Bounds
from kestrelplank.storage.log_file import LogFile
from kestrelplank.usage.policy import usage_policy


@pytest.fixture
def settings(tmp_path):
    with member_settings(tmp_path, Bounds(grace_s=1.5)) as settings:
        yield settings


def exit_code_after_sigterm(settings, ready):
    """Run the program, send SIGTERM once `ready` is set, and return the exit code."""

    async def run():
        running = asyncio.create_task(program.run(settings))
        while not ready.is_set():
            await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        async with asyncio.timeout(10):
            return await running

    return asyncio.run(run())


def test_sigterm_ends_the_program_while_the_disk_hangs_at_the_start(settings, monkeypatch):
    reading, may_load = threading.Event(), threading.Event()

    class HangingLog(LogFile):
        def load(self):
            reading.set()
            may_load.wait(30)
            return super().load()

    monkeypatch.setattr(program, "LogFile", HangingLog)
    try:
        assert exit_code_after_sigterm(settings, reading) == 0
    finally:
        may_load.set()


def test_a_disk_error_at_the_start_is_retried(settings, monkeypatch):
    failures, loaded = [OSError("no folder"), OSError("no folder")], threading.Event()

    class FailingLog(LogFile):
        def __init__(self, folder):
            if failures:
                raise failures.pop()
            super().__init__(folder)
            loaded.set()

    monkeypatch.setattr(program, "LogFile", FailingLog)
    monkeypatch.setattr(program, "START_RETRY_INTERVAL_S", 0)
    assert exit_code_after_sigterm(settings, loaded) == 0 and not failures


# Guards against a role that is assigned and reports nothing, as only one of two readers knows the platform's name for it.
@pytest.mark.parametrize("duty", program.ROLE_BY_DUTY)
def test_each_duty_that_has_a_role_turns_its_reports_on(settings, duty):
    settings.cloud_api.duties.append(duty)
    assert program.configured_roles(settings.cloud_api.duties) == (USAGE_REPORT,)
    assert usage_policy(settings) is not None


def test_unknown_duties_are_ignored_with_one_log_line(caplog):
    assert program.configured_roles(["usage", "invoices", "usage", "audits"]) == (USAGE_REPORT,)
    assert [record.getMessage() for record in caplog.records] == [
        "Control: platform.cloud_api.duties: ignored, as unknown: invoices, audits"
    ]
