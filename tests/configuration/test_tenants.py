"""Tenants of a configuration: which lists are rejected, and which tenant a key belongs to."""

import json

from kestrelplank.configuration.parsing import parse_configuration

FIRST_KEY, SECOND_KEY, THIRD_KEY = "first-secret", "second-secret", "third-secret"


def tenant(name, *api_keys, **more):
    """Return a tenant of the document."""
    return {"name": name, "api_keys": list(api_keys), **more}


def document(*tenants, **changes):
    """Return the bytes of a configuration with these tenants; `changes` replace its top-level fields."""
    fields = {"config_version": "7", "service_table": [], "virtual_hosts": [], "tenants": list(tenants)}
    return json.dumps({**fields, **changes}).encode()


# Guards against a configuration in force in which one key stands for two tenants.
def test_a_key_that_two_tenants_share_is_rejected():
    shared = document(tenant("acme", FIRST_KEY), tenant("globex", SECOND_KEY, FIRST_KEY))
    assert parse_configuration(shared).value_or(None) is None
