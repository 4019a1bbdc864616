"""Interpreted request headers, and the headers that are forwarded to servers."""

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
def test_client_timeout_is_clamped_and_defaults_to_30_s_without_a_valid_header(value, timeout_ns):
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
def test_forwarded_headers_have_one_content_length_that_matches_the_body(headers, body, length):
    received = [(b"host", b"h"), *headers, (b"connection", b"x"), (b"x-deadline-remaining", b"9"), (b"te", b"t")]
    forwarded = server_headers(received, dict(received), body)
    assert forwarded == [(b"host", b"h"), *([] if length is None else [(b"content-length", length)])]


def test_attempt_headers_name_the_server_and_a_deadline_of_at_least_1_ms():
    assert attempt_headers("s-1", 1500 * MILLISECOND) == [
        (b"x-deadline-remaining", b"1500"),
        (b"x-target-instance", b"s-1"),
    ]
    assert attempt_headers("s-1", 5)[0] == (b"x-deadline-remaining", b"1")
