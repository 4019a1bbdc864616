"""One client's request while an edge machine has it in hand."""

from enum import Enum

from kestrelplank.configuration.route_table import Route
from kestrelplank.forwarding.endpoint import Endpoint
from kestrelplank.forwarding.retry_policy import CallKind, CallOutcome, Execution, Verdict


class RequestState(Enum):
    """Where a request is on its way. `TRANSITIONS` says what may follow."""

    ADMITTED = "admitted"  # it has a route, a service and a deadline; no server yet
    WAITING = "waiting"  # for capacity at a server, or for somebody to hold its key
    IN_FLIGHT = "in flight"  # an attempt is out at `endpoint`
    ATTEMPT_ENDED = "attempt ended"  # to be retried, or given up
    ANSWERED = "answered"  # with what a server answered
    REFUSED = "refused"  # with an answer of our own


TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.ADMITTED: frozenset({RequestState.WAITING, RequestState.IN_FLIGHT, RequestState.REFUSED}),
    # A request that waits for its retry may be given up with the answer of its first attempt.
    RequestState.WAITING: frozenset(
        {RequestState.WAITING, RequestState.IN_FLIGHT, RequestState.ANSWERED, RequestState.REFUSED}
    ),
    RequestState.IN_FLIGHT: frozenset({RequestState.ATTEMPT_ENDED}),
    RequestState.ATTEMPT_ENDED: frozenset(
        {RequestState.WAITING, RequestState.IN_FLIGHT, RequestState.ANSWERED, RequestState.REFUSED}
    ),
    RequestState.ANSWERED: frozenset(),
    RequestState.REFUSED: frozenset(),
}


class ForwardedRequest:
    """The state of a request in hand; each transition is a method, which records it and does no more.

    `TRANSITIONS` is not checked as a program runs: `test_states_of_a_request_follow_the_table` does so.

    Route, service and connections are those of the configuration under which the request came; a change of the
    configuration leaves it alone (`test_a_route_keeps_its_requests_through_a_change`).

    :param max_connections: how many connections a server of the service accepts from all callers.
    :param key: its shard key, None where the service is not sharded.
    :param received_at: when its body had been read in full.
    :param deadline_at: the earlier of the ends of its client's and its route's time-out.
    :param body_bytes: size of its body.
    """

    __slots__ = (
        "route",
        "service",
        "max_connections",
        "key",
        "body_bytes",
        "call_kind",
        "received_at",
        "deadline_at",
        "state",
        "attempted_servers",
        "unsent_attempts",
        "endpoint",
        "sent_at",
        "last_outcome",
        "may_have_run",
        "client_gone",
    )

    def __init__(
        self,
        route: Route,
        service: str,
        max_connections: int,
        key: int | None,
        received_at: int,
        deadline_at: int,
        body_bytes: int,
    ) -> None:
        self.route, self.service, self.max_connections = route, service, max_connections
        self.key, self.body_bytes, self.received_at, self.deadline_at = key, body_bytes, received_at, deadline_at
        self.call_kind = CallKind.IDEMPOTENT_REQUEST if route.idempotent else CallKind.NON_IDEMPOTENT_REQUEST
        self.state = RequestState.ADMITTED
        self.attempted_servers: tuple[str, ...] = ()  # servers that something was sent to
        self.unsent_attempts = 0  # attempts of which no byte was sent
        self.endpoint: Endpoint | None = None  # where an attempt is out
        self.sent_at = 0  # when the last attempt was started
        self.last_outcome: CallOutcome | None = None  # of the last attempt that was begun
        self.may_have_run = False  # an attempt has ended without proof that it has not run
        self.client_gone = False  # its client has disconnected: nobody would carry out a further step

    # Transitions.

    def begin_wait(self) -> None:
        """Record that it waits until a server can be used."""
        self.state = RequestState.WAITING

    def start_attempt(self, now: int, endpoint: Endpoint) -> None:
        """Record that an attempt goes to that server."""
        self.state = RequestState.IN_FLIGHT
        self.endpoint, self.sent_at = endpoint, now

    def discard_attempt(self) -> None:
        """Record that nothing was sent of the attempt: it does not count."""
        self.state = RequestState.ATTEMPT_ENDED
        self.endpoint = None

    def end_attempt(self, server: str, outcome: CallOutcome, verdict: Verdict) -> None:
        """Record how the attempt at that server ended, and whether the request may have run."""
        self.state = RequestState.ATTEMPT_ENDED
        self.endpoint, self.last_outcome = None, outcome
        if verdict.execution is not Execution.NOT_EXECUTED:
            self.may_have_run = True
        if verdict.counts_as_attempt:
            self.attempted_servers = (*self.attempted_servers, server)
        else:
            self.unsent_attempts += 1

    def forward_answer(self) -> None:
        """Record that the client gets the last server's answer."""
        self.state = RequestState.ANSWERED

    def refuse(self) -> None:
        """Record that the client gets an answer of our own."""
        self.state = RequestState.REFUSED
