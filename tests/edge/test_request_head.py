"""Interpreted request headers, and the headers that are forwarded to servers."""

import json

import pytest
from configuration.test_parsing import configuration

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.configuration.tenants import Tenant
from kestrelplank.edge.request_head import attempt_headers, client_timeout_ns, server_headers
from kestrelplank.forwarding.request import Admission, ForwardedRequest
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


def request(**admission):
    """Return a request of the route /a/ with these decisions of the configuration."""
    compiled = parse_configuration(json.dumps(configuration()).encode()).unwrap()
    route = compiled.route("shop.example", "/a/x")
    return ForwardedRequest(Admission(route, compiled.services["views"], **admission), None, 0, 0, 0)


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
    forwarded = server_headers(received, dict(received), body, request())
    assert forwarded == [(b"host", b"h"), *([] if length is None else [(b"content-length", length)])]


def test_attempt_headers_name_the_server_and_a_deadline_of_at_least_1_ms():
    assert attempt_headers("s-1", 1500 * MILLISECOND) == [
        (b"x-deadline-remaining", b"1500"),
        (b"x-target-instance", b"s-1"),
    ]
    assert attempt_headers("s-1", 5)[0] == (b"x-deadline-remaining", b"1")


KEY_AND_NAMES = [
    (b"host", b"h"),
    (b"authorization", b"Bearer k"),
    (b"x-tenant-name", b"own"),
    (b"x-tenant_name", b"own"),
    (b"x_tenant_name", b"own"),
]


def test_without_tenants_the_key_and_a_tenants_name_are_forwarded_as_before():
    assert server_headers(KEY_AND_NAMES, dict(KEY_AND_NAMES), b"", request()) == KEY_AND_NAMES


@pytest.mark.parametrize(
    "tenant, set_by_edge", [(None, []), (Tenant("müseum", 0), [(b"x-tenant-name", "müseum".encode())])]
)
def test_with_tenants_the_key_is_dropped_and_only_the_known_tenants_name_is_set(tenant, set_by_edge):
    forwarded = server_headers(KEY_AND_NAMES, dict(KEY_AND_NAMES), b"", request(has_tenants=True, tenant=tenant))
    assert forwarded == [(b"host", b"h"), *set_by_edge]


def test_headers_named_in_connection_are_dropped_except_those_that_servers_need():
    kept = [(b"host", b"h"), (b"x-attempt-id", b"me"), (b"x-shard-key", b"5"), (b"x-other", b"1")]
    received = [*kept, (b"x-own", b"1"), (b"http2-settings", b"a"), (b"connection", b"close, X-OWN")]
    received.append((b"connection", b"HTTP2-Settings,host,X-Attempt-Id, X-Shard-Key,,x-tenant-name"))
    with_tenant = request(has_tenants=True, tenant=Tenant("museum", None))
    assert server_headers(received, dict(received), b"", with_tenant) == [*kept, (b"x-tenant-name", b"museum")]
