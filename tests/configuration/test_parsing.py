"""Validation of configurations, and the routes and services that requests get."""

import json
from random import Random

import pytest

from kestrelplank.configuration.errors import InvalidFieldError, MalformedDocumentError
from kestrelplank.configuration.parsing import parse_configuration


def configuration(version="00000007", **changes):
    """Return a valid configuration document; `changes` replace its top-level fields."""
    document = {
        "config_version": version,
        "service_table": [
            {
                "name": "views",
                "health_check_path": "/health",
                "max_connections": 110,
                "sharded": True,
                "prewarm_s": 5.0,
                "grants": "call",
            },
            {"name": "orders"},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
        "virtual_hosts": [
            {
                "host_name": "shop.example",
                "host_routes": [route("/a/", "idempotent"), route("/a/b/", "upload", "orders")],
            },
            {"host_name": "pay.example", "host_routes": [route("/a/", "non_idempotent", "orders")]},
        ],
    }
    return {**document, **changes}


def route(prefix, kind, service="views", **more):
    return {
        "name": "r",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_s": 1.5,
        "target_latency_s": 0.6,
        "priority": 2,
        "target_service": service,
        "max_attempts": 2,
        **more,
    }


def encoded(**changes):
    return json.dumps(configuration(**changes)).encode()


def with_route(**changes):
    return {
        "virtual_hosts": [{"host_name": "shop.example", "host_routes": [{**route("/a/", "idempotent"), **changes}]}]
    }


@pytest.mark.parametrize(
    "changes, expected",
    [
        (with_route(target_service="nobody"), "target_service"),
        (with_route(target_service=None), "target_service"),
        (
            with_route(
                traffic_split=[{"target_service": "views", "weight": 0}, {"target_service": "orders", "weight": 0}]
            ),
            "weights",
        ),
        (
            with_route(
                traffic_split=[{"target_service": "views", "weight": 1}, {"target_service": "nobody", "weight": 0}]
            ),
            "traffic_split[1]",
        ),
        (with_route(traffic_split=[{"target_service": "views", "weight": -1}]), "weight"),
        (
            with_route(target_service="nobody", traffic_split=[{"target_service": "views", "weight": 1}]),
            "target_service",
        ),
        (with_route(traffic_split=[]), "weights"),
        (with_route(route_type="sometimes"), "route_type"),
        (with_route(timeout_s=601), "timeout_s"),
        (with_route(timeout_s=0), "timeout_s"),
        (with_route(timeout_s="1"), "virtual_hosts[0].host_routes[0].timeout_s"),
        ({"virtual_hosts": [{"host_name": "", "host_routes": []}]}, "host_name"),
        (
            {"virtual_hosts": [{"host_name": "a", "host_routes": [route("/a/", "upload"), route("/a/", "upload")]}]},
            "twice",
        ),
        (
            {
                "virtual_hosts": [
                    {"host_name": "a", "host_routes": [route("/a/", "upload")]},
                    {"host_name": "A", "host_routes": [route("/a/", "upload")]},
                ]
            },
            "twice",
        ),
        ({"config_version": 7}, "config_version"),
        ({"config_version": "not hex"}, "config_version"),
        ({"service_table": None}, "service_table"),
        ({"virtual_hosts": "none"}, "virtual_hosts"),
    ],
)
def test_an_invalid_document_is_rejected_with_the_name_of_the_field(changes, expected):
    assert expected in str(parse_configuration(encoded(**changes)).failure())


def test_a_document_truncated_at_any_byte_is_rejected():
    complete = encoded()
    for end in range(len(complete)):
        assert parse_configuration(complete[:end]).value_or(None) is None
    assert parse_configuration(complete).unwrap().text == complete


def test_a_request_is_routed_by_the_longest_matching_prefix_of_its_host():
    parsed = parse_configuration(encoded()).unwrap()
    assert parsed.route("shop.example:80", "/a/x").path_prefix == "/a/"
    assert parsed.route("SHOP.example", "/a/b/x").route_type == "upload"
    assert parsed.route("pay.example", "/a/b/x").route_type == "non_idempotent"
    assert parsed.route("shop.example", "/a") is None
    assert parsed.route("shop.example", "/") is None
    assert parsed.route("other.example", "/a/x") is None


def test_a_traffic_split_follows_the_weights_and_skips_a_weight_of_0():
    split = [{"target_service": "views", "weight": 90}, {"target_service": "orders", "weight": 10}]
    split_route = parse_configuration(encoded(**with_route(traffic_split=split))).unwrap().route("shop.example", "/a/")
    random = Random(1)
    chosen = [split_route.service_at(random.random()) for _ in range(2000)]
    assert 100 < chosen.count("orders") < 300
    split[1]["weight"] = 0
    split_route = parse_configuration(encoded(**with_route(traffic_split=split))).unwrap().route("shop.example", "/a/")
    assert all(split_route.service_at(random.random()) == "views" for _ in range(100))


def test_configurations_with_equal_version_numbers_differ_by_digest():
    first, second = parse_configuration(encoded()).unwrap(), parse_configuration(encoded(limits={})).unwrap()
    assert first.key.version == second.key.version and first.key != second.key
    assert parse_configuration(encoded(version="00000010")).unwrap().key > max(first.key, second.key)


@pytest.mark.parametrize(
    "changes, field",
    [
        ({"service_table": None}, "service_table"),
        (with_route(timeout_s="1"), "virtual_hosts[0].host_routes[0].timeout_s"),
        (with_route(timeout_s=601), "virtual_hosts[0].host_routes[0].timeout_s"),
    ],
)
def test_the_error_has_the_field_of_a_wrong_type_or_value(changes, field):
    error = parse_configuration(encoded(**changes)).failure()
    assert isinstance(error, InvalidFieldError) and error.field == field


# Guards against text that is not UTF-8 being answered with 500, so that the operator sends it again and again.
@pytest.mark.parametrize("text", [b"{", b'{"config_version": "\xff"}', b"\xff\xfe{", b"[" * 100_000])
def test_invalid_json_gives_a_malformed_document_error(text):
    assert isinstance(parse_configuration(text).failure(), MalformedDocumentError)
