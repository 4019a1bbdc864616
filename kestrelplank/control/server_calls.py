"""Grants and releases as calls to servers: one queue and one connection for each server's address.

The adapter decides nothing: it sends each call that the deciding core asked for and reports how it ended.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import httpcore
import msgspec

from kestrelplank.config.platform import endpoint
from kestrelplank.http.call import Connection, dial
from kestrelplank.sharding.lines import CALL, HOLD, RELEASE, Line

S = 1_000_000_000
DIAL = 0.6  # s, for a connection to come up
FAILED = (OSError, TimeoutError, httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
Effect = tuple[Any, ...]
# service, word, line, whether anything was sent, status of the answer if one came, handover that it carried
Called = Callable[[str, str, Line, bool, int | None, str | None], None]


class ServerCalls:
    """Grants and releases to one server, one after the other on one connection."""

    def __init__(self, called: Called, address: str) -> None:
        self.called, self.address = called, endpoint(address)
        self.connection: Connection | None = None
        self.queue: asyncio.Queue[Effect] = asyncio.Queue()
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        while True:
            _, word, service, name, _, line, until = await self.queue.get()
            grant = word == "grant"
            if grant and time.monotonic_ns() >= until:
                self.called(service, word, line, False, None, None)
                continue
            body = {"source": line.first, "target_version": line.last, "fence": line.fence}
            if grant:
                body["hold_s"] = HOLD / S
                if line.handover:
                    body["handover"] = line.handover
            sent, status, handover = await self.ask(
                f"/api/{word}", body, (CALL if grant else RELEASE) / S, until if grant else None
            )
            self.called(service, word, line, sent, status, handover)

    async def ask(
        self, target: str, body: dict[str, Any], within: float, until: int | None
    ) -> tuple[bool, int | None, str | None]:
        """Whether anything was sent, the status if an answer came, and the handover that it carried."""
        text = msgspec.json.encode(body)
        headers = [
            (b"Host", b"server"),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(text)).encode()),
        ]
        connection, sent = self.connection, False
        try:
            async with asyncio.timeout(within):
                if connection is None or connection.surplus() or not connection.keep:
                    if connection is not None:
                        connection.reset()
                    connection = self.connection = await dial(self.address, DIAL)
                if until is not None and time.monotonic_ns() >= until:
                    return False, None, None
                sent = True
                answer = await connection.ask(b"POST", target.encode(), headers, text)
            handover = answer.fields.get(b"x-handover")
            return True, answer.status, handover.decode() if handover else None
        except FAILED:
            if connection is not None:
                connection.reset()
            self.connection = None
            return sent, None, None

    def close(self) -> None:
        self.task.cancel()
        if self.connection is not None:
            self.connection.reset()
