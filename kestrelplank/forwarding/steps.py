"""What an edge machine is to do next about a request: values that `Forwarder` returns and an adapter carries out."""

from dataclasses import dataclass

from kestrelplank.forwarding.endpoints import Endpoint
from kestrelplank.forwarding.errors import Fault


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to `endpoint` and call `Forwarder.ended` with what was seen. It has `within` ns, which is also
    what the server is told."""

    endpoint: Endpoint
    within: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Call `Forwarder.again` at `until` (ns), or sooner where key ranges, servers or their load have changed."""

    until: int


@dataclass(frozen=True, slots=True)
class Give:
    """Pass the answer of the last try on to the client."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the client ourselves, as the table of errors says. `retry_after` (ns): when it may come back, 0 where
    nothing is said of that."""

    fault: Fault
    retry_after: int = 0


Step = Send | Wait | Give | Refuse
