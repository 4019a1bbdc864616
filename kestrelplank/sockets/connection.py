"""A TCP connection that owns its socket: connecting, reading, a bounded queue of what is to be written."""

import errno
import socket
from collections.abc import Callable
from typing import Protocol

from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.loop import READ, WRITE, Loop

BACKLOG = 1024  # hundreds may connect while a round is held; who finds it full asks again after seconds only
AT_ONCE = 16


class Owner(Protocol):
    def on_data(self, data: memoryview) -> None: ...
    def on_close(self, why: str) -> None: ...


class Dialler(Owner, Protocol):
    def on_open(self) -> None: ...


def address(text: str) -> tuple[str, int]:
    """Numbers only: a name would be looked up, and the whole program would wait for it."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise ValueError(f"expected an IPv4 address and a port, got {text!r}") from None
    if not (port.isascii() and port.isdigit() and int(port) < 1 << 16):
        raise ValueError(f"expected an IPv4 address and a port, got {text!r}")
    return host, int(port)


class Connection:
    """`close` is the one place where the socket is given back; the owner hears of it once. A read that ends
    the connection still delivers what came before the end."""

    def __init__(self, loop: Loop, pool: Pool, sock: socket.socket, owner: Owner, most_waiting: int) -> None:
        self._loop, self._pool, self._sock, self._owner = loop, pool, sock, owner
        self._waiting, self._most_waiting, self.open = bytearray(), most_waiting, True
        self._writing, self._reading = False, True
        self.on_drained: Callable[[], None] | None = None  # called when all that waited has been written
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.watch(sock, READ, self._ready)

    def write(self, data: bytes) -> None:
        if not self.open:
            return
        if len(self._waiting) + len(data) > self._most_waiting:
            self.close("the other side does not read")
            return
        self._waiting += data
        self._flush()

    def close(self, why: str) -> None:
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
            while self._waiting:
                sent = self._sock.send(self._waiting)
                del self._waiting[:sent]
        except BlockingIOError:
            pass
        except OSError as err:
            self.close(errno.errorcode.get(err.errno, str(err)))
            return
        if self._writing != bool(self._waiting):
            self._look(self._reading, not self._writing)
            if not self._writing and self.on_drained is not None:
                self.on_drained()

    def waiting(self) -> int:
        """Bytes that the other side has not taken yet."""
        return len(self._waiting)

    def read(self, on: bool) -> None:
        """Reads no further, so that the other side is held up in its turn, or goes on. A connection that is not read
        does not hear of its own end."""
        if self.open and on != self._reading:
            self._look(on, self._writing)

    def _look(self, reading: bool, writing: bool) -> None:
        before, self._reading, self._writing = self._reading or self._writing, reading, writing
        events = (READ if reading else 0) | (WRITE if writing else 0)
        if not events:
            self._loop.forget(self._sock)
        elif before:
            self._loop.change(self._sock, events, self._ready)
        else:
            self._loop.watch(self._sock, events, self._ready)

    def _read(self) -> None:
        buffer = self._pool.take()
        try:
            size = self._sock.recv_into(buffer)
            if size:
                with memoryview(buffer) as whole, whole[:size] as data:
                    self._owner.on_data(data)
        except BlockingIOError:
            return
        except OSError as err:
            self.close(errno.errorcode.get(err.errno, str(err)))
            return
        finally:
            self._pool.give(buffer)
        if not size:
            self.close("ended")


class Dialled(Connection):
    """A connection that we open ourselves: nothing is read or written before it is up, or `within` is over."""

    def __init__(
        self, loop: Loop, pool: Pool, to: tuple[str, int], owner: Dialler, most_waiting: int, within: int
    ) -> None:
        super().__init__(loop, pool, socket.socket(socket.AF_INET, socket.SOCK_STREAM), owner, most_waiting)
        self._up = False
        self._deadline = loop.at(loop.now() + within, lambda: self.close("does not come up"))
        loop.change(self._sock, WRITE, self._ready)
        failed = self._sock.connect_ex(to)
        if failed not in (0, errno.EINPROGRESS):
            # Told from the loop, as the owner does not hold this object yet.
            loop.at(loop.now(), lambda: self.close(errno.errorcode.get(failed, str(failed))))

    def close(self, why: str) -> None:
        self._deadline.cancel()
        super().close(why)

    def _ready(self, events: int) -> None:
        if self._up:
            super()._ready(events)
            return
        failed = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            self.close(errno.errorcode.get(failed, str(failed)))
            return
        self._up = True
        self._deadline.cancel()
        self._loop.change(self._sock, READ, self._ready)
        self._owner.on_open()
        self._flush()


class Listener:
    """Accepts a few at a time, so that who came earlier is read between. Short of descriptors it asks its owner,
    who hears of any trouble, for room; without that it looks away for `pause`, as the socket stays ready and
    would spin."""

    def __init__(
        self,
        loop: Loop,
        at: tuple[str, int] | socket.socket,
        on_accept: Callable[[socket.socket], None],
        on_trouble: Callable[[str], bool | None],
        pause: int,
    ) -> None:
        self._loop, self._on_accept, self._on_trouble, self._pause = loop, on_accept, on_trouble, pause
        self._sock = socket.create_server(at, backlog=BACKLOG) if isinstance(at, tuple) else at
        self._sock.setblocking(False)
        self.at = self._sock.getsockname()
        self._resume = None
        self._watch()

    def _watch(self) -> None:
        self._loop.watch(self._sock, READ, self._ready)
        self._watched = True

    def _ready(self, events: int) -> None:
        for _ in range(AT_ONCE):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as err:
                room = self._on_trouble(errno.errorcode.get(err.errno, str(err)))
                if not room and err.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self._loop.forget(self._sock)
                    self._watched = False
                    self._resume = self._loop.at(self._loop.now() + self._pause, self._watch)
                return
            self._on_accept(sock)

    def fileno(self) -> int:
        return self._sock.fileno()

    def close(self) -> None:
        if self._watched:
            self._loop.forget(self._sock)
        elif self._resume:
            self._resume.cancel()
        self._watched, self._resume = False, None
        self._sock.close()
