"""A bound on retries, in proportion to first attempts."""


class RetryBudget:
    """Allows retries of an op type up to a share of its first attempts.

    Guards against retries of all proxies at once that double the work of nodes which fail under it. Harm: in a short,
    sharp loss some ops are rejected that another node would have acked.

    Source: the retry budgets of Finagle (Twitter, 2013) and of gRPC's proposal A6 (2017), here counted by op type.

    :param share: retries that each first attempt earns.
    :param max_saved: retries that may be saved up for a burst; an op type begins with that many.
    """

    def __init__(self, op_types: int, share: float, max_saved: float) -> None:
        self._share, self._max_saved = share, max_saved
        self._saved = [max_saved] * op_types

    def earn(self, op_type: int) -> None:
        """Take note of a first attempt."""
        self._saved[op_type] = min(self._max_saved, self._saved[op_type] + self._share)

    def spend(self, op_type: int) -> bool:
        """Return whether a retry is allowed, which then is spent."""
        if self._saved[op_type] < 1:
            return False
        self._saved[op_type] -= 1
        return True
