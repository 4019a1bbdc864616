"""The limits of a server on its clients."""

from dataclasses import dataclass

import uvicorn


@dataclass(slots=True)
class ClientLimits:
    """The limits in force; they may be changed at any time. None: no limit has been configured yet.

    :param header_bytes: maximum size of a request's first line and headers.
    :param header_timeout_s: maximum time to receive them.
    :param idle_timeout_s: maximum time between requests on a persistent connection.
    """

    header_bytes: int | None = None
    header_timeout_s: float | None = None
    idle_timeout_s: float | None = None


class ServerConfig(uvicorn.Config):
    """uvicorn's configuration of one server, with its limits on clients."""

    client_limits: ClientLimits  # set by `server.create_server`; `ClientProtocol` reads it from here
