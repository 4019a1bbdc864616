"""Sessions between control members on loopback: whose message is whose, and which way it goes."""

import asyncio
import time

from kestrelplank.consensus.member_messages import MembershipQuery, MembershipUpdate
from kestrelplank.consensus.membership import Membership
from kestrelplank.control.inbound_connections import IDLE_TIMEOUT_NS
from kestrelplank.control.member_sessions import UNANSWERED_TIMEOUT_NS, MemberSessions
from kestrelplank.rehearsal.loopback import free_port
from kestrelplank.time_units import SECOND
from kestrelplank.transport.messages import EdgeHeartbeat, Envelope, decode_at_member
from kestrelplank.transport.wire import FrameConnection

ONE, TWO = "127.0.0.1", "127.0.0.2"
NEWS = MembershipUpdate(Membership(0, ("a:1/first",)), "", ())


class Member:
    """One member's sessions, listening; `met`: what it received, by sender."""

    def __init__(self, ip, port, incarnation):
        self.ip, self.identity, self.port, self.met = ip, f"{ip}:80/{incarnation}", port, []
        self.sessions = MemberSessions(self.identity, port, lambda sender, message: self.met.append((sender, message)))
        self.server = None

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: FrameConnection(decode_at_member, self.on_message, self.sessions.handle_inbound_ended),
            self.ip,
            self.port,
        )

    def on_message(self, wire, message):
        if isinstance(message, Envelope):
            self.sessions.handle_inbound(wire, message)


def played(play):
    async def whole():
        port = free_port([ONE, TWO])
        one, two = Member(ONE, port, "x"), Member(TWO, port, "y")
        try:
            async with asyncio.timeout(10):
                await one.listen()
                await two.listen()
                await play(one, two)
        finally:
            for member in (one, two):
                member.sessions.close()
                member.server.close()

    asyncio.run(whole())


async def until(condition):
    while not condition():
        await asyncio.sleep(0)


async def told(sender, send, receiver, count=1):
    """Sends until so many messages more have arrived: what is sent before a session stands is lost."""
    before = len(receiver.met)
    while len(receiver.met) < before + count:
        send()
        await asyncio.sleep(0)


def test_a_message_and_its_reply_use_the_same_dialled_connection():
    async def play(one, two):
        one.sessions.keep_sessions_with([f"{TWO}:80"])  # the other dials nobody
        await told(one, lambda: one.sessions.send_to_address(f"{TWO}:80", MembershipQuery()), two)
        assert two.met[0] == (one.identity, MembershipQuery())
        two.sessions.send(one.identity, NEWS)
        await until(lambda: one.met)
        assert one.met == [(two.identity, NEWS)]

    played(play)


def test_a_message_to_a_former_incarnation_is_not_delivered():
    async def play(one, two):
        one.sessions.keep_sessions_with([f"{TWO}:80"])
        await told(one, lambda: one.sessions.send_to_address(f"{TWO}:80", MembershipQuery()), two)
        seen = len(two.met)
        one.sessions.send(f"{TWO}:80/former", NEWS)
        one.sessions.send(two.identity, NEWS)
        await until(lambda: (one.identity, NEWS) in two.met)
        assert [message for _, message in two.met[seen:]].count(NEWS) == 1

    played(play)


def test_messages_from_a_second_sender_on_a_connection_are_dropped():
    async def play(one, two):
        loop = asyncio.get_running_loop()
        _, wire = await loop.create_connection(
            lambda: FrameConnection(decode_at_member, lambda *_: None, lambda _: None), TWO, two.port
        )
        wire.send(Envelope("127.0.0.9:80/a", "", MembershipQuery()))
        wire.send(Envelope("127.0.0.9:80/b", "", NEWS))
        wire.send(Envelope("127.0.0.9:80/a", "", NEWS))
        await until(lambda: len(two.met) == 2)
        assert two.met == [("127.0.0.9:80/a", MembershipQuery()), ("127.0.0.9:80/a", NEWS)]
        wire.reset()
        one.sessions.keep_sessions_with([f"{TWO}:80"])
        await told(one, lambda: one.sessions.send_to_address(f"{TWO}:80", MembershipQuery()), two)
        (session,) = two.sessions._inbound.by_name.values()
        for sender in ("127.0.0.2:80/y", "127.0.0.2:80/z", "127.0.0.2:80/y"):
            session.connection.send(Envelope(sender, one.identity, NEWS))
        await until(lambda: len(one.met) == 2)
        assert one.met == [(two.identity, NEWS)] * 2

    played(play)


def test_edge_heartbeats_on_an_outbound_connection_are_ignored():
    async def play(one, two):
        one.sessions.keep_sessions_with([f"{TWO}:80"])
        await told(one, lambda: one.sessions.send_to_address(f"{TWO}:80", MembershipQuery()), two)
        (session,) = two.sessions._inbound.by_name.values()
        session.connection.send(EdgeHeartbeat("edge-1", None, {}, None))
        session.connection.send(Envelope(two.identity, one.identity, NEWS))
        await until(lambda: one.met)
        assert one.met == [(two.identity, NEWS)]

    played(play)


def test_an_ended_connection_is_dialled_again_and_a_removed_address_is_disconnected():
    async def play(one, two):
        one.sessions.keep_sessions_with([f"{TWO}:80"])
        send = lambda: one.sessions.send_to_address(f"{TWO}:80", MembershipQuery())  # noqa: E731
        await told(one, send, two)
        (session,) = two.sessions._inbound.by_name.values()
        session.connection.reset()
        await told(one, send, two)
        await until(lambda: two.sessions._inbound.by_name)
        one.sessions.keep_sessions_with([])
        await until(lambda: not two.sessions._inbound.by_name)

    played(play)


def test_a_connection_whose_peer_vanished_is_reset_and_dialled_again():
    """A partition of one direction swallows the other end's reset: what was sent on that connection was lost for good."""

    async def play(one, two):
        one.sessions.keep_sessions_with([f"{TWO}:80"])
        await told(one, lambda: one.sessions.send(two.identity, NEWS), two)
        (gone,) = one.sessions._dialled.values()
        sent_at = time.monotonic_ns()
        one.sessions.reset_unanswered(sent_at + UNANSWERED_TIMEOUT_NS // 2)
        assert gone.is_open
        one.sessions.reset_unanswered(sent_at + UNANSWERED_TIMEOUT_NS + SECOND)
        assert not gone.is_open
        await told(one, lambda: one.sessions.send(two.identity, NEWS), two)
        assert list(one.sessions._dialled.values()) != [gone]

    played(play)


def test_a_connection_is_kept_while_its_peer_replies_or_nothing_is_sent():
    async def play(one, two):
        one.sessions.keep_sessions_with([f"{TWO}:80"])
        await told(one, lambda: one.sessions.send(two.identity, NEWS), two)
        await told(two, lambda: two.sessions.send(one.identity, NEWS), one)
        (kept,) = one.sessions._dialled.values()
        one.sessions.reset_unanswered(time.monotonic_ns() + 3600 * SECOND)
        assert kept.is_open

    played(play)


def test_an_unanswered_connection_is_reset_before_the_idle_timeout_of_the_peer():
    assert UNANSWERED_TIMEOUT_NS + SECOND // 4 < IDLE_TIMEOUT_NS
