"""What an edge counts. docs/oncall.md says of each name what a rise of it means and what to do.

`downstream_rq_...` are requests of clients, `upstream_rq_...` are attempts at servers; the rest of the name says
how one ended. `upstream_rq_retry` and `upstream_rq_pending` count no ends: retries, and waits before an attempt.
"""

from kestrelplank.forwarding.errors import ERRORS, OperatorCallError, RequestError
from kestrelplank.forwarding.retry_policy import CallOutcome

UPSTREAM_RQ_RETRY = "upstream_rq_retry"  # attempts that followed another of the same request
UPSTREAM_RQ_PENDING = "upstream_rq_pending"  # waits for capacity at a server, or for the holder of a key
UPSTREAM_RQ_ENDED = {outcome: f"upstream_rq_{outcome.value}" for outcome in CallOutcome}
DOWNSTREAM_RQ_REFUSED = {
    error: f"downstream_rq_refused_{error.reason.replace(' ', '_')}"
    for error in ERRORS
    if not issubclass(error, OperatorCallError)
}


class Counters:
    """Counts since the start of the program, by name; only those that are not 0."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Count one more."""
        self.values[name] = self.values.get(name, 0) + 1

    def attempt_ended(self, outcome: CallOutcome) -> None:
        """Count an attempt by how it ended."""
        self.add(UPSTREAM_RQ_ENDED[outcome])

    def refused(self, error: RequestError) -> None:
        """Count a request that we answer ourselves with that error."""
        self.add(DOWNSTREAM_RQ_REFUSED[type(error)])
