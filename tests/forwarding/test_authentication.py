"""Which `Authorization` headers admit a request, on public routes and on all others."""

import pytest
from configuration.test_parsing import configuration, encoded, route

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.forwarding.authentication import authenticate
from kestrelplank.forwarding.errors import AuthenticationFailure, UnauthorizedError

TENANTS = [{"name": "museum", "api_keys": ["K3y", "other key"]}, {"name": "library", "api_keys": ["k3y"]}]
HOSTS = [
    {
        "host_name": "shop.example",
        "host_routes": [route("/private/", "idempotent"), route("/public/", "idempotent", public_access=True)],
    }
]
MISSING, MALFORMED, UNKNOWN_KEY = AuthenticationFailure


def authenticated(path, *authorizations, **changes):
    """Return the name of the tenant, None if there is none, or why the request is refused."""
    compiled = parse_configuration(encoded(virtual_hosts=HOSTS, **{"tenants": TENANTS, **changes})).unwrap()
    try:
        tenant = authenticate(compiled, compiled.route("shop.example", f"{path}x"), authorizations)
    except UnauthorizedError as error:
        return error.failure
    return tenant and tenant.name


@pytest.mark.parametrize(
    "authorizations, private, public",
    [
        ([], MISSING, None),
        ([b"Bearer K3y"], "museum", "museum"),
        ([b"Bearer k3y"], "library", "library"),
        ([b"bEARER K3y"], "museum", "museum"),
        ([b"Bearer   K3y"], "museum", "museum"),
        ([b"Bearer other key"], "museum", "museum"),
        ([b"Bearer K3Y"], UNKNOWN_KEY, UNKNOWN_KEY),
        ([b"Bearer K3y "], UNKNOWN_KEY, UNKNOWN_KEY),
        ([b"Bearer K3y, Bearer K3y"], UNKNOWN_KEY, UNKNOWN_KEY),
        ([b"Bearer K3"], UNKNOWN_KEY, UNKNOWN_KEY),
        ([b"Bearer \xff\x00"], UNKNOWN_KEY, UNKNOWN_KEY),
        ([b"Bearer museum"], UNKNOWN_KEY, UNKNOWN_KEY),
        ([b"Bearer"], MALFORMED, MALFORMED),
        ([b"Bearer "], MALFORMED, MALFORMED),
        ([b""], MALFORMED, None),
        ([b"K3y"], MALFORMED, None),
        ([b"BearerK3y"], MALFORMED, None),
        ([b"Basic K3y"], MALFORMED, None),
        ([b"Bearer K3y", b"Bearer K3y"], MALFORMED, MALFORMED),
        ([b"Bearer K3y", b"Basic x"], MALFORMED, MALFORMED),
        ([b"Basic x", b"Bearer K3y"], MALFORMED, MALFORMED),
    ],
)
def test_only_one_known_key_admits_to_a_route_without_public_access(authorizations, private, public):
    assert authenticated("/private/", *authorizations) == private
    assert authenticated("/public/", *authorizations) == public


def test_an_empty_list_of_tenants_admits_nobody_and_without_the_field_no_key_is_needed():
    assert authenticated("/private/", b"Bearer K3y", tenants=[]) is UNKNOWN_KEY
    assert authenticated("/private/", tenants=[]) is MISSING
    assert "tenants" not in configuration()
    for authorizations in ([], [b"Bearer K3y"], [b"x", b"y"]):
        assert authenticated("/private/", *authorizations, tenants=None) is None
