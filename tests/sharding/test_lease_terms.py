"""Lease terms: duration and renewal by missing voters, number of ranges, and the maximum that servers accept."""

import pytest

from kestrelplank.sharding.lease_terms import (
    DEGRADED_COOLDOWN_NS,
    LONG_LEASE_NS,
    LONG_RENEWAL_INTERVAL_NS,
    MAX_RANGES_WITH_SHORT_LEASES,
    LeaseTerms,
    LeaseTermsPolicy,
)
from kestrelplank.sharding.timing import LEASE_DURATION_NS, RENEWAL_INTERVAL_NS
from kestrelplank.time_units import SECOND

NOW = 100 * SECOND
SHORT = LeaseTerms(LEASE_DURATION_NS, RENEWAL_INTERVAL_NS)


def test_leases_are_long_while_a_voter_is_missing_and_for_the_cooldown_after():
    policy = LeaseTermsPolicy(10 * SECOND)
    assert policy.terms(NOW, 100, voter_missing=False) == SHORT
    assert policy.terms(NOW, 100, voter_missing=True) == LeaseTerms(LONG_LEASE_NS, RENEWAL_INTERVAL_NS)
    assert policy.terms(NOW + DEGRADED_COOLDOWN_NS - 1, 100, voter_missing=False).duration_ns == LONG_LEASE_NS
    assert policy.terms(NOW + DEGRADED_COOLDOWN_NS, 100, voter_missing=False) == SHORT


def test_many_ranges_get_long_leases_and_a_long_renewal_interval():
    policy = LeaseTermsPolicy(10 * SECOND)
    assert policy.terms(NOW, MAX_RANGES_WITH_SHORT_LEASES, voter_missing=False) == SHORT
    expected = LeaseTerms(LONG_LEASE_NS, LONG_RENEWAL_INTERVAL_NS)
    assert policy.terms(NOW, MAX_RANGES_WITH_SHORT_LEASES + 1, voter_missing=False) == expected


@pytest.mark.parametrize("accepted_s", [0.9, 3, 4, 6, 9, 10, 60])
@pytest.mark.parametrize("ranges", [10, 5000])
@pytest.mark.parametrize("missing", [False, True])
def test_lease_is_within_the_accepted_maximum_and_fits_three_renewal_intervals(accepted_s, ranges, missing):
    terms = LeaseTermsPolicy(int(accepted_s * SECOND)).terms(NOW, ranges, voter_missing=missing)
    assert terms.duration_ns <= accepted_s * SECOND
    assert 3 * terms.renewal_interval_ns <= terms.duration_ns
