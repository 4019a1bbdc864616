"""Requests that no configuration allows are not run: keys that no tenant holds, and paths outside every prefix."""

from configuration.test_parsing import route
from edge.stage import answer_all_requests, run_scenario

TENANTS = [
    {"name": "museum", "api_keys": ["key-of-museum", "second-key-of-museum"], "priority": 0},
    {"name": "shop", "api_keys": ["key-of-shop"], "priority": 0},
]
PREFIXES = ("/safe/", "/once/", "/up/")  # of one route of each type
OK, BAD_REQUEST, UNAUTHORIZED, NOT_FOUND = 200, 400, 401, 404


def run_requests(requests, **changes):
    """Send requests to an edge with one server; return each answer's status and the request lines that ran.

    :param requests: for each, its target and its headers other than those that every request has.
    """

    async def scenario(harness):
        harness.configure(**changes)
        statuses = []
        for number, (target, *headers) in enumerate(requests):
            client = await harness.client()
            lines = [f"GET {target} HTTP/1.1", *headers, f"X-Attempt-Id: {number}", "X-Deadline-Remaining: 2000"]
            client.writer.write("\r\n".join([*lines, "", ""]).encode())
            status, _, _ = await client.answer()
            statuses.append(status)
        return statuses, harness.servers[0].request_lines()

    return run_scenario(scenario, answer_all_requests)


def with_key(key, target="/safe/x"):
    return target, "Host: shop.example", f"Authorization: Bearer {key}"


# Guards against ROUTE: the edge ran requests whose key no configuration had ever held.
def test_requests_with_an_unknown_key_are_answered_401_and_not_run():
    requests = [with_key("nobody", f"{prefix}x") for prefix in PREFIXES]
    assert run_requests(requests, tenants=TENANTS) == ([UNAUTHORIZED] * len(PREFIXES), [])


# Guards against ROUTE: the edge ran requests without a key on routes that require one.
def test_requests_without_a_key_are_answered_401_and_not_run():
    requests = [(f"{prefix}x", "Host: shop.example") for prefix in PREFIXES]
    assert run_requests(requests, tenants=TENANTS) == ([UNAUTHORIZED] * len(PREFIXES), [])


# Guards against ROUTE: a key that merely resembles a known one was taken for it.
def test_keys_that_differ_from_a_known_one_are_answered_401_and_not_run():
    keys = ["KEY-OF-MUSEUM", "key-of-museu", "key-of-museum2", "key-of-museum key-of-shop", "key-of-museum,"]
    assert run_requests(map(with_key, keys), tenants=TENANTS) == ([UNAUTHORIZED] * len(keys), [])


# Guards against a fix of ROUTE that refuses the keys of tenants.
def test_requests_with_each_key_of_a_tenant_are_run():
    keys = [key for tenant in TENANTS for key in tenant["api_keys"]]
    statuses, lines = run_requests(map(with_key, keys), tenants=TENANTS)
    assert statuses == [OK] * len(keys) and len(lines) == len(keys)


# Guards against ROUTE: the route was chosen by the decoded path, so that an encoded slash ended a prefix.
def test_an_encoded_slash_does_not_end_a_path_prefix():
    requests = [(path, "Host: shop.example") for path in ("/safe%2fx", "/safe%2F", "/safe%2fdeep/x")]
    assert run_requests(requests) == ([NOT_FOUND] * len(requests), [])


# Guards against ROUTE: an encoded slash selected a longer prefix than any that begins the path, and its service.
def test_an_encoded_slash_does_not_select_a_longer_prefix():
    routes = [route("/safe/", "idempotent", "views"), route("/safe/deep/", "idempotent", "orders")]
    hosts = [{"host_name": "shop.example", "host_routes": routes}]
    services = [{"name": "views"}, {"name": "orders"}]  # only `views` has a server
    answers = run_requests([("/safe/deep%2fx", "Host: shop.example")], virtual_hosts=hosts, service_table=services)
    assert answers == ([OK], [b"GET /safe/deep%2fx HTTP/1.1"])


# Guards against ROUTE: the part of `Host` before its first colon chose the route, although it was user information.
def test_a_host_header_with_user_information_does_not_choose_a_route():
    statuses, lines = run_requests([("/safe/x", "Host: shop.example:password@nobody.example")])
    assert statuses[0] in (BAD_REQUEST, NOT_FOUND) and lines == []


# Guards against ROUTE: a second or foreign host, or a dot segment or empty segment, was resolved to a route's prefix.
def test_ambiguous_hosts_and_unnormalized_paths_do_not_choose_a_route():
    host = "Host: shop.example"
    requests = [
        ("/safe/x", "Host: nobody.example", host),
        ("/safe/x", "Host: shop.example, nobody.example"),
        ("/safe/x", "Host: me@shop.example"),
        ("/safe/x",),
        ("/other/../safe/x", host),
        ("//safe/x", host),
        ("/safe", host),
        ("/SAFE/x", host),
        ("/other?/safe/x", host),
        ("/safe;a/x", host),
    ]
    statuses, lines = run_requests(requests)
    assert set(statuses) <= {BAD_REQUEST, NOT_FOUND} and lines == []
