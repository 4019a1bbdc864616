"""One client's request while an edge machine has it in hand."""

from kestrelplank.configuration.route_table import Route
from kestrelplank.forwarding.endpoints import Endpoint
from kestrelplank.forwarding.resend import Call, Ran, Seen, Verdict


class ForwardedRequest:
    """A request in hand. Times in ns.

    `route`, `service` and `connections` (what a server of that service accepts from all callers) are those of the
    configuration under which it came: a change of the configuration leaves it alone. `tried`: servers that something
    was sent to. `may_have_run`: some try has ended without proof that it has not run.
    """

    __slots__ = (
        "route",
        "service",
        "connections",
        "key",
        "size",
        "came",
        "deadline",
        "tried",
        "dials",
        "endpoint",
        "sent_at",
        "last_seen",
        "may_have_run",
    )

    def __init__(
        self, route: Route, service: str, connections: int, key: int | None, came: int, deadline: int, size: int
    ) -> None:
        """`size`: bytes of its body; `deadline`: when its client or its route has given it up."""
        self.route, self.service, self.connections = route, service, connections
        self.key, self.size, self.came, self.deadline = key, size, came, deadline
        self.tried: tuple[str, ...] = ()
        self.dials, self.sent_at = 0, 0
        self.endpoint: Endpoint | None = None
        self.last_seen: Seen | None = None
        self.may_have_run = False

    @property
    def call(self) -> Call:
        """Its kind in the table of what may be sent again."""
        return Call.REPEATABLE if self.route.idempotent else Call.SINGLE

    def ended(self, seen: Seen, found: Verdict, server: str) -> None:
        """The try at that server has ended so."""
        self.endpoint, self.last_seen = None, seen
        if found.ran is not Ran.NO:
            self.may_have_run = True
        if found.arrived:
            self.tried = (*self.tried, server)
        else:
            self.dials += 1
