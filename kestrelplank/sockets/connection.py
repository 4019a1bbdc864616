"""TCP connections and listeners: connecting, reading, and a bounded buffer of unsent bytes."""

import errno
import socket
from collections.abc import Callable
from typing import Protocol

from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.loop import READ, WRITE, Loop, Timer

# Hundreds of peers may connect during one policy round; a dropped connection request is repeated only after seconds.
BACKLOG = 1024
MAX_ACCEPTED_PER_PASS = 16
PORT_COUNT = 1 << 16
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ConnectionHandler(Protocol):
    """Receives the callbacks of a connection."""

    def on_data(self, data: memoryview) -> None:
        """Process received bytes; `data` is valid during the call only."""

    def on_close(self, why: str) -> None:
        """Handle the end of the connection; called once."""


class OutboundHandler(ConnectionHandler, Protocol):
    """Receives the callbacks of an outbound connection."""

    def on_open(self) -> None:
        """Handle that the connection is established."""


def address(text: str) -> tuple[str, int]:
    """Parse `host:port` with a numeric IPv4 address.

    Host names are rejected, as a DNS lookup would block the event loop.

    :raises ValueError: the text is not an IPv4 address and a port.
    """
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise ValueError(f"expected an IPv4 address and a port, got {text!r}") from None
    if not (port.isascii() and port.isdigit() and int(port) < PORT_COUNT):
        raise ValueError(f"expected an IPv4 address and a port, got {text!r}")
    return host, int(port)


def error_name(err: OSError) -> str:
    """Return the symbolic name of an error, for instance ECONNRESET."""
    return errno.errorcode.get(err.errno or 0, str(err))


def errno_name(number: int) -> str:
    """Return the symbolic name of an error number."""
    return errno.errorcode.get(number, str(number))


class Connection:
    """A connection that owns its socket; only `close` releases it, and calls the handler's `on_close` once.

    Bytes received before the end of the connection are delivered first. A peer that lets more than `max_unsent_bytes`
    accumulate is disconnected.
    """

    def __init__(
        self, loop: Loop, pool: BufferPool, sock: socket.socket, handler: ConnectionHandler, max_unsent_bytes: int
    ) -> None:
        self._loop, self._pool, self._sock, self._handler = loop, pool, sock, handler
        self._unsent, self._max_unsent_bytes, self.open = bytearray(), max_unsent_bytes, True
        self._writing, self._reading = False, True
        self.on_drained: Callable[[], None] | None = None  # called when all unsent bytes have been written
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.watch(sock, READ, self._ready)

    def write(self, data: bytes) -> None:
        """Send data, now or as soon as the socket is writable."""
        if not self.open:
            return
        if len(self._unsent) + len(data) > self._max_unsent_bytes:
            self.close("the peer does not read")
            return
        self._unsent += data
        self._flush()

    def unsent_bytes(self) -> int:
        """Return the number of bytes that are buffered and not yet sent."""
        return len(self._unsent)

    def set_reading(self, on: bool) -> None:
        """Pause or resume reading, for back-pressure on the peer.

        While reading is paused, the end of the connection is not noticed.
        """
        if self.open and on != self._reading:
            self._watch(on, self._writing)

    def close(self, why: str) -> None:
        """Close the connection, if it is open."""
        if not self.open:
            return
        self.open = False
        if self._writing or self._reading:
            self._loop.forget(self._sock)
        self._sock.close()
        self._handler.on_close(why)

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
            pass  # the loop calls again when the socket is writable
        except OSError as err:
            self.close(error_name(err))
            return
        if self._writing != bool(self._unsent):
            self._watch(self._reading, not self._writing)
            if not self._writing and self.on_drained is not None:
                self.on_drained()

    def _watch(self, reading: bool, writing: bool) -> None:
        """Register the socket for the events that are wanted now."""
        watched, self._reading, self._writing = self._reading or self._writing, reading, writing
        events = (READ if reading else 0) | (WRITE if writing else 0)
        if not events:
            self._loop.forget(self._sock)
        elif watched:
            self._loop.change(self._sock, events, self._ready)
        else:
            self._loop.watch(self._sock, events, self._ready)

    def _read(self) -> None:
        buffer = self._pool.acquire()
        try:
            size = self._sock.recv_into(buffer)
            if size:
                with memoryview(buffer) as view, view[:size] as data:
                    self._handler.on_data(data)
        except BlockingIOError:
            return
        except OSError as err:
            self.close(error_name(err))
            return
        finally:
            self._pool.release(buffer)
        if not size:
            self.close("ended")


class OutboundConnection(Connection):
    """A connection to a peer; nothing is read or written before it is established.

    :param timeout_ns: limit for the connection to be established, after which it is closed.
    :raises OSError: no socket can be created.
    """

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        to: tuple[str, int],
        handler: OutboundHandler,
        max_unsent_bytes: int,
        timeout_ns: int,
    ) -> None:
        super().__init__(loop, pool, socket.socket(socket.AF_INET, socket.SOCK_STREAM), handler, max_unsent_bytes)
        self._outbound_handler, self._established = handler, False
        self._deadline = loop.at(loop.now() + timeout_ns, lambda: self.close("does not come up"))
        loop.change(self._sock, WRITE, self._ready)
        failed = self._sock.connect_ex(to)
        if failed not in (0, errno.EINPROGRESS):
            # Reported from the loop, as the handler has no reference to this object yet.
            loop.at(loop.now(), lambda: self.close(errno_name(failed)))

    def close(self, why: str) -> None:
        """Close the connection, if it is open."""
        self._deadline.cancel()
        super().close(why)

    def _ready(self, events: int) -> None:
        if self._established:
            super()._ready(events)
            return
        failed = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            self.close(errno_name(failed))
            return
        self._established = True
        self._deadline.cancel()
        self._loop.change(self._sock, READ, self._ready)
        self._outbound_handler.on_open()
        self._flush()


class Listener:
    """Accepts a few connections per pass, so that established connections are read in between.

    `on_failure` is called for every failed accept. If descriptors or memory run out and it frees none, accepting pauses
    for `pause_ns`, as the listening socket stays readable and the loop would spin.

    :param at: an address, or a socket that listens already.
    :param on_failure: called with the error's name; returns whether it has freed a descriptor.
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

    def _ready(self, events: int) -> None:  # noqa: ARG002 - signature of the loop's callbacks
        for _ in range(MAX_ACCEPTED_PER_PASS):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as err:
                self._accept_failed(err)
                return
            self._on_accept(sock)

    def _accept_failed(self, err: OSError) -> None:
        descriptor_freed = self._on_failure(error_name(err))
        if not descriptor_freed and err.errno in RESOURCE_ERRORS:
            self._loop.forget(self._sock)
            self._watched = False
            self._resume_timer = self._loop.at(self._loop.now() + self._pause_ns, self._watch)

    def fileno(self) -> int:
        """Return the descriptor of the listening socket."""
        return self._sock.fileno()

    def close(self) -> None:
        """Stop listening."""
        if self._watched:
            self._loop.forget(self._sock)
        elif self._resume_timer:
            self._resume_timer.cancel()
        self._watched, self._resume_timer = False, None
        self._sock.close()
