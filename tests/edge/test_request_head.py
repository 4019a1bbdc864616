"""What the head of a client's request says, and what of it goes to servers."""

import pytest

from kestrelplank.edge.request_head import attempt_headers, client_timeout_ns, server_headers
from kestrelplank.time_units import MILLISECOND, SECOND


@pytest.mark.parametrize(
    "value, timeout_ns",
    [
        (b"1500", 1500 * MILLISECOND),
        (b"0.5", MILLISECOND // 2),
        (b"-3", 0),
        (b"1e9", 600 * SECOND),
        (b"inf", 30 * SECOND),
        (b"nan", 30 * SECOND),
        (b"soon", 30 * SECOND),
        (None, 30 * SECOND),
    ],
)
def test_a_client_waits_for_as_long_as_it_says_within_bounds_and_30_s_if_it_says_nothing(value, timeout_ns):
    assert client_timeout_ns({} if value is None else {b"x-deadline-remaining": value}) == timeout_ns


@pytest.mark.parametrize(
    "headers, body, length",
    [
        ([], b"", None),
        ([], b"body", b"4"),
        ([(b"content-length", b"9")], b"body", b"4"),
        ([(b"content-length", b"0")], b"", b"0"),
        ([(b"transfer-encoding", b"chunked")], b"", b"0"),
    ],
)
def test_servers_get_one_length_that_is_that_of_the_body(headers, body, length):
    given = [(b"host", b"h"), *headers, (b"connection", b"x"), (b"x-deadline-remaining", b"9"), (b"te", b"t")]
    passed_on = server_headers(given, dict(given), body)
    assert passed_on == [(b"host", b"h"), *([] if length is None else [(b"content-length", length)])]


def test_an_attempt_names_its_server_and_leaves_it_a_millisecond_at_least():
    assert attempt_headers("s-1", 1500 * MILLISECOND) == [
        (b"x-deadline-remaining", b"1500"),
        (b"x-target-instance", b"s-1"),
    ]
    assert attempt_headers("s-1", 5)[0] == (b"x-deadline-remaining", b"1")
