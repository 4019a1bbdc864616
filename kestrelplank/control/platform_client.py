"""HTTP client for the platform's list of servers, with one persistent connection."""

import asyncio
import logging
from http import HTTPStatus

import httpcore
import msgspec

from kestrelplank.http.connection import Connection, dial
from kestrelplank.settings.platform import parse_address
from kestrelplank.time_units import seconds_to_ns
from kestrelplank.transport.server_list import ListedServer

DIAL_TIMEOUT_S = 0.6
FETCH_TIMEOUT_S = 1.5
"""Time-out for all pages together."""
FETCH_ERRORS = (
    OSError,
    TimeoutError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    msgspec.DecodeError,
)

log = logging.getLogger("control")


class Instance(msgspec.Struct):
    """A server in the platform's list; other fields are ignored."""

    server_id: str
    target_service: str
    address: str
    zone: str
    slots: int
    state: str
    warmup_left_s: float


class Page(msgspec.Struct):
    """One page of the list, and the token of the next page; None or empty on the last page."""

    instances: list[Instance]
    next_token: str | None = None


class PlatformClient:
    """Client of the platform at `address`. It owns the connection and resets it after any of `FETCH_ERRORS`."""

    def __init__(self, address: str) -> None:
        self._address = parse_address(address)
        self._connection: Connection | None = None

    async def fetch_servers(self) -> list[ListedServer] | None:
        """Return the complete list; None if the fetch failed."""
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                return await self._fetch_pages()
        except FETCH_ERRORS as err:
            log.warning(
                "Control: can't fetch the platform's list of servers, keeping the previous one: %s", type(err).__name__
            )
            self._reset()
            return None

    async def _fetch_pages(self) -> list[ListedServer] | None:
        entries: list[ListedServer] = []
        token: str | None = None
        while True:
            page = await self._fetch_page(token)
            if page is None:
                return None
            entries += [server_entry(instance) for instance in page.instances]
            token = page.next_token
            if not token:
                return entries

    async def _fetch_page(self, token: str | None) -> Page | None:
        connection = self._connection
        if connection is None or connection.is_stale() or not connection.reusable:
            connection = self._connection = await dial(self._address, DIAL_TIMEOUT_S)
        target = "/instances" + (f"?page_token={token}" if token else "")
        answer = await connection.call(b"GET", target.encode(), [(b"Host", b"platform")], b"")
        return msgspec.json.decode(answer.body, type=Page) if answer.status == HTTPStatus.OK else None

    def _reset(self) -> None:
        if self._connection is not None:
            self._connection.reset()
        self._connection = None


def server_entry(instance: Instance) -> ListedServer:
    """Convert a server to the form that control members and edge machines exchange."""
    return ListedServer(
        instance.server_id,
        instance.target_service,
        instance.address,
        instance.zone,
        instance.slots,
        instance.state,
        seconds_to_ns(instance.warmup_left_s),
    )
