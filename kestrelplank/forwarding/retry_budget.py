"""The retry budget of one edge machine."""


class RetryBudget:
    """A token bucket of retries for each service: every request adds a fraction of a token, every retry takes one.

    All edges together stay within the configured limit without communicating, as each may save up only its share
    (`test_retries_of_all_edges_together_stay_within_the_configured_limit`).

    Source: Finagle's and gRPC's retry budgets, see `load_balancing.retry_budget`; here the bucket's capacity shrinks as
    edges are added.

    :param ratio: retries per request that the operator allows all edges together.
    :param allowance: retries beyond that ratio, also for all edges together.
    """

    # Margins below the configured limit.
    RATIO_SHARE = 0.7  # of the ratio
    ALLOWANCE_SHARE = 0.5  # of the allowance, for all edges together
    MAX_BALANCE = 6.0  # retries saved up for one service, for any number of edges

    def __init__(self, ratio: float, allowance: float) -> None:
        self._ratio, self._allowance = ratio, allowance
        self._balance: dict[str, float] = {}
        self.edge_count = 1

    def capacity(self) -> float:
        """Return how many retries may be saved up for one service."""
        return max(1.0, min(self.MAX_BALANCE, self.ALLOWANCE_SHARE * self._allowance / self.edge_count))

    def deposit(self, service: str) -> None:
        """Credit the service for one client's request."""
        capacity = self.capacity()
        self._balance[service] = min(capacity, self._balance.get(service, capacity) + self.RATIO_SHARE * self._ratio)

    def has_retry(self, service: str) -> bool:
        """Whether at least one retry is left in the service's balance."""
        return self._balance.get(service, self.capacity()) >= 1

    def try_withdraw(self, service: str) -> bool:
        """Take one retry from the service's balance; return False if less than one is left."""
        if not self.has_retry(service):
            return False
        self._balance[service] = self._balance.get(service, self.capacity()) - 1
        return True
