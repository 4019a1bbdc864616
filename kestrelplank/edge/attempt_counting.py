"""Counts each attempt of a tenant's request, from its start until its outcome is known."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

from kestrelplank.forwarding.retry_policy import CallKind, CallOutcome, Execution, verdict
from kestrelplank.usage.edge_usage import EdgeUsage


class CountedAttempt:
    """One attempt; `outcome` is set by the caller once it is known."""

    def __init__(self) -> None:
        self.outcome = CallOutcome.ABANDONED  # unless the attempt ends otherwise


@contextmanager
def counted_attempt(usage: EdgeUsage | None, tenant: str | None, call_kind: CallKind) -> Iterator[CountedAttempt]:
    """Count the attempt that is made inside, unless its outcome proves that it has not run.

    :param usage: None if usage is not reported.
    :param tenant: None for a request without tenant, which is not counted.
    """
    attempt = CountedAttempt()
    window = None
    if usage is not None and tenant is not None:
        window = usage.attempt_started(time.monotonic_ns(), tenant)
    if usage is None or tenant is None or window is None:
        yield attempt
        return
    try:
        yield attempt
    finally:
        executed = verdict(call_kind, attempt.outcome).execution is not Execution.NOT_EXECUTED
        usage.counter.attempt_ended(window, tenant, executed=executed)
