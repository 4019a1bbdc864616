"""Refused requests by connection: what is remembered, until when, and how much."""

from kestrelplank.edge.refused_requests import MAX_REFUSED_REQUESTS, RefusedRequests


def test_a_request_is_remembered_on_each_connection_until_that_is_closed():
    refused = RefusedRequests()
    assert refused.add(1, b"a") and refused.add(2, b"a") and refused.add(1, b"b")
    assert (refused.connections_of(b"a"), refused.connections_of(b"b")) == ({1, 2}, {1})
    refused.forget(1)
    assert (refused.connections_of(b"a"), refused.connections_of(b"b")) == ({2}, set())
    refused.forget(2)
    refused.forget(3)
    assert refused.connections_of(b"a") == set()


# Guards against memory that grows with each refusal on a connection that stays open.
def test_a_connection_is_given_up_before_it_has_too_many_refused_requests():
    refused = RefusedRequests()
    kept = [refused.add(1, b"%d" % number) for number in range(MAX_REFUSED_REQUESTS)]
    assert kept == [True] * (MAX_REFUSED_REQUESTS - 1) + [False]
    refused.forget(1)
    assert refused.connections_of(b"0") == set() and refused.add(1, b"0")
