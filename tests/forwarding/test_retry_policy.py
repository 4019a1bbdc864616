"""The retry table is complete, and retries a non-idempotent call only if it is proved not to have run."""

import pathlib
import re

import pytest

import kestrelplank
from kestrelplank.forwarding.retry_policy import (
    RETRY_TABLE,
    CallKind,
    CallOutcome,
    Execution,
    RetryTarget,
    is_idempotent,
    verdict,
)

PAIRS = [(kind, outcome) for kind in CallKind for outcome in CallOutcome]
ABANDONED_UNSENT = {CallOutcome.UNSENDABLE, CallOutcome.NOT_SENT}  # nothing was sent, and nothing will be
NOT_SENT = {CallOutcome.NO_CONNECTION_FREE, CallOutcome.CONNECT_FAIL, *ABANDONED_UNSENT}
PROOFS = {CallOutcome.NOT_EXECUTED} | NOT_SENT  # outcomes that prove that a client's request has not run
IDEMPOTENT_KINDS = {
    CallKind.IDEMPOTENT_REQUEST,
    CallKind.GRANT,
    CallKind.RELEASE,
    CallKind.SERVER_LIST,
    CallKind.STATE_UPDATE,
}


def test_the_table_has_a_verdict_for_every_call_kind_and_outcome():
    table = [(kind, outcome) for kind in RETRY_TABLE for outcome in RETRY_TABLE[kind]]
    assert [pair for pair in table if pair not in PAIRS] == []
    assert all(verdict(kind, outcome) is RETRY_TABLE[kind][outcome] for kind, outcome in PAIRS)


@pytest.mark.parametrize("kind, outcome", PAIRS)
def test_only_idempotent_calls_are_retried_without_proof_that_they_have_not_run(kind, outcome):
    result = verdict(kind, outcome)
    if result.retry is not RetryTarget.NONE and kind not in IDEMPOTENT_KINDS:
        assert result.execution is Execution.NOT_EXECUTED
    if kind is CallKind.NON_IDEMPOTENT_REQUEST:
        assert (result.execution is Execution.NOT_EXECUTED) == (outcome in PROOFS)
        assert (result.retry is not RetryTarget.NONE) == (outcome in PROOFS - ABANDONED_UNSENT)
    if outcome is CallOutcome.ANSWERED:
        assert result.retry is RetryTarget.NONE
    if not result.counts_as_attempt:  # only if nothing of the call was sent
        assert outcome in NOT_SENT


def test_is_idempotent_is_true_for_the_kinds_that_may_run_twice():
    assert {kind for kind in CallKind if is_idempotent(kind)} == IDEMPOTENT_KINDS


def test_only_the_forwarder_and_the_retry_policy_use_retry_targets():
    """Adapters only report outcomes; no other module decides on retries."""
    root = pathlib.Path(kestrelplank.__file__).parent
    users = {
        str(path.relative_to(root)) for path in root.rglob("*.py") if re.search(r"\bRetryTarget\b", path.read_text())
    }
    assert users == {"forwarding/forwarder.py", "forwarding/retry_policy.py"}
