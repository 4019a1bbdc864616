"""Authentication at the edge: servers get the tenant's name, which no client can choose, in place of the key.

Guards against requests that run without a known key or as another tenant, and against keys that reach servers.
"""

import asyncio
import json
import logging
from contextlib import nullcontext
from random import Random

import pytest
from edge.stage import HOSTS, answer, answer_all_requests, request_head, run_scenario

from kestrelplank.edge.program import EdgeProgram
from kestrelplank.forwarding.errors import ConfigurationUnconfirmedError
from kestrelplank.settings.json_logging import configure_json_logging
from kestrelplank.settings.platform import Bounds

KEY = "K3y-of-museum"
OTHER_KEY = "key-of-library"
TENANTS = [
    {"name": "museum", "api_keys": [KEY, "second-key-of-museum"]},
    {"name": "library", "api_keys": [OTHER_KEY], "priority": 0},
]
WITHOUT_KEY = [{"name": "museum", "api_keys": ["second-key-of-museum"]}, TENANTS[1]]
KEY_OF_OTHER = [{"name": "museum", "api_keys": []}, {"name": "library", "api_keys": [KEY]}]
AUTHORIZATION = f"Authorization: Bearer {KEY}"
MUSEUM = b"x-tenant-name: museum"


def run_with_tenants(scenario, *scripts):
    """Run the scenario on an edge whose configuration has `TENANTS`, and return its result."""

    async def configured(harness):
        harness.configure(tenants=TENANTS)
        return await scenario(harness)

    return run_scenario(configured, *(scripts or (answer_all_requests,)))


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
        assert (await send(harness, AUTHORIZATION))[0] == 200
        assert tenant_headers(harness) == [MUSEUM]
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
            assert (await send(harness, AUTHORIZATION, *headers))[0] == 200
        assert tenant_headers(harness) == [MUSEUM] * len(own_headers)

    run_with_tenants(scenario)


def test_request_without_a_known_key_is_not_run():
    async def scenario(harness):
        for headers in ([], ["Authorization: Bearer nobodys-key"]):
            assert (await send(harness, *headers))[0] == 401
        assert received(harness) == b""

    run_with_tenants(scenario)


# Ways to smuggle a name or a key past the edge.


@pytest.mark.parametrize(
    "headers",
    [
        ["Connection: Authorization, X-Tenant-Name, X-Attempt-Id, Host"],
        ["AUTHORIZATION: Basic x", "Connection: AUTHORIZATION"],
        ["X-Tenant-Name : library"],
        ["X-Other: 1\r\n X-Tenant-Name: library"],
        ["X-Other: 1\nX-Tenant-Name: library"],
        ["X-Other: 1\rX-Tenant-Name: library"],
    ],
)
def test_neither_name_nor_key_can_be_smuggled_in_other_headers(headers):
    """The request runs as the tenant of its one key, or not at all."""

    async def scenario(harness):
        status = (await send(harness, AUTHORIZATION, *headers))[0]
        assert (status, tenant_headers(harness)) in [(200, [MUSEUM]), (400, []), (401, [])]
        assert KEY.encode() not in received(harness) and b"library" not in received(harness)

    run_with_tenants(scenario)


def test_two_keys_in_any_order_and_case_are_refused():
    async def scenario(harness):
        for first, second in [(KEY, OTHER_KEY), (KEY, KEY), (KEY, "nobodys-key"), ("nobodys-key", KEY)]:
            status = (await send(harness, f"Authorization: Bearer {first}", f"aUTHORIZATION: bearer {second}"))[0]
            assert status == 401
        assert received(harness) == b""

    run_with_tenants(scenario)


def test_requests_of_different_tenants_on_one_connection_keep_their_own_names():
    """They are pipelined and share the connection to the server."""

    async def scenario(harness):
        client = await harness.client()
        keys = [KEY, OTHER_KEY, "second-key-of-museum"]
        for number, key in enumerate(keys):
            client.send("/once/x", b"pay", f"id-{number}", 2000, "POST", f"Authorization: Bearer {key}")
        assert [(await client.answer())[0] for _ in keys] == [200] * 3
        assert tenant_headers(harness) == [MUSEUM, b"x-tenant-name: library", MUSEUM]

    run_with_tenants(scenario)


# Public routes, and configurations without tenants.


@pytest.mark.parametrize(
    "headers, status, names",
    [
        ([], 200, []),
        (["X-Tenant-Name: library"], 200, []),
        (["Authorization: Basic c2VjcmV0"], 200, []),
        ([AUTHORIZATION, "X-Tenant-Name: library"], 200, [MUSEUM]),
        (["Authorization: Bearer nobodys-key"], 401, []),
        ([AUTHORIZATION, AUTHORIZATION], 401, []),
    ],
)
def test_public_route_needs_no_key_and_its_servers_get_none(headers, status, names):
    public = [{**HOSTS[0], "host_routes": [{**route, "public_access": True} for route in HOSTS[0]["host_routes"]]}]

    async def scenario(harness):
        harness.configure("00000008", tenants=TENANTS, virtual_hosts=public)
        assert (await send(harness, *headers))[0] == status
        assert tenant_headers(harness) == names and b"authorization" not in received(harness).lower()

    run_with_tenants(scenario)


def test_without_tenants_in_the_configuration_headers_are_forwarded_as_they_came():
    async def scenario(harness):
        harness.configure("00000008")
        assert (await send(harness, AUTHORIZATION, "X-Tenant-Name: own"))[0] == 200
        assert {AUTHORIZATION.lower().encode(), b"x-tenant-name: own"} <= set(received_headers(harness))

    run_with_tenants(scenario)


def test_unauthorized_answer_names_the_scheme_and_says_nothing_of_the_reason():
    async def scenario(harness):
        refusals = [await send(harness), await send(harness, "Authorization: Bearer nobodys-key")]
        for status, fields, body in refusals:
            assert (status, fields["www-authenticate"], body) == (401, "bearer", b"unauthorized")
            assert "retry-after" not in fields

    run_with_tenants(scenario)


# Versions that take keys away, or give them to another tenant.


def answer_once_allowed(arrived, may_answer, fail_first=False):
    """Return a script that sets `arrived` at each request and answers once `may_answer` is set."""

    async def script(server, connection):
        while True:
            fields, _ = await connection.request()
            first = not arrived.is_set()
            arrived.set()
            await may_answer.wait()
            if first and fail_first:
                connection.reset()
                return
            connection.write(answer(fields))

    return script


def test_every_attempt_of_a_retried_request_bears_the_same_tenant():
    """Between the attempts a version gives the key to another tenant."""
    arrived, changed = asyncio.Event(), asyncio.Event()

    async def scenario(harness):
        request = asyncio.create_task(send(harness, AUTHORIZATION))
        await arrived.wait()
        harness.configure("00000009", tenants=KEY_OF_OTHER)
        changed.set()
        assert (await request)[0] == 200
        assert tenant_headers(harness) == [MUSEUM, MUSEUM]

    script = answer_once_allowed(arrived, changed, fail_first=True)
    run_with_tenants(scenario, script, script)


def test_key_taken_away_is_refused_on_an_open_connection_and_the_forwarded_request_ends():
    arrived, may_answer = asyncio.Event(), asyncio.Event()

    async def scenario(harness):
        client = await harness.client()
        client.send("/once/x", b"", "before", 2000, "POST", AUTHORIZATION)
        await arrived.wait()
        harness.configure("00000009", tenants=WITHOUT_KEY)
        may_answer.set()
        assert (await client.answer())[0] == 200
        client.send("/once/x", b"", "after", 2000, "POST", AUTHORIZATION)
        assert (await client.answer())[0] == 401
        assert len(harness.servers[0].request_lines()) == 1

    run_with_tenants(scenario, answer_once_allowed(arrived, may_answer))


def test_key_taken_away_is_refused_for_requests_pipelined_before():
    arrived, may_answer = asyncio.Event(), asyncio.Event()

    async def scenario(harness):
        client = await harness.client()
        client.writer.write(
            request_head("/once/x", 0, "one", 2000, "POST", AUTHORIZATION)
            + request_head("/once/x", 0, "two", 2000, "POST", AUTHORIZATION)
        )
        await arrived.wait()
        harness.configure("00000009", tenants=WITHOUT_KEY)
        may_answer.set()
        assert [(await client.answer())[0] for _ in range(2)] == [200, 401]
        assert len(harness.servers[0].request_lines()) == 1

    run_with_tenants(scenario, answer_once_allowed(arrived, may_answer))


def test_key_taken_away_amid_an_upload_is_refused_and_the_body_reaches_no_server():
    async def scenario(harness):
        client = await harness.client()
        client.writer.write(request_head("/up/x", 6, "up", 2000, "POST", AUTHORIZATION) + b"abc")
        while not harness.program.context.buffered_body_bytes:
            await asyncio.sleep(0)
        harness.configure("00000009", tenants=WITHOUT_KEY)
        client.writer.write(b"def")
        assert (await client.answer())[0] == 401 and received(harness) == b""
        assert harness.program.context.buffered_body_bytes == 0

    run_with_tenants(scenario)


@pytest.mark.parametrize("closed", [True, False])
def test_settings_say_whether_an_edge_out_of_touch_accepts_keys(closed):
    async def scenario(harness):
        settings = harness.program.settings._replace(bounds=Bounds(revocation_closed=closed, revoke_s=5))
        program = EdgeProgram(settings)
        program.view.configuration = harness.program.view.configuration  # no member has confirmed it
        key = [f"Bearer {KEY}".encode()]
        expected = pytest.raises(ConfigurationUnconfirmedError) if closed else nullcontext()
        with expected:
            program.forwarder.admit(0, "shop.example", "/safe/x", None, 1, authorizations=key)

    run_with_tenants(scenario)


# Logs.


def test_no_log_line_of_an_edge_contains_a_key(capfd):
    """Everything that the program writes: traced requests, refusals, a defect, malformed requests, counters, its end."""
    keys = [key for tenant in TENANTS for key in tenant["api_keys"]]

    async def scenario(harness):
        context = harness.program.context
        context.trace_one_in = 1
        for headers in (
            [AUTHORIZATION],
            [AUTHORIZATION] * 2,
            [AUTHORIZATION, "bad header: 1"],
            [f"Authorization: {KEY}"],
        ):
            await send(harness, *headers)
        harness.configure("00000009", tenants=WITHOUT_KEY)
        await send(harness, AUTHORIZATION)
        context.forwarder.next_step = None  # a defect: the call raises an exception
        assert (await send(harness, f"Authorization: Bearer {OTHER_KEY}"))[0] == 503
        harness.program.log_counters()

    previous = logging.getLogger().handlers[:], logging.getLogger().level
    try:
        configure_json_logging("edge-1", "DEBUG")
        run_with_tenants(scenario)
    finally:
        logging.getLogger().handlers[:], level = previous
        logging.getLogger().setLevel(level)
    written = "".join(capfd.readouterr())
    lines = [json.loads(line) for line in written.splitlines() if line.startswith("{")]
    assert [line["tenant"] for line in lines if line["message"] == "Edge: request"] == ["museum"]
    assert any("defect" in line["message"] for line in lines) and any("counters" in line for line in lines)
    assert not any(key in written for key in keys)


# A random mixture of all the above.

FRAGMENTS = [
    f"Authorization: Bearer {KEY}",
    f"Authorization: Bearer {KEY}",
    f"authorization:bearer   {OTHER_KEY}",
    "AUTHORIZATION: Bearer nobodys-key",
    "Authorization: Basic eA==",
    "X-Tenant-Name: library",
    "x-tenant-name: museum",
    "X_TENANT-NAME: library",
    "X-Tenant-Name:",
    "X-Other: X-Tenant-Name: library",
    "Connection: keep-alive, X-Tenant-Name",
    "Connection: Authorization,x-attempt-id",
    "Connection: Upgrade, X_Tenant_Name",
    "Upgrade: h2c",
    f"Proxy-Authorization: Bearer {KEY}",
    "Content-Length: 0",
    "Transfer-Encoding: chunked",
]


def test_whatever_headers_a_client_sends_a_run_bears_the_one_name_of_its_one_key_and_no_key():
    """300 mixtures in a random order, each on a new connection; a chunked body has trailers of the same kind."""
    random = Random(7)

    async def scenario(harness):
        runs = 0
        for number in range(300):
            headers = random.choices(FRAGMENTS, k=random.randrange(1, 5))
            trailers = "".join(f"{line}\r\n" for line in random.choices(FRAGMENTS[:10], k=2))
            client = await harness.client()
            data = request_head("/safe/x", None, f"id-{number}", 2000, "POST", *headers)
            client.writer.write(data + (f"0\r\n{trailers}\r\n".encode() if b"chunked" in data else b""))
            before = len(received(harness))
            status = (await client.answer())[0]
            new = received(harness)[before:].lower()
            keys = [line for line in headers if line.lower().startswith("authorization:")]
            name = {FRAGMENTS[0]: b"museum", FRAGMENTS[2]: b"library"}.get(keys[0] if len(keys) == 1 else "")
            assert status in (200, 400, 401) and (status == 200) == (new != b""), headers
            if new:
                runs += 1
                names = [line for line in new.replace(b"_", b"-").split(b"\r\n") if line.startswith(b"x-tenant-name:")]
                assert name is not None and names == [b"x-tenant-name: " + name], headers
                assert not any(key.lower().encode() in new for key in (KEY, OTHER_KEY)) and b"authorization:" not in new
        return runs

    assert 60 < run_with_tenants(scenario) < 200
