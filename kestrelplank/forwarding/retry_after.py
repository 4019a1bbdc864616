"""How long clients are told to wait before they retry (`Retry-After`)."""

from random import Random

from kestrelplank.time_units import MILLISECOND

NOT_READY_RETRY_AFTER_NS = 300 * MILLISECOND
NO_HOLDER_RETRY_AFTER_NS = 250 * MILLISECOND
RETRY_AFTER_JITTER = 0.5  # so that clients do not retry at the same time


def jittered(random: Random, retry_after_ns: int) -> int:
    """Return this time (ns), or up to `RETRY_AFTER_JITTER` of it more."""
    return int(retry_after_ns * (1 + RETRY_AFTER_JITTER * random.random()))
