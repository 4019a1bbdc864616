"""The parameters of all decisions; docs/design.md gives the reason for each."""

from kestrelplank.interface import SECOND

# Intervals.
ROUND_INTERVAL_NS = SECOND // 10  # between timed rounds, which run without events too
BALANCING_INTERVAL_NS = 2 * SECOND
LOAD_PERIODS = 5  # report periods that loads are averaged over; nodes take part in no move for as long after one

# Load balancing.
BALANCE_TOLERANCE = 0.20  # loads up to this share above the mean cause no move
SIGNIFICANT_DEVIATIONS = 3  # nor do differences within this many standard deviations of noise
MIN_SPEED, MAX_SPEED = 0.1, 2.0  # bounds of a node's speed relative to the median
SPEED_EXPONENT = 0.5  # dampens relative speeds
OVERLOAD_SHARE = 0.5  # usable share of the setting overload_multiple, for warming nodes
# A slice is hot above this share of a mean node's load. PICK_OF_TWO: proxies pick the less loaded of two endpoints.
HOT_SLICE_THRESHOLD, MAX_ENDPOINTS = 0.4, 2
HOT_SLICE_THRESHOLD_PICK_OF_TWO, MAX_ENDPOINTS_PICK_OF_TWO = 0.3, 4
MOVES_DIVISOR = 20  # a pass moves at most one in this many of the assigner's slices
PEER_LOADS_VALID_NS = 2 * BALANCING_INTERVAL_NS

# Ejection of unhealthy nodes, and of flapping ones.
UNHEALTHY_EXCESS = 0.5  # eject a node whose share of failures is this far above the median
MIN_FAILURES = 4  # and that has at least this many failures
MIN_ANSWERS = 4  # before a node's latency is used as its speed
SLOW_MULTIPLE = 1.5  # of the median latency; slower nodes count as overloaded, not unhealthy
EJECTED_DIVISOR = 7  # at most one in this many nodes is ejected, but one always may be
MIN_EJECTION_NS, MAX_EJECTION_NS = 6 * SECOND, 24 * SECOND  # doubles with each ejection, between these bounds
FLAP_WINDOW_NS = 60 * SECOND  # a node with several starts within it gets no slices for a while

# Load shedding.
# Median latency over its target: shed more above the first, less below the second.
OVERLOAD_LATENCY_RATIO, RECOVERED_LATENCY_RATIO = 0.35, 0.25
BEST_DECAY = 0.98  # per report period, of the highest mean of acknowledged ops per node
SHED_MARGIN, MAX_SHED, SHED_STEP = 1.05, 0.9, 0.05

# The channel to the proxies.
URGENT_QUEUE_SHARE = 0.8  # of the permitted queue, for orders that a rule requires
ORDINARY_QUEUE_SHARES = 0.3, 0.65  # bounds for the others, so that orders for a drain still fit
RESERVED_MESSAGES = 2  # kept for urgent orders where the number of messages is limited
WATERMARK_COUNT = 65_536
MAX_SENT_TIMES = 4096  # a proxy that left with an older message unacknowledged is sent everything again
RETRY_MODE = 1  # retry only attempts that provably never ran: safe for every op type (rule 2)
