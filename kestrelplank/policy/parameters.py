"""The tuned values of all decisions; docs/design.md gives the reason for each."""

from kestrelplank.interface import SECOND

# How often.
ROUND_INTERVAL_NS = SECOND // 10  # a round at least, also when nothing comes in
BALANCING_INTERVAL_NS = 2 * SECOND
PERIODS = 5  # loads are averages over this many report periods, and a move settles for as many

# Load balancing.
BAND = 0.20  # a load up to this far above the mean moves nothing
CHANCE_DEVIATIONS = 3  # nor does a difference within so many standard deviations of chance
SLOWEST, FASTEST = 0.1, 2.0  # bounds of a node's speed against the median
SPEED_EXPONENT = 0.5  # damps it
OVERLOAD_SHARE = 0.5  # how much of the multiple that overloads a cold node may be used
SPLIT_THRESHOLD, MOST_ENDPOINTS = 0.4, 2  # a hot slice has this share of a mean node's load
SPLIT_THRESHOLD_PICK_OF_TWO, MOST_ENDPOINTS_PICK_OF_TWO = 0.3, 4  # where proxies pick the less loaded of two
MOVES_DIVISOR = 20  # a pass moves at most one in this many of the assigner's slices
PEER_LOADS_VALID_NS = 2 * BALANCING_INTERVAL_NS

# Ejection of unhealthy nodes, and of flapping ones.
UNHEALTHY_EXCESS = 0.5  # eject a node whose share of failures is so far above the median
LEAST_FAILURES = 4  # and that has failed at least so often
LEAST_ANSWERS = 4  # before a node's latency says anything of its speed
SLOW_MULTIPLE = 1.5  # of the median latency: such a node is overloaded, not unhealthy
EJECTED_DIVISOR = 7  # at most one in this many nodes is ejected
EJECTION_NS, LONGEST_EJECTION_NS = 6 * SECOND, 24 * SECOND  # doubles from the one to the other
FLAP_WINDOW_NS = 60 * SECOND  # a node that starts more than once within that is given nothing for a while

# Load shedding.
STRAINED, RELAXED = 0.35, 0.25  # median latency over its target: shed above, shed less below
BEST_FADING = 0.98  # each report period, of the most that a node was seen to acknowledge
SHED_MARGIN, MOST_SHED, SHED_STEP = 1.05, 0.9, 0.05

# The channel to the proxies.
URGENT_QUEUE_SHARE = 0.8  # of the permitted queue, for orders that bind
ORDINARY_QUEUE_SHARES = 0.3, 0.65  # bounds for the others, as a drain must still get through
SPARE_MESSAGES = 2  # left for urgent orders, where messages are limited
MOST_WATERMARKS = 65_536
SENT_TIMES_KEPT = 4096  # of messages; a proxy that left with an older one unacknowledged is sent everything again
RETRY_MODE = 1  # another attempt only once the first provably never ran: safe for every op type (rule 2)
