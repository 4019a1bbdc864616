"""Tenants' keys stay secret at a control member: in its log, its status, its refusals and its files."""

import asyncio
import json
import logging
import os
import signal
import stat

import pytest
from configuration.test_parsing import configuration
from control.member_settings import member_settings

from kestrelplank.control import program
from kestrelplank.settings.json_logging import configure_json_logging
from kestrelplank.settings.platform import Bounds, FaultTolerance

TEST_TIMEOUT_S = 20
KEYS = ["first-secret", "second-secret"]
TENANTS = [{"name": "museum", "api_keys": [KEYS[0]]}, {"name": "library", "api_keys": [KEYS[1]]}]
VALID = configuration(tenants=TENANTS)
REFUSED = [
    configuration("00000008", tenants=[*TENANTS, {"name": "archive", "api_keys": [KEYS[0]]}]),
    configuration("00000008", tenants=[{"name": "museum", "api_keys": [[KEYS[0]]]}]),
    configuration("00000008", tenants=[{"name": "museum", "api_keys": KEYS[0]}]),
    configuration("00000008", tenants=[{"name": "", "api_keys": KEYS}]),
    configuration("00000008", tenants=KEYS),
]


@pytest.fixture
def settings(tmp_path):
    with member_settings(tmp_path, Bounds(grace_s=2), FaultTolerance(machine_losses=0)) as settings:
        yield settings


async def call(settings, method, path, body=b""):
    """Call the member's API until it listens; return status and body."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*settings.listen_address("control_plane"))
            break
        except ConnectionError:
            await asyncio.sleep(0)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    answer = await reader.readexactly(length)
    writer.close()
    return int(head.split()[1]), answer


async def replace(settings, document):
    """Send a configuration until a majority can be reached; return status and body."""
    while True:
        answer = await call(settings, "POST", "/api/configuration/replace", json.dumps(document).encode())
        if answer[0] != 503:
            return answer


async def member_run(settings):
    """Run a member that takes a configuration and refuses others; return its answers, except the configuration."""
    running = asyncio.create_task(program.run(settings))
    async with asyncio.timeout(TEST_TIMEOUT_S):
        assert (await replace(settings, VALID))[0] == 200
        answers = [await replace(settings, document) for document in REFUSED]
        assert [status for status, _ in answers] == [400] * len(REFUSED)
        answers.append(await call(settings, "GET", "/api/status"))
        assert (await call(settings, "GET", "/api/configuration/show"))[1] == json.dumps(VALID).encode()
        os.kill(os.getpid(), signal.SIGTERM)
        assert await running == 0
    return [body for _, body in answers]


def test_keys_are_in_no_log_line_status_or_refusal_and_only_the_owner_may_read_their_files(settings, tmp_path, capfd):
    root = logging.getLogger()
    previous = root.handlers[:], root.level
    try:
        configure_json_logging("core-1", "DEBUG")
        answers = asyncio.run(member_run(settings))
    finally:
        root.handlers[:] = previous[0]
        root.setLevel(previous[1])
    written = "".join(capfd.readouterr()).encode()
    assert b"configuration 00000007 is in force" in written
    for key in KEYS:
        assert key.encode() not in written and not any(key.encode() in answer for answer in answers)
    files = [path for path in (tmp_path / "disk").iterdir() if KEYS[0].encode() in path.read_bytes()]
    assert files and all(stat.S_IMODE(path.stat().st_mode) & 0o077 == 0 for path in files)
