"""Operator calls to a control member."""

import asyncio
from typing import NamedTuple

import msgspec

from kestrelplank.control.status import MemberStatus
from kestrelplank.http.connection import dial
from kestrelplank.settings.platform import parse_address

CALL_TIMEOUT_S = 10
CONNECT_TIMEOUT_S = 2


class MemberAnswer(NamedTuple):
    """The answer of a control member: an HTTP status code and a JSON body."""

    status: int
    body: bytes


async def call(address: str, method: bytes, path: bytes, body: bytes = b"") -> MemberAnswer:
    """Call the control member at `address`.

    :raises InvalidSettingsError: `address` is not a valid address.
    :raises OSError: the connection can't be established, or ends before the answer is complete.
    :raises TimeoutError: the member does not answer in time.
    """
    headers = [
        (b"Host", b"control"),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode()),
    ]
    async with asyncio.timeout(CALL_TIMEOUT_S):
        connection = await dial(parse_address(address, "ADDRESS"), CONNECT_TIMEOUT_S)
        try:
            answer = await connection.call(method, path, headers, body)
        finally:
            connection.reset()
    return MemberAnswer(answer.status, answer.body)


async def fetch_status(address: str) -> MemberStatus:
    """Return the status of the control member at `address`; raises the same errors as `call`."""
    answer = await call(address, b"GET", b"/api/status")
    return msgspec.json.decode(answer.body, type=MemberStatus)
