"""Durations that the members rely on, in ns. All members of a system must have the same ones.

A lease is safe as long as two steady clocks differ in rate by less than `LEASE_MARGIN_NS` in `LEASE_NS`.
"""

from kestrelplank.time_units import MILLISECOND

HEARTBEAT_INTERVAL_NS = 200 * MILLISECOND
LEASE_NS = 1_500 * MILLISECOND  # for so long a member that answered a leader votes for nobody else
LEASE_MARGIN_NS = 100 * MILLISECOND  # the leader's lease ends so much before its voters' promises do
CURRENT_TIMEOUT_NS = 1_000 * MILLISECOND  # a follower is not current by a message of the leader that may be older
CAMPAIGN_STAGGER_NS = 150 * MILLISECOND  # between the campaigns of two members that have lost their leader
CAMPAIGN_RETRY_INTERVAL_NS = 400 * MILLISECOND  # until votes that did not suffice are asked for again
