"""The machine's time of day, which may be seconds off and may jump either way.

It is read in order to tell others or to estimate true time (`usage.true_time`); no decision is made by it. Durations
and deadlines are measured by the steady clock.
"""

import time


def wall_time_ns() -> int:
    """Return this machine's time of day in ns since 1970."""
    return time.time_ns()
