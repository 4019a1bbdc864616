"""The platform of a soak: it lists the servers, and takes usage reports under their fences."""

import asyncio
from enum import Enum
from random import Random

import msgspec

from kestrelplank.http.asgi import Receive, Scope, Send
from kestrelplank.rehearsal.asgi import receive_body, send_answer
from kestrelplank.rehearsal.simulated_platform import SimulatedPlatform
from kestrelplank.rehearsal.soak_records import SoakRecords, UsageCall
from kestrelplank.rehearsal.soak_servers import SoakServers

USAGE_PATH = "/usage"
SLOW_ANSWER_S = (0.3, 3.0)
SILENCE_S = 8.0  # for which an answer is withheld


class PlatformState(Enum):
    """How the platform treats calls."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    BUSY = "busy"  # 429 to usage reports
    LOSES_ANSWERS = "loses answers"  # usage reports are taken, but not answered


class UsageReport(msgspec.Struct, frozen=True):
    """The body of a usage report."""

    window_number: int
    counts: dict[str, int]


class SoakPlatform(SimulatedPlatform):
    """The platform, whose `state` the soak sets."""

    def __init__(self, servers: SoakServers, records: SoakRecords, random: Random) -> None:
        super().__init__(servers.listed)
        self.state = PlatformState.UP
        self._records, self._random, self._highest_fence = records, random, 0

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a call as far as the state allows."""
        if self.state is PlatformState.DOWN:
            await send_answer(send, 503, [(b"connection", b"close")], b"")
            return
        if self.state is PlatformState.SLOW:
            await asyncio.sleep(self._random.uniform(*SLOW_ANSWER_S))
        if scope["path"] == USAGE_PATH:
            await self._take_usage(scope, receive, send)
        else:
            await super().app(scope, receive, send)

    async def _take_usage(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await receive_body(receive)
        if body is None:
            return
        if self.state is PlatformState.BUSY:
            await send_answer(send, 429, [], b"")
            return
        status = self._usage(dict(scope["headers"]), body)
        if self.state is PlatformState.LOSES_ANSWERS:
            await asyncio.sleep(SILENCE_S)
        await send_answer(send, status, [], b"")

    def _usage(self, fields: dict[bytes, bytes], body: bytes) -> int:
        """Take a report; return the HTTP status, 409 if a higher fence is known."""
        holder, fence = fields.get(b"x-duty-holder", b"").decode(), int(fields.get(b"x-fence-number", b"-1"))
        report = msgspec.json.decode(body, type=UsageReport)
        status = 409 if fence < self._highest_fence else 200
        self._highest_fence = max(self._highest_fence, fence)
        self._records.usage_calls.append(
            UsageCall(self._records.now(), holder, fence, report.window_number, report.counts, status)
        )
        return status
