"""Chooses the duration and renewal interval of leases on keys. No I/O.

A short lease frees the keys of a crashed server sooner; a long one survives a longer outage of the control plane. So
leases are short while all voters respond, and long while one is missing, as the next loss may leave no majority. Above
`MAX_RANGES_WITH_SHORT_LEASES` ranges they are always long, as renewals every second fall behind (docs/sharding.md).
"""

from dataclasses import dataclass

from kestrelplank.sharding.timing import LEASE_DURATION_NS, RENEWAL_INTERVAL_NS
from kestrelplank.time_units import SECOND

LONG_LEASE_NS = 9 * SECOND  # the platform allows 10 s by its own clock
LONG_RENEWAL_INTERVAL_NS = 5 * SECOND // 2
# Between deployments of 264 ranges, where short leases hold, and of 760, where they ran out for a reason not known yet.
MAX_RANGES_WITH_SHORT_LEASES = 500
DEGRADED_COOLDOWN_NS = 3 * SECOND  # leases stay long for this time after all voters respond again
MIN_RENEWALS_PER_LEASE = 3


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Duration and renewal interval of leases.

    :param duration_ns: how long a lease lasts by the server's clock.
    :param renewal_interval_ns: time from one grant of a range to the next.
    """

    duration_ns: int
    renewal_interval_ns: int


class LeaseTermsPolicy:
    """Chooses the lease terms of one service while this member leads.

    :param max_lease_ns: the longest lease that servers accept.
    """

    def __init__(self, max_lease_ns: int) -> None:
        self._max_lease_ns = max_lease_ns
        self._degraded_until = 0

    def terms(self, now: int, range_count: int, *, voter_missing: bool) -> LeaseTerms:
        """Return the terms of the next grants.

        :param range_count: the number of the service's ranges.
        :param voter_missing: a voter of the replicated log has not responded recently.
        """
        if voter_missing:
            self._degraded_until = now + DEGRADED_COOLDOWN_NS
        many = range_count > MAX_RANGES_WITH_SHORT_LEASES
        wanted_ns = LONG_LEASE_NS if many or now < self._degraded_until else LEASE_DURATION_NS
        lease_ns = min(wanted_ns, self._max_lease_ns)
        interval_ns = LONG_RENEWAL_INTERVAL_NS if many else RENEWAL_INTERVAL_NS
        return LeaseTerms(lease_ns, min(interval_ns, lease_ns // MIN_RENEWALS_PER_LEASE))
