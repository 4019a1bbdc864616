"""Durations of leases on keys, and time-outs of the calls that grant and release them.

A server measures its lease by its own clock from the arrival of the grant. The leader's estimate of its end is never
too early: it counts from the latest possible arrival of the grant, at the slowest clock allowed for a server.
"""

from kestrelplank.time_units import MILLISECOND, SECOND

# Longer than the change to a new leader, as a leader's lease is much shorter. `lease_terms` chooses longer leases.
LEASE_DURATION_NS = 4 * SECOND
RENEWAL_INTERVAL_NS = SECOND
MAX_QUEUED_NS = 2 * SECOND  # upper bound for queued grants: none is sent after the leader's lease, which is shorter
GRANT_TIMEOUT_NS = 800 * MILLISECOND  # after it the connection is reset
RELEASE_TIMEOUT_NS = 2 * SECOND  # the answer comes once running work has ended; without one the lease must run out
RELEASE_INTERVAL_NS = SECOND
RETRY_INTERVAL_NS = 200 * MILLISECOND
LATE_DELIVERY_NS = 300 * MILLISECOND  # how long sent bytes may still arrive after a reset
SLOWEST_CLOCK_PERCENT = 102  # longest that a lease may last at a server's slow clock, in percent of the leader's clock
LEASE_END_MARGIN_NS = 100 * MILLISECOND
STALLED_AFTER_NS = 10 * SECOND  # a range without a holder for this long is logged as stalled


def latest_lease_end(arrived_at: int, lease_ns: int = LEASE_DURATION_NS) -> int:
    """Return when a lease of this length has certainly ended (ns), if its grant arrived at `arrived_at` or earlier."""
    return arrived_at + lease_ns * SLOWEST_CLOCK_PERCENT // 100 + LEASE_END_MARGIN_NS
