"""Connections to the other control members, outbound and inbound.

A message goes over the outbound connection to its receiver's address or, if there is none, over the receiver's inbound
connection. Every message carries its sender's identity, and a connection is bound to one identity.
"""

import asyncio
import time
from collections.abc import Callable

from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.member_messages import Message
from kestrelplank.settings.platform import parse_address
from kestrelplank.time_units import SECOND
from kestrelplank.transport.messages import Envelope, ToMember, decode_at_member
from kestrelplank.transport.sessions import Sessions
from kestrelplank.transport.wire import FrameConnection

DIAL_TIMEOUT_S = 0.6
REDIAL_INTERVAL_S = 0.25
"""Delay after a failed dial."""
REDIAL_AFTER_END_S = REDIAL_INTERVAL_S / 2
"""Delay from the end of a connection to the next dial."""
UNANSWERED_TIMEOUT_NS = 3 * SECOND // 2
"""An outbound connection is reset and dialled again if a message sent on it gets no reply within this time.

Shorter than the peer's idle time-out (`inbound_connections.IDLE_TIMEOUT_NS`): the peer's reset may be lost in a one-way
partition, and TCP may not detect that the peer has closed the connection.
"""

MemberConnection = FrameConnection[ToMember]
"""A connection that delivers messages to a control member."""
MessageHandler = Callable[[str, Message], None]


class MemberSessions:
    """Sessions of one member with the others. It owns its outbound connections and the tasks that maintain them.

    A connection whose peer has vanished without notice is reset after `UNANSWERED_TIMEOUT_NS`
    (`test_a_connection_whose_peer_vanished_is_reset_and_dialled_again`).

    :param identity: this member's own identity.
    :param port: the port on which all members listen for each other.
    :param handle_message: called with the sender's identity and each message addressed to this member.
    """

    def __init__(self, identity: str, port: int, handle_message: MessageHandler) -> None:
        self._identity = identity
        self._port = port
        self._handle_message = handle_message
        self._inbound: Sessions[MemberConnection] = Sessions()
        self._outbound: dict[str, MemberConnection] = {}  # by control address
        self._outbound_tasks: dict[str, asyncio.Task[None]] = {}  # by control address
        # By control address: time of the first message sent on the outbound connection since the member was last heard.
        self._unanswered_since: dict[str, int] = {}

    def keep_sessions_with(self, addresses: list[str]) -> None:
        """Keep an outbound connection to each of these addresses, and close those to all other addresses."""
        for address in addresses:
            if address not in self._outbound_tasks:
                self._outbound_tasks[address] = asyncio.create_task(self._keep_connected(address))
        for address in [address for address in self._outbound_tasks if address not in addresses]:
            self._outbound_tasks.pop(address).cancel()
            self._unanswered_since.pop(address, None)
            connection = self._outbound.pop(address, None)
            if connection is not None:
                connection.reset()

    def reset_unanswered(self, now: int) -> None:
        """Reset outbound connections to members that do not reply, so that they are dialled again.

        A member that does not read either is reset sooner (`FrameConnection.stands_still`).
        """
        for address, since in list(self._unanswered_since.items()):
            connection = self._outbound.get(address)
            stands_still = connection is not None and connection.stands_still(now, now - since)
            if now - since > UNANSWERED_TIMEOUT_NS or stands_still:
                del self._unanswered_since[address]
                if connection is not None:
                    connection.reset()

    def send(self, to: str, message: Message) -> None:
        """Send to the member with that identity; the message is dropped if there is no session."""
        address = address_of(to)
        connection = self._outbound.get(address)
        session = self._inbound.by_name.get(to)
        if connection is not None and connection.is_open:
            self._unanswered_since.setdefault(address, time.monotonic_ns())
            connection.send(Envelope(self._identity, to, message))
        elif session is not None:
            session.connection.send(Envelope(self._identity, to, message))

    def send_to_address(self, address: str, message: Message) -> None:
        """Send to the member at that control address; the message is dropped if there is no outbound connection."""
        connection = self._outbound.get(address)
        if connection is not None:
            self._unanswered_since.setdefault(address, time.monotonic_ns())
            connection.send(Envelope(self._identity, "", message))

    def handle_inbound(self, connection: MemberConnection, envelope: Envelope) -> None:
        """Deliver a message from an inbound connection."""
        if self._inbound.on_message(time.monotonic_ns(), connection, envelope.sender) is not None:
            self._deliver(envelope)

    def handle_inbound_ended(self, connection: MemberConnection) -> None:
        """Remove an inbound connection that has ended."""
        self._inbound.on_closed(connection)

    def close(self) -> None:
        """Close all outbound connections."""
        self.keep_sessions_with([])

    def _handle_outbound(self, connection: MemberConnection, envelope: ToMember) -> None:
        """Deliver a message from an outbound connection.

        `connection.peer` is the dialled address and the identity of the first sender, None until a message arrives.
        """
        address, first_sender = connection.peer
        if self._outbound.get(address) is not connection or not isinstance(envelope, Envelope):
            return
        if first_sender is None:
            connection.peer = (address, envelope.sender)
        elif first_sender != envelope.sender:
            return
        self._deliver(envelope)

    def _deliver(self, envelope: Envelope) -> None:
        self._unanswered_since.pop(address_of(envelope.sender), None)
        if envelope.receiver in ("", self._identity) and envelope.sender != self._identity:
            self._handle_message(envelope.sender, envelope.message)

    async def _keep_connected(self, address: str) -> None:
        """Keep a connection to that address, dialling again whenever it ends."""
        while True:
            ended = asyncio.Event()
            try:
                connection = await self._connect(address, ended)
            except (OSError, TimeoutError):
                await asyncio.sleep(REDIAL_INTERVAL_S)
                continue
            connection.peer = (address, None)
            self._outbound[address] = connection
            self._unanswered_since.pop(address, None)
            try:
                await ended.wait()
            finally:
                connection.reset()
                if self._outbound.get(address) is connection:
                    del self._outbound[address]
            await asyncio.sleep(REDIAL_AFTER_END_S)

    async def _connect(self, address: str, ended: asyncio.Event) -> MemberConnection:
        """Return a new connection, which sets `ended` when it has ended.

        :raises OSError: the connection is refused.
        :raises TimeoutError: the dial takes longer than `DIAL_TIMEOUT_S`.
        """
        host = parse_address(address)[0]
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: FrameConnection(decode_at_member, self._handle_outbound, lambda _: ended.set()),
                host,
                self._port,
            )
        return connection
