"""The retry budget of one edge machine."""


class RetryBudget:
    """A token bucket of retries for each service: every request adds a part of one, every retry takes one.

    All edges together stay within the operator's bound even when they hear nothing of each other, as each may save up
    only its part (`test_the_retry_budget_keeps_all_edges_together_within_the_operators_bound`).

    Source: Finagle's and gRPC's retry budgets, see `load_balancing.retry_budget`; here the saved part shrinks as edges
    are added.

    :param ratio: retries per request that the operator allows all edges together.
    :param allowance: retries beyond that ratio, likewise.
    """

    # Margins below the operator's bound.
    RATIO_SHARE = 0.7  # of the ratio
    ALLOWANCE_SHARE = 0.5  # of the allowance, for all edges together
    MAX_BALANCE = 6.0  # retries saved up for one service, however few edges there are

    def __init__(self, ratio: float, allowance: float) -> None:
        self._ratio, self._allowance = ratio, allowance
        self._balance: dict[str, float] = {}
        self.edge_count = 1

    def capacity(self) -> float:
        """Return how many retries may be saved up for one service."""
        return max(1.0, min(self.MAX_BALANCE, self.ALLOWANCE_SHARE * self._allowance / self.edge_count))

    def deposit(self, service: str) -> None:
        """Credit the service with one client's request."""
        capacity = self.capacity()
        self._balance[service] = min(capacity, self._balance.get(service, capacity) + self.RATIO_SHARE * self._ratio)

    def try_withdraw(self, service: str) -> bool:
        """Whether the service may have one more retry, which then counts as made."""
        balance = self._balance.get(service, self.capacity())
        if balance < 1:
            return False
        self._balance[service] = balance - 1
        return True
