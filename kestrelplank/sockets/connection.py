"""A TCP connection that owns its socket: connecting, reading, a bounded queue of what is to be written."""

import errno
import socket
from collections.abc import Callable
from typing import Protocol

from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.loop import READ, WRITE, Loop, Timer

BACKLOG = 1024  # hundreds may connect while a round is held; who finds it full asks again after seconds only
MOST_ACCEPTED_AT_ONCE = 16
FIRST_PORT_BEYOND = 1 << 16
SHORT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Owner(Protocol):
    """Whom a connection calls back."""

    def on_data(self, data: memoryview) -> None:
        """Take bytes, which hold during the call only."""

    def on_close(self, why: str) -> None:
        """Take that the connection has ended; called once."""


class DialOwner(Owner, Protocol):
    """Whom a connection calls back that we open ourselves."""

    def on_open(self) -> None:
        """Take that the connection is up."""


def address(text: str) -> tuple[str, int]:
    """Read an IPv4 address and a port.

    Numbers only: a name would be looked up, and the complete program would wait for it.

    :raises ValueError: it is none.
    """
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise ValueError(f"expected an IPv4 address and a port, got {text!r}") from None
    if not (port.isascii() and port.isdigit() and int(port) < FIRST_PORT_BEYOND):
        raise ValueError(f"expected an IPv4 address and a port, got {text!r}")
    return host, int(port)


def error_name(err: OSError) -> str:
    """Return the symbol of an error, as ECONNRESET."""
    return errno.errorcode.get(err.errno or 0, str(err))


def errno_name(number: int) -> str:
    """Return the symbol of an error number."""
    return errno.errorcode.get(number, str(number))


class Connection:
    """A connection whose `close` is the one place where the socket is given back; the owner hears of it once.

    A read that ends the connection still delivers what came before the end. Who does not read is given up beyond
    `most_unsent_bytes`.
    """

    def __init__(self, loop: Loop, pool: BufferPool, sock: socket.socket, owner: Owner, most_unsent_bytes: int) -> None:
        self._loop, self._pool, self._sock, self._owner = loop, pool, sock, owner
        self._unsent, self._most_unsent_bytes, self.open = bytearray(), most_unsent_bytes, True
        self._writing, self._reading = False, True
        self.on_drained: Callable[[], None] | None = None  # called when all that waited has been written
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.watch(sock, READ, self._ready)

    def write(self, data: bytes) -> None:
        """Write, at once or as soon as the other side reads."""
        if not self.open:
            return
        if len(self._unsent) + len(data) > self._most_unsent_bytes:
            self.close("the other side does not read")
            return
        self._unsent += data
        self._flush()

    def unsent_bytes(self) -> int:
        """Return the bytes that the other side has not taken yet."""
        return len(self._unsent)

    def set_reading(self, on: bool) -> None:
        """Read no further, so that the other side is held up in its turn, or go on.

        A connection that is not read does not hear of its own end.
        """
        if self.open and on != self._reading:
            self._watch(on, self._writing)

    def close(self, why: str) -> None:
        """End the connection, if it is open."""
        if not self.open:
            return
        self.open = False
        if self._writing or self._reading:
            self._loop.forget(self._sock)
        self._sock.close()
        self._owner.on_close(why)

    def _ready(self, events: int) -> None:
        if events & WRITE and self.open:
            self._flush()
        if events & READ and self.open and self._reading:
            self._read()

    def _flush(self) -> None:
        try:
            while self._unsent:
                sent = self._sock.send(self._unsent)
                del self._unsent[:sent]
        except BlockingIOError:
            pass  # the loop says when there is room
        except OSError as err:
            self.close(error_name(err))
            return
        if self._writing != bool(self._unsent):
            self._watch(self._reading, not self._writing)
            if not self._writing and self.on_drained is not None:
                self.on_drained()

    def _watch(self, reading: bool, writing: bool) -> None:
        """Have the loop watch for what is wanted now."""
        watched, self._reading, self._writing = self._reading or self._writing, reading, writing
        events = (READ if reading else 0) | (WRITE if writing else 0)
        if not events:
            self._loop.forget(self._sock)
        elif watched:
            self._loop.change(self._sock, events, self._ready)
        else:
            self._loop.watch(self._sock, events, self._ready)

    def _read(self) -> None:
        buffer = self._pool.take()
        try:
            size = self._sock.recv_into(buffer)
            if size:
                with memoryview(buffer) as view, view[:size] as data:
                    self._owner.on_data(data)
        except BlockingIOError:
            return
        except OSError as err:
            self.close(error_name(err))
            return
        finally:
            self._pool.give(buffer)
        if not size:
            self.close("ended")


class OutboundConnection(Connection):
    """A connection that we open ourselves: nothing is read or written before it is up.

    :param timeout_ns: after which it is given up.
    :raises OSError: there is no socket to be had.
    """

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        to: tuple[str, int],
        owner: DialOwner,
        most_unsent_bytes: int,
        timeout_ns: int,
    ) -> None:
        super().__init__(loop, pool, socket.socket(socket.AF_INET, socket.SOCK_STREAM), owner, most_unsent_bytes)
        self._dial_owner, self._up = owner, False
        self._deadline = loop.at(loop.now() + timeout_ns, lambda: self.close("does not come up"))
        loop.change(self._sock, WRITE, self._ready)
        failed = self._sock.connect_ex(to)
        if failed not in (0, errno.EINPROGRESS):
            # Told from the loop, as the owner does not hold this object yet.
            loop.at(loop.now(), lambda: self.close(errno_name(failed)))

    def close(self, why: str) -> None:
        """End the connection, if it is open."""
        self._deadline.cancel()
        super().close(why)

    def _ready(self, events: int) -> None:
        if self._up:
            super()._ready(events)
            return
        failed = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            self.close(errno_name(failed))
            return
        self._up = True
        self._deadline.cancel()
        self._loop.change(self._sock, READ, self._ready)
        self._dial_owner.on_open()
        self._flush()


class Listener:
    """Accepts a few connections at a time, so that who came earlier is read between.

    Short of descriptors it asks its owner, who hears of any failure, for room; without that it looks away for
    `pause_ns`, as the socket stays ready and would spin.

    :param at: an address, or a socket that listens already.
    :param on_failure: whether it has made room.
    """

    def __init__(
        self,
        loop: Loop,
        at: tuple[str, int] | socket.socket,
        on_accept: Callable[[socket.socket], None],
        on_failure: Callable[[str], bool | None],
        pause_ns: int,
    ) -> None:
        self._loop, self._on_accept, self._on_failure, self._pause_ns = loop, on_accept, on_failure, pause_ns
        self._sock = socket.create_server(at, backlog=BACKLOG) if isinstance(at, tuple) else at
        self._sock.setblocking(False)
        self.at: tuple[str, int] = self._sock.getsockname()
        self._resume_timer: Timer | None = None
        self._watch()

    def _watch(self) -> None:
        self._loop.watch(self._sock, READ, self._ready)
        self._watched = True

    def _ready(self, events: int) -> None:  # noqa: ARG002  the loop's callback
        for _ in range(MOST_ACCEPTED_AT_ONCE):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as err:
                self._accept_failed(err)
                return
            self._on_accept(sock)

    def _accept_failed(self, err: OSError) -> None:
        has_room = self._on_failure(error_name(err))
        if not has_room and err.errno in SHORT_OF_RESOURCES:
            self._loop.forget(self._sock)
            self._watched = False
            self._resume_timer = self._loop.at(self._loop.now() + self._pause_ns, self._watch)

    def fileno(self) -> int:
        """Return the descriptor that listens."""
        return self._sock.fileno()

    def close(self) -> None:
        """Listen no longer."""
        if self._watched:
            self._loop.forget(self._sock)
        elif self._resume_timer:
            self._resume_timer.cancel()
        self._watched, self._resume_timer = False, None
        self._sock.close()
