"""Usage reports as calls to the platform, one at a time, on a connection of their own.

This adapter makes no decisions: it sends each requested call at most once and reports its result.
"""

import asyncio
from collections.abc import Callable

from kestrelplank.http.answer import Answer
from kestrelplank.http.connection import Connection, dial
from kestrelplank.settings.platform import parse_address
from kestrelplank.usage.usage_reporter import CallResult, PlatformCall, call_result

DIAL_TIMEOUT_S = 0.6
CALL_TIMEOUT_S = 4
CALL_ERRORS = (OSError, TimeoutError)


class UsageCalls:
    """Calls to the platform at `address`; it owns the connection.

    :param holder: name of this machine, which the platform is told as the holder of the role.
    :param may_send: whether the call's token is still valid; asked right before the call is sent.
    :param call_ended: called once for each call, with its result, when the call has ended.
    """

    def __init__(
        self,
        address: str,
        holder: str,
        may_send: Callable[[PlatformCall], bool],
        call_ended: Callable[[PlatformCall, CallResult], None],
    ) -> None:
        self._address = parse_address(address)
        self._holder, self._may_send, self._call_ended = holder, may_send, call_ended
        self._connection: Connection | None = None
        self._task: asyncio.Task[None] | None = None

    def put(self, call: PlatformCall) -> None:
        """Send this call; the former one has ended."""
        self._task = asyncio.create_task(self._carry_out(call))

    def close(self) -> None:
        """Cancel the call in flight and reset the connection."""
        if self._task is not None:
            self._task.cancel()
        self._reset()

    async def _carry_out(self, call: PlatformCall) -> None:
        """Send the call and report its result."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                result = await self._send(call)
        except CALL_ERRORS:
            self._reset()
            result = CallResult.UNANSWERED
        self._call_ended(call, result)

    async def _send(self, call: PlatformCall) -> CallResult:
        connection = self._connection
        if connection is None or connection.is_stale() or not connection.reusable:
            self._reset()
            connection = self._connection = await dial(self._address, DIAL_TIMEOUT_S)
        if not self._may_send(call):  # checked right before sending, as the dial took time
            return CallResult.NOT_SENT
        answer: Answer = await connection.call(b"POST", b"/usage", self._headers(call), call.content)
        result = call_result(answer.status)
        if result is not CallResult.ACCEPTED:
            self._reset()  # a copy of the refusal could be taken for the answer to the next report
        return result

    def _headers(self, call: PlatformCall) -> list[tuple[bytes, bytes]]:
        return [
            (b"Host", b"platform"),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(call.content)).encode()),
            (b"X-Duty-Holder", self._holder.encode()),
            (b"X-Fence-Number", str(call.token).encode()),
        ]

    def _reset(self) -> None:
        if self._connection is not None:
            self._connection.reset()
        self._connection = None
