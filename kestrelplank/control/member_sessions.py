"""Connections to the other control members: dialled by us, or by them to us.

A message goes over the connection that we dialled to its receiver's address, else over the one on which the receiver
speaks to us. Whatever comes bears its sender's identity, and a connection speaks for one identity only.
"""

import asyncio
import time
from collections.abc import Callable

from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.member_messages import Message
from kestrelplank.settings.platform import parse_address
from kestrelplank.transport.messages import Envelope, decode_at_member
from kestrelplank.transport.sessions import Sessions
from kestrelplank.transport.wire import FrameConnection

S = 1_000_000_000
DIAL = 0.6  # s, for a connection to come up
AGAIN = 0.25  # s between dials of a member that does not answer
Receive = Callable[[str, Message], None]


class MemberSessions:
    """Sessions of the member `identity`; members listen for each other at `port`. `receive(sender, message)` is called
    for each message that is for us."""

    def __init__(self, identity: str, port: int, receive: Receive) -> None:
        self._identity, self._port, self._receive = identity, port, receive
        self._inbound = Sessions()
        self._dialled: dict[str, FrameConnection] = {}  # by control address
        self._dialling: dict[str, asyncio.Task[None]] = {}

    def dial(self, addresses: list[str]) -> None:
        """Keeps sessions with the members at these addresses, and lets go of others that we dialled."""
        for address in addresses:
            if address not in self._dialling:
                self._dialling[address] = asyncio.create_task(self._keep(address))
        for address in [address for address in self._dialling if address not in addresses]:
            self._dialling.pop(address).cancel()
            wire = self._dialled.pop(address, None)
            if wire is not None:
                wire.reset()

    def send(self, to: str, message: Message) -> None:
        """Sends to the member of that identity; lost where there is no session."""
        wire = self._dialled.get(address_of(to))
        session = self._inbound.by_name.get(to)
        if wire is not None and wire.is_open:
            wire.send(Envelope(self._identity, to, message))
        elif session is not None:
            session.connection.send(Envelope(self._identity, to, message))

    def send_to_address(self, address: str, message: Message) -> None:
        """Sends to whoever is at that control address."""
        wire = self._dialled.get(address)
        if wire is not None:
            wire.send(Envelope(self._identity, "", message))

    def on_inbound(self, wire: FrameConnection, envelope: Envelope) -> None:
        """A message on a connection that came in."""
        if self._inbound.on_message(time.monotonic_ns(), wire, envelope.sender) is not None:
            self._take(envelope)

    def on_inbound_end(self, wire: FrameConnection) -> None:
        self._inbound.on_closed(wire)

    def close(self) -> None:
        self.dial([])

    def _on_dialled(self, wire: FrameConnection, envelope: object) -> None:
        """A message on a connection that we dialled; `wire.peer`: our address for it, and who has spoken there."""
        address, sender = wire.peer
        if self._dialled.get(address) is not wire or not isinstance(envelope, Envelope):
            return
        if sender is None:
            wire.peer = (address, envelope.sender)
        elif sender != envelope.sender:
            return
        self._take(envelope)

    def _take(self, envelope: Envelope) -> None:
        if envelope.receiver in ("", self._identity) and envelope.sender != self._identity:
            self._receive(envelope.sender, envelope.message)

    async def _keep(self, address: str) -> None:
        """A connection to that address, dialled anew whenever it has ended."""
        host = parse_address(address)[0]
        loop = asyncio.get_running_loop()
        while True:
            ended = asyncio.Event()
            try:
                async with asyncio.timeout(DIAL):
                    _, wire = await loop.create_connection(
                        lambda: FrameConnection(decode_at_member, self._on_dialled, lambda _: ended.set()),  # noqa: B023
                        host,
                        self._port,
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(AGAIN)
                continue
            wire.peer = (address, None)
            self._dialled[address] = wire
            try:
                await ended.wait()
            finally:
                wire.reset()
                if self._dialled.get(address) is wire:
                    del self._dialled[address]
            await asyncio.sleep(AGAIN / 2)
