"""Units of time. Every duration and every instant inside the program is a whole number of nanoseconds.

A duration's name ends in `_ns` (`HEARTBEAT_INTERVAL_NS`), that of an instant of the steady clock in `_at` or `_until`
(`heard_at`, `lease_until`); the parameter `now` is such an instant. A float in seconds, as some libraries want it, has
a name that ends in `_s`.
"""

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND


def seconds_to_ns(seconds: float) -> int:
    """Return a duration that users or a protocol write in seconds as whole nanoseconds."""
    return round(seconds * SECOND)
