"""The counters of an edge. docs/oncall.md explains for each what an increase means and what to do.

`downstream_rq_...` counts client requests and `upstream_rq_...` attempts at servers, by outcome. The exceptions are
`upstream_rq_retry`, which counts retries, and `upstream_rq_pending`, which counts waits before an attempt. A request
that is refused with 401 also counts under `downstream_rq_unauthorized_...`, by the reason.
"""

from kestrelplank.forwarding.errors import (
    ERRORS,
    AuthenticationFailure,
    OperatorCallError,
    RequestError,
    UnauthorizedError,
)
from kestrelplank.forwarding.retry_policy import CallOutcome

UPSTREAM_RQ_RETRY = "upstream_rq_retry"  # attempts after the first of a request
UPSTREAM_RQ_PENDING = "upstream_rq_pending"  # waits for server capacity or for a holder of the shard key
UPSTREAM_RQ_ENDED = {outcome: f"upstream_rq_{outcome.value}" for outcome in CallOutcome}
DOWNSTREAM_RQ_REFUSED = {
    error: f"downstream_rq_refused_{error.reason.replace(' ', '_')}"
    for error in ERRORS
    if not issubclass(error, OperatorCallError)
}
DOWNSTREAM_RQ_UNAUTHORIZED = {
    failure: f"downstream_rq_unauthorized_{failure.value}" for failure in AuthenticationFailure
}


class Counters:
    """Counts since the start of the program, by name; counters at 0 are absent."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Increment the counter of that name."""
        self.values[name] = self.values.get(name, 0) + 1

    def attempt_ended(self, outcome: CallOutcome) -> None:
        """Count an attempt by its outcome."""
        self.add(UPSTREAM_RQ_ENDED[outcome])

    def refused(self, error: RequestError) -> None:
        """Count a request that the edge answers with that error."""
        self.add(DOWNSTREAM_RQ_REFUSED[type(error)])
        if isinstance(error, UnauthorizedError):
            self.add(DOWNSTREAM_RQ_UNAUTHORIZED[error.failure])
