"""Observations of a rehearsal's simulated parties, against which the rules are checked."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Observations:
    """Counts over a complete rehearsal.

    :param runs: number of runs of each request, by attempt id.
    :param at_most_once: attempt ids of requests that may run at most once.
    :param answers: number of answers by HTTP status, 0 for no answer.
    :param rejected_but_ran: requests that had run although the gateway's answer promised that they had not.
    :param keys_with_two_owners: requests for a key that two servers owned at the time.
    :param tenants: the tenant of each request by attempt id, "" for one that must not run.
    :param wrong_tenant: runs that did not carry the name of their request's tenant, or that carried an API key.
    """

    runs: Counter[str] = field(default_factory=Counter)
    at_most_once: set[str] = field(default_factory=set)
    answers: Counter[int] = field(default_factory=Counter)
    requests: int = 0
    served: int = 0
    rejected_but_ran: int = 0
    keys_with_two_owners: int = 0
    tenants: dict[str, str] = field(default_factory=dict)
    wrong_tenant: int = 0

    def run_twice(self) -> int:
        """Return how many requests that may run at most once ran more often."""
        return sum(self.runs[attempt_id] > 1 for attempt_id in self.at_most_once)
