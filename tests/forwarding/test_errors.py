"""The gateway's own answers: the table is complete, and `Retry-After` never comes with a request that may have run."""

from kestrelplank.forwarding import errors
from kestrelplank.forwarding.errors import ERRORS, OperatorCallError, RequestError, UnprovenRequestError


def leaf_classes(error=RequestError):
    """Return all subclasses of `error` that have no subclasses themselves."""
    subclasses = error.__subclasses__()
    return {error} if not subclasses else set().union(*map(leaf_classes, subclasses))


def test_the_table_lists_every_error_class_once():
    assert set(ERRORS) == leaf_classes() and len(ERRORS) == len(set(ERRORS))
    assert all(error.__module__ == errors.__name__ for error in ERRORS)


def test_each_error_has_its_documented_status_and_body():
    assert [(error.status, error.reason) for error in ERRORS] == [
        (404, "no route"),
        (401, "unauthorized"),
        (400, "bad request"),
        (413, "too large"),
        (408, "too slow"),
        (503, "not ready"),
        (503, "configuration not confirmed"),
        (503, "no memory for the body"),
        (503, "no server"),
        (503, "nobody holds the key"),
        (503, "full"),
        (503, "too late to begin"),
        (503, "stopping"),
        (503, "a defect of the gateway"),
        (502, "unknown outcome"),
        (504, "timed out"),
        (400, "invalid"),
        (503, "no majority"),
        (404, "no such resource"),
    ]


def test_retry_after_is_allowed_only_for_requests_that_never_run():
    for error in ERRORS:
        assert not (error.allows_retry_after and error.may_have_run)
        if not issubclass(error, OperatorCallError):
            assert error.allows_retry_after == (error.status in (408, 503))
            assert error.may_have_run == (error.status in (502, 504)) == issubclass(error, UnprovenRequestError)
        assert error(5).retry_after_ns == (5 if error.allows_retry_after else 0)
