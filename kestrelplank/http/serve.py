"""uvicorn as both programs run it: on sockets of ours, without its signals, headers and access log."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Coroutine, Iterator
from typing import Any

import uvicorn

from kestrelplank.http.client_protocol import ClientLimits, ClientProtocol

BACKLOG = 512
log = logging.getLogger("http")


class Duties:
    """Tasks that a program can't do without. Guards against one that ends by a defect of ours while the process lives
    on without it, unseen: then the program stops, and the platform starts it anew with what is on its disk."""

    def __init__(self, name: str, stop: asyncio.Event) -> None:
        self._name, self._stop = name, stop
        self._tasks: list[asyncio.Task[None]] = []
        self.failed = False

    def add(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        log.critical("%s: stops, as a part of it failed", self._name, exc_info=task.exception())
        self.failed = True
        self._stop.set()

    def cancel(self) -> None:
        for task in self._tasks:
            task.cancel()


def listener(host: str, port: int) -> socket.socket:
    """A socket that listens there; OSError, naming the address, where it can't. Its protocol is named: what it accepts
    inherits that, and asyncio sends small writes at once only where it finds it. Else an answer's body waits for the
    acknowledgement of its head, 40 ms."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError as err:
        sock.close()
        raise OSError(err.errno, f"can't listen at {host}:{port}: {err.strerror}") from err
    sock.setblocking(False)
    return sock


class Server(uvicorn.Server):
    """Signals are for the program to take. `limits`: what clients may do, as it is in force; to be set at any time."""

    def __init__(self, config: uvicorn.Config, limits: ClientLimits) -> None:
        super().__init__(config)
        self.limits = limits

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def answered(self, within: float) -> None:
        """Waits until what was cut off by the end of `grace` has been answered too, for so many seconds at most."""
        until = asyncio.get_running_loop().time() + within
        while self.server_state.connections or self.server_state.tasks:
            left = until - asyncio.get_running_loop().time()
            if left <= 0:
                return
            await asyncio.sleep(min(left, 0.02))


def server(app: Any, idle: float | None, grace: float) -> Server:
    """A server for that ASGI application. `idle`: seconds for which a kept connection may stand between requests, None
    while that is not known; `grace`: seconds that requests in hand have once it is told to stop."""
    config = uvicorn.Config(
        app,
        interface="asgi3",
        http=ClientProtocol,
        ws="none",
        lifespan="off",
        loop="asyncio",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=BACKLOG,
        timeout_graceful_shutdown=grace,
    )  # type: ignore[arg-type]
    limits = ClientLimits(idle_s=idle)
    config.client_limits = limits  # type: ignore[attr-defined]
    return Server(config, limits)
