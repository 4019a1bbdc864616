"""What clients of a server may send, and how long they may take."""

from dataclasses import dataclass

import uvicorn


@dataclass(slots=True)
class ClientLimits:
    """The limits in force; they may be changed at any time. None: no limit is known.

    :param header_bytes: of a request's first line and headers.
    :param header_timeout_s: until these are there.
    :param idle_timeout_s: between requests on a kept connection.
    """

    header_bytes: int | None = None
    header_timeout_s: float | None = None
    idle_timeout_s: float | None = None


class ServerConfig(uvicorn.Config):
    """uvicorn's configuration of one server, and its limits for clients."""

    client_limits: ClientLimits  # set by `server.create_server`; `ClientProtocol` reads it from here
