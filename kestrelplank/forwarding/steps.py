"""The next action for a request: values that `Forwarder` returns and an adapter carries out."""

from dataclasses import dataclass

from kestrelplank.forwarding.endpoint import Endpoint
from kestrelplank.forwarding.errors import RequestError


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to `endpoint`, then call `Forwarder.attempt_ended`.

    :param timeout_ns: of the attempt from now on; sent to the server as the remaining time.
    :param early_timeout_ns: call `Forwarder.retry_early` while the attempt goes on after that time; None: never.
    """

    endpoint: Endpoint
    timeout_ns: int
    early_timeout_ns: int | None = None


@dataclass(frozen=True, slots=True)
class Wait:
    """Call `Forwarder.next_step` at `until`, or sooner if key ranges, servers or their load have changed."""

    until: int


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Forward the last answer of a server that counts as run to the client; later attempts may have brought none."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the client with the status and body of `error`."""

    error: RequestError


Step = Send | Wait | ForwardAnswer | Refuse
