"""Retry budget: limits retries to a share of first attempts."""


class RetryBudget:
    """Allows retries of an op type up to a share of its first attempts.

    Guards against retry storms, in which the retries of all proxies double the load of nodes that fail under it.
    Drawback: in a short outage, some ops are rejected that another node would have served.

    Source: the retry budgets of Finagle (Twitter, 2013) and of gRPC proposal A6 (2017), here counted by op type.

    :param share: retries earned by each first attempt.
    :param max_saved: limit on saved retries for bursts; each op type starts with this number.
    """

    def __init__(self, op_types: int, share: float, max_saved: float) -> None:
        self._share, self._max_saved = share, max_saved
        self._saved = [max_saved] * op_types

    def earn(self, op_type: int) -> None:
        """Add the share of a retry that a first attempt earns."""
        self._saved[op_type] = min(self._max_saved, self._saved[op_type] + self._share)

    def spend(self, op_type: int) -> bool:
        """Return whether a retry is allowed, and if so deduct it from the budget."""
        if self._saved[op_type] < 1:
            return False
        self._saved[op_type] -= 1
        return True
