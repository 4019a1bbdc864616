"""The budget of further tries that one edge machine has."""


class Budget:
    """Second tries that this member may still make at a service: a part of its requests, and a few saved up, so that
    all edge members together stay within the operator's bound even when they hear nothing of each other.

    Source: Finagle's and gRPC's retry budgets, see `plan.attempts.Budget`; here the saved part shrinks with members."""

    SHARE = 0.7  # of the operator's ratio that is given out
    MOST_SAVED = 6.0
    ALLOWANCE_SHARE = 0.5  # of the operator's allowance, over all edge members

    def __init__(self, ratio: float, allowance: float) -> None:
        """`ratio` and `allowance` as in the operator's bound for all edge members together."""
        self._ratio, self._allowance = ratio, allowance
        self._saved: dict[str, float] = {}
        self.edges = 1

    def most(self) -> float:
        """What may be saved up for one service."""
        return max(1.0, min(self.MOST_SAVED, self.ALLOWANCE_SHARE * self._allowance / self.edges))

    def asked(self, service: str) -> None:
        """A client's request for that service has come."""
        self._saved[service] = min(self.most(), self._saved.get(service, self.most()) + self.SHARE * self._ratio)

    def spend(self, service: str) -> bool:
        """Whether one more try may go to that service; it then counts as made."""
        left = self._saved.get(service, self.most())
        if left < 1:
            return False
        self._saved[service] = left - 1
        return True
