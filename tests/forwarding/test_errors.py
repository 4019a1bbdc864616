"""The table of our own answers: closed, and with no promise where a request may have run."""

from kestrelplank.forwarding import errors
from kestrelplank.forwarding.errors import ERRORS, OperatorCallError, RequestError, UnprovenRequestError


def kinds(error=RequestError):
    """All classes below that one that have none below them."""
    below = error.__subclasses__()
    return {error} if not below else set().union(*map(kinds, below))


def test_the_table_lists_every_kind_of_error_once():
    assert set(ERRORS) == kinds() and len(ERRORS) == len(set(ERRORS))
    assert all(error.__module__ == errors.__name__ for error in ERRORS)


def test_each_kind_has_the_status_and_body_that_clients_know():
    assert [(error.status, error.reason) for error in ERRORS] == [
        (404, "no route"),
        (400, "bad request"),
        (413, "too large"),
        (408, "too slow"),
        (503, "not ready"),
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


def test_retry_after_is_said_only_where_nothing_has_run_or_will():
    for error in ERRORS:
        assert not (error.allows_retry_after and error.may_have_run)
        if not issubclass(error, OperatorCallError):
            assert error.allows_retry_after == (error.status in (408, 503))
            assert error.may_have_run == (error.status in (502, 504)) == issubclass(error, UnprovenRequestError)
        assert error(5).retry_after_ns == (5 if error.allows_retry_after else 0)
