"""What the stand-ins of a rehearsal see, by which the rules are judged."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Observations:
    """Counts over a whole rehearsal.

    :param runs: how often each request ran, by its attempt id.
    :param at_most_once: attempt ids of requests that may run at most once.
    :param answers: by HTTP status, 0 where no answer came.
    :param rejected_but_ran: requests that the gateway promised had not run, and that had.
    :param keys_with_two_owners: requests for a key that two servers held at the time.
    """

    runs: Counter[str] = field(default_factory=Counter)
    at_most_once: set[str] = field(default_factory=set)
    answers: Counter[int] = field(default_factory=Counter)
    requests: int = 0
    served: int = 0
    rejected_but_ran: int = 0
    keys_with_two_owners: int = 0

    def run_twice(self) -> int:
        """Return how many requests ran twice that may run at most once."""
        return sum(self.runs[attempt_id] > 1 for attempt_id in self.at_most_once)
