"""The state of an op, the outcomes of its attempts, and the steps that the proxy carries out for it."""

from dataclasses import dataclass
from enum import StrEnum


class AttemptOutcome(StrEnum):
    """How an attempt ended, as observed by the proxy. The values are shown to callers and in reports."""

    SUCCEEDED = "acked"
    FAILED = "failed"  # the node responded with an error: the op may have been executed
    NOT_STARTED = "not started"  # the node reported that it did not start the op
    REFUSED = "refused"  # no connection could be established
    UNSENT = "unsent"  # connection reset before the first byte of the op was written
    RESET = "reset"  # connection reset after a byte was written
    TRUNCATED = "cut short"  # the connection ended within the response
    TIMED_OUT = "silent"  # no response in time


# Only these prove that an attempt was not executed. A time-out does not: the node may still execute the op.
PROOFS_NOT_EXECUTED = (AttemptOutcome.NOT_STARTED, AttemptOutcome.REFUSED, AttemptOutcome.UNSENT)
# No response of any kind: a zone whose nodes all end attempts like this counts as lost.
UNREACHABLE = (AttemptOutcome.REFUSED, AttemptOutcome.TIMED_OUT)


class Verdict(StrEnum):
    """The final result of an op. The values are shown to callers and in reports."""

    ACKED = "acked"
    REJECTED = "rejected"  # it was not executed at any node
    ABORTED = "aborted"  # it may have been executed


class EndReason(StrEnum):
    """Why an op ended, if not because of the outcome of its last attempt. The values are shown to callers."""

    NONE = ""
    ADMISSION_LEVEL = "level"
    NO_NODE = "no line"
    NO_OTHER_NODE = "no other line"
    RETRY_BUDGET = "budget"
    QUEUE_FULL = "full"
    DISPLACED = "turned away"  # from the queue, by an op of higher value
    QUEUE_TIMEOUT = "no room in time"
    OP_TIMEOUT = "op timeout"
    CALLER_GONE = "caller gone"


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt at the node."""

    node: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait for a node or for capacity: call `wait_expired` at `until` (ns), and `tables_changed` when tables change."""

    until: int


@dataclass(frozen=True, slots=True)
class End:
    """Respond to the caller now."""

    verdict: Verdict
    reason: EndReason | AttemptOutcome


Step = Send | Wait | End


class Op:
    """One op in progress.

    :param number: its identifier, unique in the proxy.
    :param deadline: the time (ns) at which its caller stops waiting.
    :param key: the key that determines the node under `SelectionMethod.KEY`.
    """

    __slots__ = ("number", "op_type", "table", "deadline", "key", "node", "attempted_nodes", "waits_until", "sent_at")

    def __init__(self, number: int, op_type: int, table: int, deadline: int, key: str) -> None:
        self.number, self.op_type, self.table, self.deadline, self.key = number, op_type, table, deadline, key
        self.node: int | None = None  # the node of the attempt in flight, which was sent at `sent_at`
        self.sent_at = 0
        self.attempted_nodes: tuple[int, ...] = ()
        self.waits_until: int | None = None  # end of its wait for a node or for capacity
