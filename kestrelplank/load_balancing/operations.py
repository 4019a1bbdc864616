"""Values that the decisions about an op are made of: its state, how attempts end, and what the proxy has to do next."""

from dataclasses import dataclass
from enum import StrEnum


class AttemptOutcome(StrEnum):
    """How an attempt ended, as the proxy saw it. The values are shown to callers and in reports."""

    SUCCEEDED = "acked"
    FAILED = "failed"  # the node answered with an error: the op may have run
    NOT_STARTED = "not started"  # the node itself says that the op has not begun
    REFUSED = "refused"  # no connection came up
    UNSENT = "unsent"  # reset before the first byte of the op was written
    RESET = "reset"  # reset after a byte was written
    TRUNCATED = "cut short"  # the connection ended within the answer
    TIMED_OUT = "silent"  # nothing came in time


# Only these prove that an attempt never ran. A time-out proves nothing: the node may be about to run the op.
PROOFS_NOT_EXECUTED = (AttemptOutcome.NOT_STARTED, AttemptOutcome.REFUSED, AttemptOutcome.UNSENT)
# Nobody answered at all: where this is all that a zone's nodes do, the zone is lost.
UNREACHABLE = (AttemptOutcome.REFUSED, AttemptOutcome.TIMED_OUT)


class Verdict(StrEnum):
    """What a caller is told of its op. The values are shown to callers and in reports."""

    ACKED = "acked"
    REJECTED = "rejected"  # it has not run anywhere
    ABORTED = "aborted"  # it may have run


class EndReason(StrEnum):
    """Why an op ended, where that is not the outcome of its last attempt. The values are shown to callers."""

    NONE = ""
    ADMISSION_LEVEL = "level"
    NO_NODE = "no line"
    NO_OTHER_NODE = "no other line"
    RETRY_BUDGET = "budget"
    QUEUE_FULL = "full"
    DISPLACED = "turned away"  # from the queue, by an op of more value
    QUEUE_TIMEOUT = "no room in time"
    OP_TIMEOUT = "op timeout"
    CALLER_GONE = "caller gone"


@dataclass(frozen=True, slots=True)
class Send:
    """Open an attempt at that node."""

    node: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait for a node: call `wait_expired` at `until` (ns), and `tables_changed` when tables change."""

    until: int


@dataclass(frozen=True, slots=True)
class End:
    """Answer the caller now."""

    verdict: Verdict
    reason: EndReason | AttemptOutcome


Step = Send | Wait | End


class Op:
    """One op in progress.

    :param number: identifies it among all ops of the proxy.
    :param deadline: the instant (ns) at which its caller stops waiting.
    :param key: what nodes are chosen by where they are chosen by key.
    """

    __slots__ = ("number", "op_type", "table", "deadline", "key", "node", "attempted_nodes", "waits_until", "sent_at")

    def __init__(self, number: int, op_type: int, table: int, deadline: int, key: str) -> None:
        self.number, self.op_type, self.table, self.deadline, self.key = number, op_type, table, deadline, key
        self.node: int | None = None  # where its attempt is in flight, since `sent_at`
        self.sent_at = 0
        self.attempted_nodes: tuple[int, ...] = ()
        self.waits_until: int | None = None  # for a node, or for capacity at one
