"""Durations in ns that the members rely on; they must be the same on all members of a system.

A lease is safe as long as two steady clocks differ in rate by less than `LEASE_MARGIN_NS` in `LEASE_NS`.
"""

from kestrelplank.time_units import MILLISECOND

HEARTBEAT_INTERVAL_NS = 200 * MILLISECOND
LEASE_NS = 1_500 * MILLISECOND  # a member that replied to a leader votes for no other member for this long
LEASE_MARGIN_NS = 100 * MILLISECOND  # the leader's lease ends this long before its voters may vote for another
CURRENT_TIMEOUT_NS = 1_000 * MILLISECOND  # maximum age of the leader's message for a follower to be current
CONTACT_TIMEOUT_NS = 500 * MILLISECOND  # without contact for longer, a member rejects requests that need the others
CAMPAIGN_STAGGER_NS = 150 * MILLISECOND  # between the campaigns of two voters that lose their leader at the same time
CAMPAIGN_RETRY_INTERVAL_NS = 400 * MILLISECOND  # from a campaign without a quorum to the next one
