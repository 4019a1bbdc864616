"""Sessions between control members on loopback: routing of messages, sender checks and redialling."""

import asyncio
import time

from kestrelplank.consensus.member_messages import MembershipQuery, MembershipUpdate
from kestrelplank.consensus.membership import Membership
from kestrelplank.control.inbound_connections import IDLE_TIMEOUT_NS
from kestrelplank.control.member_sessions import UNANSWERED_TIMEOUT_NS, MemberSessions
from kestrelplank.rehearsal.loopback import PortReservations
from kestrelplank.time_units import SECOND
from kestrelplank.transport.messages import EdgeHeartbeat, Envelope, decode_at_member
from kestrelplank.transport.wire import UNREAD_AND_SILENT_NS, FrameConnection

FIRST_IP, SECOND_IP = "127.0.0.1", "127.0.0.2"
UPDATE = MembershipUpdate(Membership(0, ("a:1/first",)), "", ())


class Member:
    """One member's sessions with a listener; `received`: received messages with their senders."""

    def __init__(self, ip, port, incarnation):
        self.ip, self.identity, self.port, self.received = ip, f"{ip}:80/{incarnation}", port, []
        self.sessions = MemberSessions(
            self.identity, port, lambda sender, message: self.received.append((sender, message))
        )
        self.server = None

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: FrameConnection(decode_at_member, self.handle_message, self.sessions.handle_inbound_ended),
            self.ip,
            self.port,
        )

    def handle_message(self, connection, message):
        if isinstance(message, Envelope):
            self.sessions.handle_inbound(connection, message)


def run_scenario(scenario):
    async def run():
        ports = PortReservations()
        port = ports.reserve([FIRST_IP, SECOND_IP])
        first, second = Member(FIRST_IP, port, "x"), Member(SECOND_IP, port, "y")
        try:
            async with asyncio.timeout(10):
                await first.listen()
                await second.listen()
                await scenario(first, second)
        finally:
            for member in (first, second):
                member.sessions.close()
                member.server.close()
            ports.release()

    asyncio.run(run())


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0)


async def send_until_received(sender, send, receiver, count=1):
    """Send until `count` more messages have arrived, as messages sent before the session is set up are dropped."""
    before = len(receiver.received)
    while len(receiver.received) < before + count:
        send()
        await asyncio.sleep(0)


def test_a_message_and_its_reply_use_the_same_dialled_connection():
    async def scenario(first, second):
        first.sessions.keep_sessions_with([f"{SECOND_IP}:80"])  # only this member dials
        await send_until_received(
            first, lambda: first.sessions.send_to_address(f"{SECOND_IP}:80", MembershipQuery()), second
        )
        assert second.received[0] == (first.identity, MembershipQuery())
        second.sessions.send(first.identity, UPDATE)
        await wait_until(lambda: first.received)
        assert first.received == [(second.identity, UPDATE)]

    run_scenario(scenario)


def test_a_message_to_a_former_incarnation_is_not_delivered():
    async def scenario(first, second):
        first.sessions.keep_sessions_with([f"{SECOND_IP}:80"])
        await send_until_received(
            first, lambda: first.sessions.send_to_address(f"{SECOND_IP}:80", MembershipQuery()), second
        )
        received_before = len(second.received)
        first.sessions.send(f"{SECOND_IP}:80/former", UPDATE)
        first.sessions.send(second.identity, UPDATE)
        await wait_until(lambda: (first.identity, UPDATE) in second.received)
        assert [message for _, message in second.received[received_before:]].count(UPDATE) == 1

    run_scenario(scenario)


def test_messages_from_a_second_sender_on_a_connection_are_dropped():
    async def scenario(first, second):
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: FrameConnection(decode_at_member, lambda *_: None, lambda _: None), SECOND_IP, second.port
        )
        connection.send(Envelope("127.0.0.9:80/a", "", MembershipQuery()))
        connection.send(Envelope("127.0.0.9:80/b", "", UPDATE))
        connection.send(Envelope("127.0.0.9:80/a", "", UPDATE))
        await wait_until(lambda: len(second.received) == 2)
        assert second.received == [("127.0.0.9:80/a", MembershipQuery()), ("127.0.0.9:80/a", UPDATE)]
        connection.reset()
        first.sessions.keep_sessions_with([f"{SECOND_IP}:80"])
        await send_until_received(
            first, lambda: first.sessions.send_to_address(f"{SECOND_IP}:80", MembershipQuery()), second
        )
        (session,) = second.sessions._inbound.by_name.values()
        for sender in ("127.0.0.2:80/y", "127.0.0.2:80/z", "127.0.0.2:80/y"):
            session.connection.send(Envelope(sender, first.identity, UPDATE))
        await wait_until(lambda: len(first.received) == 2)
        assert first.received == [(second.identity, UPDATE)] * 2

    run_scenario(scenario)


def test_edge_heartbeats_on_an_outbound_connection_are_ignored():
    async def scenario(first, second):
        first.sessions.keep_sessions_with([f"{SECOND_IP}:80"])
        await send_until_received(
            first, lambda: first.sessions.send_to_address(f"{SECOND_IP}:80", MembershipQuery()), second
        )
        (session,) = second.sessions._inbound.by_name.values()
        session.connection.send(EdgeHeartbeat("edge-1", None, {}, None))
        session.connection.send(Envelope(second.identity, first.identity, UPDATE))
        await wait_until(lambda: first.received)
        assert first.received == [(second.identity, UPDATE)]

    run_scenario(scenario)


def test_an_ended_connection_is_dialled_again_and_a_removed_address_is_disconnected():
    async def scenario(first, second):
        first.sessions.keep_sessions_with([f"{SECOND_IP}:80"])
        send = lambda: first.sessions.send_to_address(f"{SECOND_IP}:80", MembershipQuery())  # noqa: E731
        await send_until_received(first, send, second)
        (session,) = second.sessions._inbound.by_name.values()
        session.connection.reset()
        await send_until_received(first, send, second)
        await wait_until(lambda: second.sessions._inbound.by_name)
        first.sessions.keep_sessions_with([])
        await wait_until(lambda: not second.sessions._inbound.by_name)

    run_scenario(scenario)


def test_a_connection_whose_peer_vanished_is_reset_and_dialled_again():
    """A one-way partition can drop the peer's reset: every later message on that connection would be lost."""

    async def scenario(first, second):
        first.sessions.keep_sessions_with([f"{SECOND_IP}:80"])
        await send_until_received(first, lambda: first.sessions.send(second.identity, UPDATE), second)
        (vanished,) = first.sessions._outbound.values()
        sent_at = time.monotonic_ns()
        first.sessions.reset_unanswered(sent_at + UNANSWERED_TIMEOUT_NS // 2)
        assert vanished.is_open
        first.sessions.reset_unanswered(sent_at + UNANSWERED_TIMEOUT_NS + SECOND)
        assert not vanished.is_open
        await send_until_received(first, lambda: first.sessions.send(second.identity, UPDATE), second)
        assert list(first.sessions._outbound.values()) != [vanished]

    run_scenario(scenario)


def test_a_connection_is_kept_while_its_peer_replies_or_nothing_is_sent():
    async def scenario(first, second):
        first.sessions.keep_sessions_with([f"{SECOND_IP}:80"])
        await send_until_received(first, lambda: first.sessions.send(second.identity, UPDATE), second)
        await send_until_received(second, lambda: second.sessions.send(first.identity, UPDATE), first)
        (connection,) = first.sessions._outbound.values()
        first.sessions.reset_unanswered(time.monotonic_ns() + 3600 * SECOND)
        assert connection.is_open

    run_scenario(scenario)


def test_a_connection_to_a_member_that_neither_reads_nor_replies_is_reset_sooner():
    """A member that stands still is noticed as soon as its receive window has been closed for the user time-out."""

    async def scenario(first, second):
        first.sessions.keep_sessions_with([f"{SECOND_IP}:80"])
        await send_until_received(first, lambda: first.sessions.send(second.identity, UPDATE), second)
        (connection,) = first.sessions._outbound.values()
        sent_at = time.monotonic_ns()
        first.sessions.reset_unanswered(sent_at + UNREAD_AND_SILENT_NS + SECOND // 10)
        assert connection.is_open
        connection._watch.is_stalled = lambda now: True
        first.sessions.reset_unanswered(sent_at + UNREAD_AND_SILENT_NS + SECOND // 10)
        assert not connection.is_open

    run_scenario(scenario)


def test_an_unanswered_connection_is_reset_before_the_idle_timeout_of_the_peer():
    assert UNANSWERED_TIMEOUT_NS + SECOND // 4 < IDLE_TIMEOUT_NS
