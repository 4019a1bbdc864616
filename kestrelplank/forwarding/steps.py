"""What an edge machine is to do next about a request: values that `Forwarder` returns and an adapter carries out."""

from dataclasses import dataclass

from kestrelplank.forwarding.endpoint import Endpoint
from kestrelplank.forwarding.errors import RequestError


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to `endpoint`, then call `Forwarder.attempt_ended`.

    :param timeout_ns: for the attempt from now on; the server is sent it as the time that remains.
    """

    endpoint: Endpoint
    timeout_ns: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Call `Forwarder.next_step` at `until`, or sooner where key ranges, servers or their load have changed."""

    until: int


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Pass the answer of the last attempt on to the client."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the client ourselves, as the error says."""

    error: RequestError


Step = Send | Wait | ForwardAnswer | Refuse
