"""What every way between our processes does with messages: within a process and over TCP."""

import asyncio
import zlib
from random import Random

import msgspec
import pytest

from kestrelplank.transport import wire as module
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

GOOD = MemberHeartbeat(1, 2, "10.0.0.1:80", True, 7, ("10.0.0.1:80",), 12)
LAST = ConfigurationUpdate(0, b"last")


class Pipe:
    """A transport within the process: what is written comes out at the other end, in pieces of any size."""

    def __init__(self, random):
        self.random, self.other, self.target, self.closed = random, None, None, False

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *_):
        pass

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


async def in_process(one, other):
    pipes = [Pipe(Random(3)), Pipe(Random(4))]
    for pipe, peer, target in zip(pipes, pipes[::-1], (one, other)):
        pipe.other, pipe.target = peer, target
    for pipe in pipes:
        pipe.target.connection_made(pipe)
    return lambda: None


async def by_tcp(one, other):
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: other, "127.0.0.1", 0)
    await loop.create_connection(lambda: one, "127.0.0.1", server.sockets[0].getsockname()[1])
    return server.close


WAYS = pytest.mark.parametrize("way", [in_process, by_tcp])


def carried(way, play):
    """What came out at the other end, and how often that end was told that it is over; `play(wire)` sends."""

    async def run():
        met, ends = [], []
        one = FrameConnection(decode_at_edge, lambda *_: None, lambda _: None)
        close = await way(one, FrameConnection(decode_at_edge, lambda _, message: met.append(message), ends.append))
        play(one)
        one.send(LAST)
        async with asyncio.timeout(10):
            while not ends and (not met or met[-1] != LAST):
                await asyncio.sleep(0)
        close()
        one.reset()
        return met, len(ends)

    return asyncio.run(run())


@WAYS
def test_messages_come_complete_and_in_order_small_and_large(way):
    messages = [ConfigurationUpdate(size, b"ab" * size) for size in (0, 1, 700, 800, 90_000, 3)]
    met, _ = carried(way, lambda wire: [wire.send(message) for message in messages])
    assert met == [*messages, LAST]


@WAYS
def test_a_frame_made_once_for_many_comes_like_any_other(way):
    ranges = [RangeHolder(number, number, "server", "10.0.0.1:80") for number in range(2000)]
    message = KeyRangesUpdate("views", KeyRangesVersion(1, 2, 3), ranges)
    assert len(encode_frame(message)) < len(encode(message)) / 4
    met, _ = carried(way, lambda wire: wire.send(encode_frame(message)))
    assert met[0] == message


def frame(body, flag=0):
    return (len(body) | flag).to_bytes(4) + body


@WAYS
@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00\x00\x01\xc1",  # no msgpack
        frame(msgspec.msgpack.encode([1])),  # no message
        frame(msgspec.msgpack.encode({"t": "x"})),
        frame(msgspec.msgpack.encode(["configuration", "7", b""])),  # a field of another type
        frame(encode(EdgeHeartbeat("edge", None, {}, None))),  # a message that goes the other way only
        frame(b"no such thing", COMPRESSED_FLAG),
        frame(zlib.compress(encode(GOOD))[:-2], COMPRESSED_FLAG),  # torn
        frame(zlib.compress(bytes(MAX_BODY_BYTES + 1)), COMPRESSED_FLAG),  # swells beyond what is held
        (MAX_BODY_BYTES + 1).to_bytes(4),
    ],
)
def test_what_cannot_be_read_ends_it_once_and_nothing_behind_it_counts(way, data):
    met, ends = carried(way, lambda wire: (wire.send(GOOD), wire.transport.write(data)))
    assert met == [GOOD] and ends == 1


def test_a_peer_that_reads_nothing_is_dropped(monkeypatch):
    monkeypatch.setattr(module, "MAX_UNSENT_BYTES", 100_000)

    async def run():
        loop, ended = asyncio.get_running_loop(), asyncio.get_running_loop().create_future()
        held = []

        class Deaf(asyncio.Protocol):
            def connection_made(self, transport):
                transport.pause_reading()
                held.append(transport)

        server = await loop.create_server(Deaf, "127.0.0.1", 0)
        _, wire = await loop.create_connection(
            lambda: FrameConnection(decode_at_edge, lambda *_: None, ended.set_result),
            "127.0.0.1",
            server.sockets[0].getsockname()[1],
        )
        noise = Random(1).randbytes(1 << 20)
        async with asyncio.timeout(10):
            while wire.is_open:
                wire.send(ConfigurationUpdate(1, noise))
                await asyncio.sleep(0)
            await ended
        wire.send(LAST)
        held[0].abort()
        server.close()

    asyncio.run(run())
