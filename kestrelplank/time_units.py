"""Units of time. All durations and times inside the program are whole nanoseconds.

Names of durations end in `_ns` (`HEARTBEAT_INTERVAL_NS`); names of times of the monotonic clock end in `_at` or
`_until` (`sent_at`, `lease_until`), and the parameter `now` is such a time. Names of floats in seconds, which some
libraries require, end in `_s`.
"""

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND


def seconds_to_ns(seconds: float) -> int:
    """Convert a duration in seconds, as users or a protocol give it, to whole nanoseconds."""
    return round(seconds * SECOND)
