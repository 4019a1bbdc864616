"""Authentication at the edge: servers get the tenant's name, which no client can choose, in place of the key.

Guards against requests that run without a known key or as another tenant, and against keys that reach servers.
"""

from edge.stage import answer_all_requests, run_scenario

KEY = "K3y-of-museum"
TENANTS = [
    {"name": "museum", "api_keys": [KEY, "second-key-of-museum"]},
    {"name": "library", "api_keys": ["key-of-library"], "priority": 0},
]


def run_with_tenants(scenario, *scripts):
    """Run the scenario on an edge whose configuration has `TENANTS`."""

    async def configured(harness):
        harness.configure(tenants=TENANTS)
        await scenario(harness)

    run_scenario(configured, *(scripts or (answer_all_requests,)))


def received(harness):
    """Return all bytes that servers have received."""
    return b"".join(connection.received for server in harness.servers for connection in server.connections)


def received_headers(harness):
    """Return the header lines that servers have received, in lower case."""
    return [line.lower() for line in received(harness).split(b"\r\n") if b": " in line]


def tenant_headers(harness):
    """Return the tenant headers that servers have received, in any spelling."""
    return [line for line in received_headers(harness) if line.replace(b"_", b"-").startswith(b"x-tenant-name:")]


def send(harness, *headers, path="/safe/x"):
    """Send a request with these headers, and return its answer."""
    return harness.send_request(path, b"", "me", 2000, "POST", *headers)


def test_server_gets_the_tenants_name_in_place_of_the_key():
    async def scenario(harness):
        assert (await send(harness, f"Authorization: Bearer {KEY}"))[0] == 200
        assert tenant_headers(harness) == [b"x-tenant-name: museum"]
        assert KEY.encode() not in received(harness) and b"authorization" not in received(harness).lower()

    run_with_tenants(scenario)


def test_client_can_not_choose_its_tenant():
    """Its own tenant header is dropped in any case and spelling, repeated, and named as a connection's own."""
    own_headers = [
        ["X-Tenant-Name: library"],
        ["X-TENANT-NAME: library", "x-tenant-name: museum"],
        ["X-Tenant-Name: library", "Connection: X-Tenant-Name"],
        ["X_Tenant_Name: library", "X-Tenant_Name: library"],
    ]

    async def scenario(harness):
        for headers in own_headers:
            assert (await send(harness, f"Authorization: Bearer {KEY}", *headers))[0] == 200
        assert tenant_headers(harness) == [b"x-tenant-name: museum"] * len(own_headers)

    run_with_tenants(scenario)


def test_request_without_a_known_key_is_not_run():
    async def scenario(harness):
        for headers in ([], ["Authorization: Bearer nobodys-key"]):
            assert (await send(harness, *headers))[0] == 401
        assert received(harness) == b""

    run_with_tenants(scenario)
