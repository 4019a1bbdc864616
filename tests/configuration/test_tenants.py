"""Tenants of a configuration: which lists are rejected, and which tenant a key belongs to."""

import json

import pytest

from kestrelplank.configuration.differences import differences
from kestrelplank.configuration.errors import InvalidFieldError
from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.configuration.tenants import Tenant

FIRST_KEY, SECOND_KEY, THIRD_KEY = "first-secret", "second-secret", "third-secret"
KEYS = (FIRST_KEY, SECOND_KEY, THIRD_KEY)


def tenant(name, *api_keys, **more):
    """Return a tenant of the document."""
    return {"name": name, "api_keys": list(api_keys), **more}


def document(*tenants, **changes):
    """Return the bytes of a configuration with these tenants; `changes` replace its top-level fields."""
    fields = {"config_version": "7", "service_table": [], "virtual_hosts": [], "tenants": list(tenants)}
    return json.dumps({**fields, **changes}).encode()


def parsed(*tenants, **changes):
    """Return the configuration with these tenants."""
    return parse_configuration(document(*tenants, **changes)).unwrap()


def without_tenants():
    """Return a configuration whose document has no `tenants`."""
    fields = json.loads(document())
    del fields["tenants"]
    return parse_configuration(json.dumps(fields).encode()).unwrap()


# Guards against a configuration in force in which one key stands for two tenants.
def test_a_key_that_two_tenants_share_is_rejected():
    shared = document(tenant("acme", THIRD_KEY, FIRST_KEY), tenant("globex", SECOND_KEY), tenant("initech", FIRST_KEY))
    error = parse_configuration(shared).failure()
    assert isinstance(error, InvalidFieldError)
    assert error.field == "tenants[2].api_keys[0]" and "tenants[0].api_keys[1]" in error.reason
    assert not any(key in str(error) for key in KEYS)


@pytest.mark.parametrize(
    "tenants, places",
    [
        ([tenant("acme", FIRST_KEY), tenant("acme", SECOND_KEY)], ["tenants[1].name", "tenants[0].name"]),
        ([tenant("", FIRST_KEY)], ["tenants[0].name"]),
        ([tenant("acme\r\nX-Header: 1", FIRST_KEY)], ["tenants[0].name"]),
        ([tenant(" acme", FIRST_KEY)], ["tenants[0].name"]),
        ([tenant("acme ", FIRST_KEY)], ["tenants[0].name"]),
        ([tenant("acme", FIRST_KEY, "")], ["tenants[0].api_keys[1]"]),
        ([{"name": "acme"}], ["tenants[0].api_keys"]),
        ([{"name": "acme", "api_keys": FIRST_KEY}], ["tenants[0].api_keys"]),
        ([tenant("acme", FIRST_KEY), FIRST_KEY], ["tenants[1]"]),
        ([tenant("acme", [FIRST_KEY])], ["tenants[0].api_keys[0]"]),
        ([tenant("acme", FIRST_KEY, priority="1")], ["tenants[0].priority"]),
        (FIRST_KEY, ["tenants"]),
    ],
)
def test_an_invalid_tenant_is_rejected_with_its_places_and_without_its_key(tenants, places):
    error = parse_configuration(document(tenants=tenants)).failure()
    assert all(place in str(error) for place in places)
    while error is not None:  # a traceback prints the causes too
        assert not any(key in str(error) for key in KEYS)
        error = error.__cause__


def test_a_key_finds_its_tenant_byte_for_byte():
    tenants = parsed(
        tenant("acme", FIRST_KEY, SECOND_KEY, FIRST_KEY, priority=0), tenant("globex", "schlüssel")
    ).tenants
    assert tenants.find(FIRST_KEY.encode()) == tenants.find(SECOND_KEY.encode()) == Tenant("acme", 0)
    assert tenants.find("schlüssel".encode()) == Tenant("globex", None)
    for unknown in (b"", b"acme", FIRST_KEY.upper().encode(), FIRST_KEY[:-1].encode(), b" " + FIRST_KEY.encode()):
        assert tenants.find(unknown) is None


def test_without_the_field_there_is_no_index_and_with_an_empty_list_no_key_is_known():
    assert without_tenants().tenants is None
    assert parsed().tenants is not None and parsed().tenants.find(FIRST_KEY.encode()) is None


# Guards against a key that is still accepted once a newer version has taken it away.
def test_a_removed_key_is_unknown_to_the_next_configuration():
    before = parsed(tenant("acme", FIRST_KEY, SECOND_KEY), tenant("globex", THIRD_KEY))
    text = document(tenant("acme", SECOND_KEY), config_version="8")
    after = parse_configuration(text, former=before).unwrap()
    assert after.tenants.find(FIRST_KEY.encode()) is None and after.tenants.find(THIRD_KEY.encode()) is None
    assert after.tenants.find(SECOND_KEY.encode()) == Tenant("acme", None)
    assert before.tenants.find(FIRST_KEY.encode()) == Tenant("acme", None)  # requests under way keep their version


def test_the_index_is_reused_only_for_an_equal_list_of_tenants():
    former = parsed(tenant("acme", FIRST_KEY), tenant("globex", SECOND_KEY))

    def next_index(*tenants):
        return parse_configuration(document(*tenants, config_version="8"), former=former).unwrap().tenants

    assert next_index(tenant("acme", FIRST_KEY), tenant("globex", SECOND_KEY)) is former.tenants
    for changed in (
        [tenant("acme", FIRST_KEY)],
        [tenant("acme", FIRST_KEY), tenant("globex", THIRD_KEY)],
        [tenant("acme", FIRST_KEY), tenant("globex", SECOND_KEY, priority=1)],
        [tenant("acme", SECOND_KEY), tenant("globex", FIRST_KEY)],
        [],
    ):
        assert next_index(*changed) is not former.tenants


def test_neither_a_key_nor_its_plain_digest_is_kept_in_the_index():
    assert not any(key in repr(vars(parsed(tenant("acme", *KEYS)).tenants)) for key in KEYS)


def test_differences_name_tenants_and_never_a_key():
    old = parsed(tenant("acme", FIRST_KEY), tenant("globex", SECOND_KEY), tenant("initech", priority=2))
    new = parsed(tenant("acme", THIRD_KEY), tenant("initech", priority=1), tenant("umbrella", SECOND_KEY))
    assert [str(change) for change in differences(old, new)] == [
        "all: tenant acme api_keys changed",
        "all: tenant globex dropped",
        "all: tenant initech priority 2 -> 1",
        "all: tenant umbrella added",
    ]
    assert str(differences(without_tenants(), parsed())[0]) == "all: api_key_required False -> True"


def test_a_route_has_no_public_access_unless_the_document_says_so():
    def route(prefix, **more):
        return {"path_prefix": prefix, "route_type": "upload", "timeout_s": 1, "target_service": "views", **more}

    hosts = [{"host_name": "shop.example", "host_routes": [route("/a/"), route("/b/", public_access=True)]}]
    configuration = parsed(service_table=[{"name": "views"}], virtual_hosts=hosts)
    assert configuration.route("shop.example", "/b/x").public_access
    assert not configuration.route("shop.example", "/a/x").public_access
