"""The names of an edge's counters, and the page that documents them."""

import pathlib
import re

import pytest

from kestrelplank.edge.counters import (
    DOWNSTREAM_RQ_REFUSED,
    DOWNSTREAM_RQ_UNAUTHORIZED,
    UPSTREAM_RQ_ENDED,
    UPSTREAM_RQ_PENDING,
    UPSTREAM_RQ_RETRY,
    Counters,
)
from kestrelplank.forwarding.errors import (
    ERRORS,
    AuthenticationFailure,
    NoServerError,
    OperatorCallError,
    UnauthorizedError,
)
from kestrelplank.forwarding.retry_policy import CallOutcome

ALL = [
    UPSTREAM_RQ_RETRY,
    UPSTREAM_RQ_PENDING,
    *UPSTREAM_RQ_ENDED.values(),
    *DOWNSTREAM_RQ_REFUSED.values(),
    *DOWNSTREAM_RQ_UNAUTHORIZED.values(),
]
PAGE = pathlib.Path(__file__).parents[2] / "docs" / "oncall.md"


def test_each_attempt_outcome_and_each_client_error_has_a_unique_counter_name():
    assert set(UPSTREAM_RQ_ENDED) == set(CallOutcome)
    assert set(DOWNSTREAM_RQ_REFUSED) == {error for error in ERRORS if not issubclass(error, OperatorCallError)}
    assert len(ALL) == len(set(ALL)) and all(re.fullmatch(r"(up|down)stream_rq_[a-z0-9_]+", name) for name in ALL)


def test_on_call_page_documents_exactly_the_existing_counters():
    documented = re.findall(r"^\| `((?:up|down)stream_rq_\w+)` \|", PAGE.read_text(), re.MULTILINE)
    gauges = ["downstream_rq_body_bytes", "upstream_rq_active"]
    assert sorted(documented) == sorted([*ALL, *gauges])


@pytest.mark.parametrize("times", [1, 3])
def test_events_are_counted_under_their_names(times):
    counters = Counters()
    for _ in range(times):
        counters.add(UPSTREAM_RQ_RETRY)
        counters.attempt_ended(CallOutcome.SERVER_ERROR)
        counters.refused(NoServerError())
    assert counters.values == dict.fromkeys(
        ["upstream_rq_retry", "upstream_rq_5xx", "downstream_rq_refused_no_server"], times
    )


def test_an_unauthorized_request_is_counted_by_its_reason_too():
    counters = Counters()
    for failure in AuthenticationFailure:
        counters.refused(UnauthorizedError(failure=failure))
    assert counters.values == {
        "downstream_rq_refused_unauthorized": 3,
        "downstream_rq_unauthorized_missing": 1,
        "downstream_rq_unauthorized_malformed": 1,
        "downstream_rq_unauthorized_unknown_key": 1,
    }
