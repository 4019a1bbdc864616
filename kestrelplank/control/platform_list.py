"""The platform's list of servers, asked for over HTTP on one kept connection."""

import asyncio
import logging

import httpcore
import msgspec

from kestrelplank.http.connection import Connection, dial
from kestrelplank.settings.platform import parse_address
from kestrelplank.time_units import seconds_to_ns
from kestrelplank.transport.server_list import ListedServer

DIAL = 0.6  # s, for a connection to come up
WITHIN = 1.5  # s, for all pages
FAILED = (OSError, TimeoutError, httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
log = logging.getLogger("control")


class Instance(msgspec.Struct):
    """A server as the platform lists it; other fields are skipped."""

    server_id: str
    target_service: str
    address: str
    zone: str
    slots: int
    state: str
    warmup_left_s: float


class Page(msgspec.Struct):
    """One page of the list, and what to ask for the next one."""

    instances: list[Instance]
    next_token: str | None = None


class PlatformList:
    """The list at that address."""

    def __init__(self, address: str) -> None:
        self._address = parse_address(address)
        self._connection: Connection | None = None

    async def fetch(self) -> list[ListedServer] | None:
        """The whole list, page by page; None where it could not be had."""
        try:
            async with asyncio.timeout(WITHIN):
                return await self._pages()
        except (*FAILED, msgspec.DecodeError) as err:
            log.warning("Control: the platform's list can't be had: %s", type(err).__name__)
            if self._connection is not None:
                self._connection.reset()
            self._connection = None
            return None

    async def _pages(self) -> list[ListedServer] | None:
        found: list[ListedServer] = []
        token: str | None = None
        while True:
            page = await self._page(token)
            if page is None:
                return None
            found += [entry(instance) for instance in page.instances]
            token = page.next_token
            if not token:
                return found

    async def _page(self, token: str | None) -> Page | None:
        connection = self._connection
        if connection is None or connection.has_surplus() or not connection.reusable:
            connection = self._connection = await dial(self._address, DIAL)
        target = "/instances" + (f"?page_token={token}" if token else "")
        answer = await connection.ask(b"GET", target.encode(), [(b"Host", b"platform")], b"")
        return msgspec.json.decode(answer.body, type=Page) if answer.status == 200 else None


def entry(instance: Instance) -> ListedServer:
    """The server as our processes tell it to each other."""
    return ListedServer(
        instance.server_id,
        instance.target_service,
        instance.address,
        instance.zone,
        instance.slots,
        instance.state,
        seconds_to_ns(instance.warmup_left_s),
    )
