"""Durations in ns that the members rely on for singleton roles; they must be the same on all members of a system."""

from kestrelplank.consensus.timing import CURRENT_TIMEOUT_NS, HEARTBEAT_INTERVAL_NS
from kestrelplank.time_units import MILLISECOND, SECOND

CLOCK_DRIFT_PERCENT = 5
"""Clocks of two members may differ in rate by 4%, as each may be 2% slow or fast; the rest is margin."""


def with_clock_drift(duration_ns: int) -> int:
    """Return how long to wait by this member's clock until `duration_ns` has passed by any other member's."""
    return duration_ns * (100 + CLOCK_DRIFT_PERCENT) // 100


HANDOVER_WAIT_NS = with_clock_drift(CURRENT_TIMEOUT_NS) + 50 * MILLISECOND
"""From the time at which a new holder applies its assignment until the former holder can't act any more."""
HOLDER_TIMEOUT_NS = 1 * SECOND
"""A holder that has not replied to the leader for this long is replaced."""
CANDIDATE_TIMEOUT_NS = 3 * HEARTBEAT_INTERVAL_NS
"""A member is assigned a role only if it replied to the leader within this time."""
REPORT_INTERVAL_NS = 500 * MILLISECOND
"""Between a member's `RoleReport` messages to the leader."""
REPORT_TIMEOUT_NS = 3 * REPORT_INTERVAL_NS
"""A member whose last `RoleReport` is older is not assigned a role."""
ELECTION_WAIT_NS = 500 * MILLISECOND
"""After its election a leader assigns no role to itself for this long, as others have yet to report."""
MAX_STOP_WAIT_NS = 1 * SECOND
"""How long a stopping member waits for its roles to be assigned to others."""
