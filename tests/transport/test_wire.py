"""Messages between processes, over a transport within the test process and over TCP."""

import asyncio
import time
import zlib
from random import Random

import msgspec
import pytest
from loopback_peers import PausedReader, listen

from kestrelplank.time_units import SECOND
from kestrelplank.transport import wire as wire_module
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    EdgeHeartbeat,
    KeyRangesUpdate,
    KeyRangesVersion,
    MemberHeartbeat,
    RangeHolder,
    decode_at_edge,
    encode,
)
from kestrelplank.transport.wire import COMPRESSED_FLAG, MAX_BODY_BYTES, FrameConnection, encode_frame

VALID = MemberHeartbeat(1, 2, "10.0.0.1:80", True, 7, ("10.0.0.1:80",), 12)
LAST = ConfigurationUpdate(0, b"last")


class Pipe:
    """A transport within the process that delivers written bytes to the other end in chunks of random size."""

    def __init__(self, random):
        self.random, self.other, self.target, self.closed = random, None, None, False

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *_):
        pass

    def getsockopt(self, *_):
        raise OSError("not a TCP socket")

    def write(self, data):
        while data and not self.other.closed:
            size = self.random.randrange(1, 1 + min(len(data), 5000))
            self.other.target.data_received(data[:size])
            data = data[size:]

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.closed

    def abort(self):
        for pipe in (self, self.other):
            if not pipe.closed:
                pipe.closed = True
                pipe.target.connection_lost(None)


async def in_process(sender, receiver):
    pipes = [Pipe(Random(3)), Pipe(Random(4))]
    for pipe, other, target in zip(pipes, pipes[::-1], (sender, receiver)):
        pipe.other, pipe.target = other, target
    for pipe in pipes:
        pipe.target.connection_made(pipe)
    return lambda: None


async def by_tcp(sender, receiver):
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: receiver, "127.0.0.1", 0)
    await loop.create_connection(lambda: sender, "127.0.0.1", server.sockets[0].getsockname()[1])
    return server.close


TRANSPORTS = pytest.mark.parametrize("connect", [in_process, by_tcp])


def exchange(connect, send):
    """Send with `send(connection)`; return the messages received at the other end and the number of its `on_end` calls."""

    async def run():
        received, ends = [], []
        sender = FrameConnection(decode_at_edge, lambda *_: None, lambda _: None)
        close = await connect(
            sender, FrameConnection(decode_at_edge, lambda _, message: received.append(message), ends.append)
        )
        send(sender)
        sender.send(LAST)
        async with asyncio.timeout(10):
            while not ends and (not received or received[-1] != LAST):
                await asyncio.sleep(0)
        close()
        sender.reset()
        return received, len(ends)

    return asyncio.run(run())


@TRANSPORTS
def test_messages_of_all_sizes_arrive_complete_and_in_order(connect):
    messages = [ConfigurationUpdate(size, b"ab" * size) for size in (0, 1, 700, 800, 90_000, 3)]
    received, _ = exchange(connect, lambda connection: [connection.send(message) for message in messages])
    assert received == [*messages, LAST]


@TRANSPORTS
def test_a_frame_encoded_in_advance_arrives_as_its_message(connect):
    ranges = [RangeHolder(number, number, "server", "10.0.0.1:80") for number in range(2000)]
    message = KeyRangesUpdate("views", KeyRangesVersion(1, 2, 3), ranges)
    assert len(encode_frame(message)) < len(encode(message)) / 4
    received, _ = exchange(connect, lambda connection: connection.send(encode_frame(message)))
    assert received[0] == message


def frame(body, flag=0):
    return (len(body) | flag).to_bytes(4) + body


@TRANSPORTS
@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00\x00\x01\xc1",  # not msgpack
        frame(msgspec.msgpack.encode([1])),  # not a message
        frame(msgspec.msgpack.encode({"t": "x"})),
        frame(msgspec.msgpack.encode(["configuration", "7", b""])),  # a field of another type
        frame(encode(EdgeHeartbeat("edge", None, {}, None))),  # a message that is only sent in the other direction
        frame(b"no such thing", COMPRESSED_FLAG),
        frame(zlib.compress(encode(VALID))[:-2], COMPRESSED_FLAG),  # truncated
        frame(zlib.compress(bytes(MAX_BODY_BYTES + 1)), COMPRESSED_FLAG),  # exceeds the limit when decompressed
        (MAX_BODY_BYTES + 1).to_bytes(4),
    ],
)
def test_an_invalid_frame_ends_the_connection_once_and_later_frames_are_ignored(connect, data):
    received, ends = exchange(connect, lambda connection: (connection.send(VALID), connection.transport.write(data)))
    assert received == [VALID] and ends == 1


def test_a_peer_that_reads_nothing_is_disconnected(monkeypatch):
    monkeypatch.setattr(wire_module, "MAX_UNSENT_BYTES", 100_000)

    async def run():
        loop, ended = asyncio.get_running_loop(), asyncio.get_running_loop().create_future()
        transports = []

        class PausedReader(asyncio.Protocol):
            def connection_made(self, transport):
                transport.pause_reading()
                transports.append(transport)

        server = await loop.create_server(PausedReader, "127.0.0.1", 0)
        _, connection = await loop.create_connection(
            lambda: FrameConnection(decode_at_edge, lambda *_: None, ended.set_result),
            "127.0.0.1",
            server.sockets[0].getsockname()[1],
        )
        data = Random(1).randbytes(1 << 20)
        async with asyncio.timeout(10):
            while connection.is_open:
                connection.send(ConfigurationUpdate(1, data))
                await asyncio.sleep(0)
            await ended
        connection.send(LAST)
        transports[0].abort()
        server.close()

    asyncio.run(run())


LATE_S = 2.5  # more than twice the user time-out
CUT_OFF_NOTICED_S = 2.0  # at most 1.4 s and a check, and more for a busy machine
LARGE = ConfigurationUpdate(1, Random(1).randbytes(4 << 20))  # more than all buffers on the way take


def with_paused_reader(scenario):
    """Run `scenario(connection, peer)` for a connection to a peer that reads nothing yet."""

    async def run():
        peers = []
        server, port = await listen(lambda: peers.append(PausedReader()) or peers[-1])
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: FrameConnection(decode_at_edge, lambda *_: None, lambda _: None), "127.0.0.1", port
        )
        try:
            async with asyncio.timeout(20):
                while not peers or peers[0].transport is None:
                    await asyncio.sleep(0)
                await scenario(connection, peers[0])
        finally:
            connection.reset()
            peers[0].transport.abort()
            server.close()

    asyncio.run(run())


# Guards against a session that is ended, and its configuration sent anew, as the peer was busy for a second.
def test_a_peer_that_reads_late_gets_all_messages():
    async def scenario(connection, peer):
        connection.send(LARGE)
        connection.send(LAST)
        await asyncio.sleep(LATE_S)
        peer.read_on()
        expected = encode_frame(LARGE) + encode_frame(LAST)
        while len(peer.received) < len(expected):
            assert connection.is_open
            await asyncio.sleep(0)
        assert peer.received == expected

    with_paused_reader(scenario)


@pytest.mark.parametrize("unread_s", [0, 1.5])
def test_a_peer_that_is_cut_off_is_disconnected(unread_s):
    """With bytes on their way, and once its receive window has been closed for a while."""

    async def scenario(connection, peer):
        if unread_s:
            connection.send(LARGE)
            await asyncio.sleep(unread_s)
            assert connection.is_open
        peer.cut_off()
        connection.send(LARGE)
        async with asyncio.timeout(CUT_OFF_NOTICED_S):
            while connection.is_open:
                await asyncio.sleep(0.01)

    with_paused_reader(scenario)


def test_a_peer_stands_still_if_it_neither_reads_nor_sends():
    async def scenario(connection, peer):
        connection.send(LAST)
        await asyncio.sleep(0.5)
        assert not connection.stands_still(time.monotonic_ns() + 9 * SECOND, 9 * SECOND)  # it has room for that
        connection.send(LARGE)
        await asyncio.sleep(0.5)
        now = time.monotonic_ns()
        assert connection.stands_still(now + SECOND, SECOND + 1)
        assert not connection.stands_still(now + SECOND, SECOND)  # it has just sent something
        assert not connection.stands_still(now, 9 * SECOND)  # it was read from a moment ago
        peer.read_on()
        while len(peer.received) < len(encode_frame(LAST) + encode_frame(LARGE)):
            await asyncio.sleep(0)
        await asyncio.sleep(0.5)
        assert not connection.stands_still(now + 9 * SECOND, 9 * SECOND)

    with_paused_reader(scenario)
