"""Decides whether a call may be retried: a table from the kind of call and its outcome to a verdict.

The caller reports the outcome (`CallOutcome`) and follows `verdict`; no other module decides on retries. Limits on
retries (attempts, deadline, budget) only ever narrow a verdict. docs/requests.md shows the same table, and how each
answer is matched to its call.

A call is proved not to have run only if the server says so (`X-Not-Executed`) or no byte of it was sent. A reset, a
close, a time-out, a truncated or malformed answer, one that belongs to another call, and a refusal without that
statement prove nothing.
"""

from dataclasses import dataclass
from enum import Enum


class CallKind(Enum):
    """Every kind of call that this system makes, by the effect of a second execution."""

    IDEMPOTENT_REQUEST = "idempotent request"  # edge to server
    # Edge to server, on a non-idempotent or upload route: runs at most once each time that a client sends it.
    NON_IDEMPOTENT_REQUEST = "non-idempotent request"
    GRANT = "grant"  # control to server
    RELEASE = "release"  # control to server
    SERVER_LIST = "server list"  # control to platform
    OPERATOR_CHANGE = "operator change"  # forwarded to the leader by the member that received it
    OPERATOR_READ = "operator read"  # forwarded in the same way
    STATE_UPDATE = "state update"  # heartbeats and reports between edges and members: each replaces the previous one


class CallOutcome(Enum):
    """How a call ended, as its caller saw it. The values are names of counters and appear in logs."""

    ANSWERED = "answered"  # a complete answer that matches the call
    SERVER_ERROR = "5xx"  # a complete 5xx answer that matches the call, without the statement that it has not run
    NOT_EXECUTED = "not_executed"  # a complete answer that matches the call states that it has not run
    # A complete answer that matches the call has a status of `NOT_EXECUTED_STATUSES`, but not that statement.
    UNPROVEN_REFUSAL = "unproven_refusal"
    NO_CONNECTION_FREE = "no_connection_free"  # nothing was sent: all connections allowed to the server are in use
    UNSENDABLE = "unsendable"  # can't be encoded: no byte was sent, nor would be to another server
    NOT_SENT = "not_sent"  # abandoned before its first byte, as the client had disconnected
    CONNECT_FAIL = "connect_fail"  # connecting failed, or the connection had ended: no byte was sent
    RESET = "reset"  # after the first byte sent, before the first of an answer
    CLOSED = "closed"  # orderly close after the first byte sent, before the first of an answer
    TRUNCATED = "truncated"  # the connection ended within an answer
    MALFORMED = "malformed"  # not a valid answer, or one that can't belong to the call
    TIMEOUT = "timeout"  # bytes were sent and no answer arrived in time
    ABANDONED = "abandoned"  # abandoned after its first byte: the client disconnected, or the gateway stops


# To a client each of these guarantees that its request has not run and never will. A server's status proves nothing.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


class Execution(Enum):
    """Whether the call is proved to have run at the receiver."""

    EXECUTED = "executed"
    NOT_EXECUTED = "not executed"
    UNKNOWN = "unknown"


class RetryTarget(Enum):
    """Where the caller may retry the call.

    The forwarder treats OTHER_SERVER and ANY_SERVER alike: without a shard key it excludes all servers that were tried
    before; with one only the key's holder can be used.
    """

    NONE = "none"
    OTHER_SERVER = "other server"  # not the server that has just answered
    ANY_SERVER = "any server"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The consequences of a call's outcome.

    The originator of a non-idempotent call (client or operator) may repeat it only if `execution` is NOT_EXECUTED.

    :param execution: whether the call is proved to have run.
    :param retry: where the caller may retry it.
    :param counts_as_attempt: whether the call may have reached the receiver, so that the next one counts as a retry.
    """

    execution: Execution
    retry: RetryTarget
    counts_as_attempt: bool = True


SUCCEEDED = Verdict(Execution.EXECUTED, RetryTarget.NONE)
EXECUTED_AND_IDEMPOTENT = Verdict(Execution.EXECUTED, RetryTarget.ANY_SERVER)
NOT_EXECUTED_RETRY_ELSEWHERE = Verdict(Execution.NOT_EXECUTED, RetryTarget.OTHER_SERVER)
NOT_EXECUTED_NO_RETRY = Verdict(Execution.NOT_EXECUTED, RetryTarget.NONE)
NOT_SENT = Verdict(Execution.NOT_EXECUTED, RetryTarget.ANY_SERVER, counts_as_attempt=False)
NOT_SENT_NO_RETRY = Verdict(Execution.NOT_EXECUTED, RetryTarget.NONE, counts_as_attempt=False)
UNKNOWN_NO_RETRY = Verdict(Execution.UNKNOWN, RetryTarget.NONE)
UNKNOWN_BUT_IDEMPOTENT = Verdict(Execution.UNKNOWN, RetryTarget.ANY_SERVER)

UNPROVEN_OUTCOMES = (
    CallOutcome.UNPROVEN_REFUSAL,
    CallOutcome.RESET,
    CallOutcome.CLOSED,
    CallOutcome.TRUNCATED,
    CallOutcome.MALFORMED,
    CallOutcome.TIMEOUT,
)


def _row(
    answered: Verdict, server_error: Verdict, not_executed: Verdict, unproven: Verdict, abandoned: Verdict
) -> dict[CallOutcome, Verdict]:
    """Return the row of a kind of call; calls never sent have the same verdicts for all kinds."""
    return {
        CallOutcome.ANSWERED: answered,
        CallOutcome.SERVER_ERROR: server_error,
        CallOutcome.NOT_EXECUTED: not_executed,
        CallOutcome.NO_CONNECTION_FREE: NOT_SENT,
        CallOutcome.UNSENDABLE: NOT_SENT_NO_RETRY,
        CallOutcome.NOT_SENT: NOT_SENT_NO_RETRY,
        CallOutcome.CONNECT_FAIL: NOT_SENT,
        **dict.fromkeys(UNPROVEN_OUTCOMES, unproven),
        CallOutcome.ABANDONED: abandoned,
    }


def _uniform_row(failed: Verdict) -> dict[CallOutcome, Verdict]:
    """Return the row of a kind of call with one verdict for everything sent that was not answered successfully."""
    return _row(answered=SUCCEEDED, server_error=failed, not_executed=failed, unproven=failed, abandoned=failed)


RETRY_TABLE: dict[CallKind, dict[CallOutcome, Verdict]] = {
    CallKind.IDEMPOTENT_REQUEST: _row(
        answered=SUCCEEDED,
        server_error=EXECUTED_AND_IDEMPOTENT,
        not_executed=NOT_EXECUTED_RETRY_ELSEWHERE,
        unproven=UNKNOWN_BUT_IDEMPOTENT,
        abandoned=UNKNOWN_NO_RETRY,
    ),
    CallKind.NON_IDEMPOTENT_REQUEST: _row(
        answered=SUCCEEDED,
        server_error=SUCCEEDED,
        not_executed=NOT_EXECUTED_RETRY_ELSEWHERE,
        unproven=UNKNOWN_NO_RETRY,
        abandoned=UNKNOWN_NO_RETRY,
    ),
    # The fencing token makes a second grant or release harmless: a repeated grant renews it, and a release is never
    # refused. NOT_EXECUTED for a grant is a 409: the next grant needs a higher fencing token, so it is another call.
    CallKind.GRANT: _row(
        answered=SUCCEEDED,
        server_error=UNKNOWN_BUT_IDEMPOTENT,
        not_executed=NOT_EXECUTED_NO_RETRY,
        unproven=UNKNOWN_BUT_IDEMPOTENT,
        abandoned=UNKNOWN_BUT_IDEMPOTENT,
    ),
    CallKind.RELEASE: _uniform_row(UNKNOWN_BUT_IDEMPOTENT),
    CallKind.SERVER_LIST: _uniform_row(UNKNOWN_BUT_IDEMPOTENT),
    CallKind.STATE_UPDATE: _uniform_row(UNKNOWN_BUT_IDEMPOTENT),
    # Operators' clients retry calls themselves, at any member, which is harmless as the log orders them; retries by
    # members would only add duplicates.
    CallKind.OPERATOR_CHANGE: _uniform_row(UNKNOWN_NO_RETRY),
    CallKind.OPERATOR_READ: _uniform_row(UNKNOWN_NO_RETRY),
}


def verdict(kind: CallKind, outcome: CallOutcome) -> Verdict:
    """Return the verdict on a call of that kind with that outcome."""
    return RETRY_TABLE[kind][outcome]


def is_idempotent(kind: CallKind) -> bool:
    """Whether a call of that kind may run twice: it may be retried after a time-out, and aborted in flight."""
    return verdict(kind, CallOutcome.TIMEOUT).retry is not RetryTarget.NONE
