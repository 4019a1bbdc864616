"""uvicorn servers on given sockets, without uvicorn's signal handlers, default headers and access log."""

import asyncio
import contextlib
from collections.abc import Iterator

import uvicorn

from kestrelplank.http.asgi import Application
from kestrelplank.http.client_limits import ClientLimits, ServerConfig
from kestrelplank.http.client_protocol import ClientProtocol
from kestrelplank.http.socket_options import LISTEN_BACKLOG

DRAIN_POLL_INTERVAL_S = 0.02


class Server(uvicorn.Server):
    """A uvicorn server that leaves signals to its program.

    :param limits: the limits on clients, for all connections; may be changed at any time.
    """

    def __init__(self, config: ServerConfig, limits: ClientLimits) -> None:
        super().__init__(config)
        self.limits = limits

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers, unlike uvicorn's own method."""
        yield

    async def wait_until_answered(self, timeout_s: float) -> None:
        """Wait, up to the time-out, until requests cancelled at the end of the grace period have been answered."""
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while self.server_state.connections or self.server_state.tasks:
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return
            await asyncio.sleep(min(remaining_s, DRAIN_POLL_INTERVAL_S))


def create_server(app: Application, idle_timeout_s: float | None, grace_s: float) -> Server:
    """Return a server for that application.

    :param idle_timeout_s: maximum idle time between requests on a connection; None: not configured yet.
    :param grace_s: time for requests in progress to finish at shutdown, after which their tasks are cancelled.
    """
    config = ServerConfig(
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
        backlog=LISTEN_BACKLOG,
        timeout_graceful_shutdown=grace_s,  # type: ignore[arg-type] # a float works: uvicorn only passes it to wait_for
    )
    limits = ClientLimits(idle_timeout_s=idle_timeout_s)
    config.client_limits = limits
    return Server(config, limits)
