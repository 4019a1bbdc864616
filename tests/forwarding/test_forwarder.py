"""Forwarding of a request: the choice of server, waits, retries, time-outs and the answer."""

from random import Random
from weakref import WeakKeyDictionary

import pytest
from configuration.test_parsing import configuration, encoded, route

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.forwarding.errors import (
    BadRequestError,
    ConfigurationUnconfirmedError,
    NoKeyHolderError,
    NoServerError,
    NotReadyError,
    OutcomeUnknownError,
    RequestError,
    RouteNotFoundError,
    ServersFullError,
    UnauthorizedError,
)
from kestrelplank.forwarding.forwarder import Forwarder
from kestrelplank.forwarding.request import TRANSITIONS, ForwardedRequest, RequestState
from kestrelplank.forwarding.retry_budget import RetryBudget
from kestrelplank.forwarding.retry_policy import CallOutcome
from kestrelplank.forwarding.steps import ForwardAnswer, Refuse, Send, Wait
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.edge_view import EdgeView
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    KeyRangesUpdate,
    KeyRangesVersion,
    MemberHeartbeat,
    RangeHolder,
    ServerListUpdate,
)

MS, S = MILLISECOND, SECOND
NOW = 100 * S


def new_forwarder(servers=3, keys=True, state="ready", **changes):
    view = EdgeView("edge-1", ("10.0.0.1:80",))
    view.receive(NOW, "m", ConfigurationUpdate(7, encoded(**changes)))
    entries = [
        (f"{service}-{number}", service, f"10.1.0.{number}:80", "z", 2, state, 0)
        for service in ("views", "orders")
        for number in range(servers)
    ]
    view.receive(NOW, "m", ServerListUpdate(0, entries))
    if keys:
        view.receive(
            NOW, "m", key_ranges(1, [[0, 32767, "views-0", "10.1.0.0:80"], [32768, 65535, "views-1", "10.1.0.1:80"]])
        )
    forwarder = Forwarder(Random(1), view, "z", 0.2, 64)
    forwarder.endpoints.update(NOW, view.servers.entries.values())
    return forwarder


def key_ranges(record, holders):
    return KeyRangesUpdate("views", KeyRangesVersion(1, record), [RangeHolder(*holder) for holder in holders])


def begin(forwarder, path="/a/x", key="5", within=2 * S, host="shop.example", now=NOW, authorizations=()):
    """Admit a request; return it and its first step."""
    request = forwarder.admit(now, host, path, key, within, authorizations=authorizations)
    return request, forwarder.next_step(now, request)


def test_a_request_with_a_shard_key_is_sent_to_the_key_holder_with_the_shorter_time_out():
    request, step = begin(new_forwarder())
    assert isinstance(step, Send) and step.endpoint.server == "views-0" and step.timeout_ns == 1500 * MS
    assert begin(new_forwarder(), key="40000")[1].endpoint.server == "views-1"
    assert begin(new_forwarder(), within=400 * MS)[1].timeout_ns == 400 * MS


@pytest.mark.parametrize(
    "changes, error",
    [
        ({"path": "/b/x"}, RouteNotFoundError),
        ({"host": "nobody"}, RouteNotFoundError),
        ({"key": None}, BadRequestError),
        ({"key": "65536"}, BadRequestError),
        ({"key": "-1"}, BadRequestError),
    ],
)
def test_a_request_without_a_route_or_a_valid_shard_key_is_refused(changes, error):
    with pytest.raises(RequestError) as refusal:
        begin(new_forwarder(), **changes)
    assert type(refusal.value) is error and refusal.value.retry_after_ns == 0


def test_requests_are_refused_without_a_configuration():
    forwarder = Forwarder(Random(1), EdgeView("edge-1", ()), "z", 0.2, 64)
    with pytest.raises(NotReadyError):
        begin(forwarder)


@pytest.mark.parametrize(
    "outcome",
    [
        CallOutcome.RESET,
        CallOutcome.CLOSED,
        CallOutcome.TRUNCATED,
        CallOutcome.MALFORMED,
        CallOutcome.TIMEOUT,
        CallOutcome.ABANDONED,
        CallOutcome.UNPROVEN_REFUSAL,
    ],
)
@pytest.mark.parametrize("path, host", [("/a/x", "pay.example"), ("/a/b/x", "shop.example")])
def test_a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_refused_as_not_run(outcome, path, host):
    forwarder = new_forwarder()
    request, step = begin(forwarder, path, None, host=host)
    step = forwarder.attempt_ended(NOW + MS, request, outcome)
    assert isinstance(step, Refuse) and step.error.may_have_run and step.error.retry_after_ns == 0


@pytest.mark.parametrize("outcome", [CallOutcome.NOT_EXECUTED, CallOutcome.CONNECT_FAIL])
def test_a_request_that_has_not_run_is_sent_to_another_server(outcome):
    forwarder = new_forwarder()
    request, step = begin(forwarder, host="pay.example", key=None)
    first = step.endpoint.server
    step = forwarder.attempt_ended(NOW + MS, request, outcome)
    assert isinstance(step, Send) and (outcome == CallOutcome.CONNECT_FAIL or step.endpoint.server != first)
    assert request.route.max_attempts == 2
    if outcome == CallOutcome.NOT_EXECUTED:  # the route allows two attempts
        step = forwarder.attempt_ended(NOW + 2 * MS, request, CallOutcome.NOT_EXECUTED)
        assert isinstance(step.error, ServersFullError) and step.error.retry_after_ns > 0


def test_an_idempotent_request_is_retried_once_after_a_failure():
    forwarder = new_forwarder()
    request, step = begin(forwarder)
    assert isinstance(forwarder.attempt_ended(NOW + MS, request, CallOutcome.RESET), Send)
    step = forwarder.attempt_ended(NOW + 2 * MS, request, CallOutcome.RESET)
    assert type(step.error) is OutcomeUnknownError and step.error.retry_after_ns == 0
    request, step = begin(forwarder)
    assert isinstance(forwarder.attempt_ended(NOW + MS, request, CallOutcome.SERVER_ERROR), Send)
    assert forwarder.attempt_ended(NOW + 2 * MS, request, CallOutcome.SERVER_ERROR) == ForwardAnswer()
    request, step = begin(forwarder, host="pay.example", key=None)
    assert forwarder.attempt_ended(NOW + MS, request, CallOutcome.SERVER_ERROR) == ForwardAnswer()


# Guards against a server's answer that the client does not get: the retry's end was answered in its place.
@pytest.mark.parametrize("outcome", [CallOutcome.NOT_EXECUTED, CallOutcome.CONNECT_FAIL, CallOutcome.RESET, CallOutcome.TIMEOUT, CallOutcome.MALFORMED, CallOutcome.NO_CONNECTION_FREE, CallOutcome.UNPROVEN_REFUSAL])  # fmt: skip
def test_a_5xx_answer_is_forwarded_if_its_retry_brings_none(outcome):
    forwarder = new_forwarder()
    request, _ = begin(forwarder, key="5")
    step = forwarder.attempt_ended(NOW + MS, request, CallOutcome.SERVER_ERROR)
    now = NOW + MS
    while not isinstance(step, Refuse | ForwardAnswer):
        now += 100 * MS
        is_sent = isinstance(step, Send)
        step = forwarder.attempt_ended(now, request, outcome) if is_sent else forwarder.next_step(now, request)
    assert step == ForwardAnswer()


def test_a_request_for_a_moving_key_waits_for_the_new_holder():
    forwarder = new_forwarder()
    request, step = begin(forwarder)
    step = forwarder.attempt_ended(NOW + MS, request, CallOutcome.NOT_EXECUTED)
    assert step == Wait(NOW + 300 * MS)
    assert isinstance(forwarder.next_step(NOW + 2 * MS, request), Wait)
    forwarder.view.receive(NOW, "m", key_ranges(2, [[0, 65535, "views-2", "10.1.0.2:80"]]))
    assert forwarder.next_step(NOW + 3 * MS, request).endpoint.server == "views-2"


def test_a_request_for_a_key_without_a_holder_is_refused_in_time_for_a_retry():
    forwarder = new_forwarder(keys=False)
    request, step = begin(forwarder)
    assert isinstance(step, Wait)
    step = forwarder.next_step(step.until, request)
    assert isinstance(step.error, NoKeyHolderError) and 0 < step.error.retry_after_ns < 600 * MS


def test_a_request_waits_at_the_edge_while_its_key_holder_is_full():
    forwarder = new_forwarder()
    for _ in range(9):
        begin(forwarder)
    request, step = begin(forwarder)
    assert isinstance(step, Wait)
    step = forwarder.next_step(NOW + 590 * MS, request)
    assert isinstance(step.error, ServersFullError) and step.error.retry_after_ns > 0


def test_draining_servers_get_no_new_requests():
    _, step = begin(new_forwarder(state="draining"), host="pay.example", key=None)
    assert isinstance(step.error, NoServerError)


def test_retries_of_all_edges_together_stay_within_the_configured_limit():
    edge_count, ratio, allowance = 12, 0.2, 64
    retries, requests = 0, 0
    for _ in range(edge_count):
        budget = RetryBudget(ratio, allowance)
        budget.edge_count = edge_count
        for _ in range(100):
            budget.deposit("orders")
            requests += 1
            while budget.try_withdraw("orders"):
                retries += 1
    assert 0.1 * requests < retries <= ratio * requests + allowance


def test_a_request_keeps_its_route_when_the_configuration_changes():
    forwarder = new_forwarder()
    request, step = begin(forwarder)
    changed = [{"host_name": "shop.example", "host_routes": [route("/a/", "non_idempotent", "orders")]}]
    forwarder.view.receive(NOW, "m", ConfigurationUpdate(9, encoded(version="00000009", virtual_hosts=changed)))
    assert forwarder.attempt_ended(NOW + MS, request, CallOutcome.RESET).endpoint.service == "views"
    assert begin(forwarder, key=None)[1].endpoint.service == "orders"
    assert configuration()["config_version"] == "00000007"


TENANTS = [{"name": "museum", "api_keys": ["k"], "priority": 0}, {"name": "library", "api_keys": ["l"]}]


@pytest.mark.parametrize(
    "changes, error",
    [
        ({"path": "/nowhere", "authorizations": []}, RouteNotFoundError),
        ({"authorizations": [b"Bearer unknown"], "key": None}, UnauthorizedError),
        ({"authorizations": [b"Bearer k"], "key": None}, BadRequestError),
    ],
)
def test_the_route_is_judged_before_the_key_and_the_key_before_all_else(changes, error):
    forwarder = new_forwarder(tenants=TENANTS)
    with pytest.raises(RequestError) as refusal:
        begin(forwarder, **changes)
    assert type(refusal.value) is error and not forwarder.requested_keys
    with pytest.raises(NotReadyError):
        begin(Forwarder(Random(1), EdgeView("edge-1", ()), "z", 0.2, 64), authorizations=[b"Bearer unknown"])


def test_a_request_has_the_priority_of_its_tenant_or_else_of_its_route():
    forwarder = new_forwarder(tenants=TENANTS)
    priorities = {name: begin(forwarder, authorizations=[f"Bearer {name}".encode()])[0].priority for name in "kl"}
    assert priorities == {"k": 0, "l": 2} and begin(new_forwarder())[0].priority == 2


class ChangingView(EdgeView):
    """A view whose configuration is another version at each read."""

    versions = ()

    @property
    def configuration(self):
        return next(self.versions)

    @configuration.setter
    def configuration(self, value):
        pass


# Guards against a key of one version that opens a route of another.
def test_route_and_key_are_judged_by_the_same_version():
    """One version has the key, the next has the route: neither serves the request."""

    def version(tenants, prefix):
        hosts = [{"host_name": "shop.example", "host_routes": [route(prefix, "idempotent", "orders")]}]
        return parse_configuration(encoded(tenants=tenants, virtual_hosts=hosts)).unwrap()

    key_only, route_only = version(TENANTS, "/b/"), version([], "/a/")
    for versions, error in [((key_only, route_only), RouteNotFoundError), ((route_only, key_only), UnauthorizedError)]:
        view = ChangingView("edge-1", ())
        view.versions = iter(versions)
        with pytest.raises(error):
            Forwarder(Random(1), view, "z", 0.2, 64).admit(NOW, "shop.example", "/a/x", None, S, 0, [b"Bearer k"])


@pytest.mark.parametrize("max_unconfirmed_ns, accepted_late", [(None, True), (5 * S, False)])
def test_an_edge_out_of_touch_accepts_keys_only_as_long_as_the_settings_allow(max_unconfirmed_ns, accepted_late):
    """Requests that need no key are served on."""
    public = [{"host_name": "open.example", "host_routes": [route("/a/", "idempotent", public_access=True)]}]
    hosts = [*configuration()["virtual_hosts"], *public]
    former = new_forwarder(tenants=TENANTS, virtual_hosts=hosts)
    forwarder = Forwarder(Random(1), former.view, "z", 0.2, 64, max_unconfirmed_ns=max_unconfirmed_ns)

    def accepts(now, host="shop.example", authorizations=(b"Bearer k",)):
        try:
            begin(forwarder, now=now, host=host, authorizations=authorizations)
        except ConfigurationUnconfirmedError as error:
            assert error.retry_after_ns > 0 and not error.may_have_run
            return False
        return True

    assert accepts(NOW) == accepted_late  # not confirmed yet
    former.view.receive(NOW + S, "m", MemberHeartbeat(0, 1, "m", True, 7, ("m",), 1, NOW))
    assert accepts(NOW + 5 * S) and accepts(NOW + 5 * S + 1) == accepted_late
    assert accepts(NOW + 9 * S, "open.example", ()) and accepts(NOW + 9 * S, "open.example") == accepted_late
    former.view.receive(NOW + 9 * S, "m", MemberHeartbeat(0, 1, "m", True, 7, ("m",), 1, NOW + 9 * S))
    assert accepts(NOW + 9 * S)


def test_connections_to_a_server_are_divided_among_all_edges():
    forwarder = new_forwarder(
        **{"service_table": [{"name": "views", "max_connections": 110, "sharded": True}, {"name": "orders"}]}
    )
    request, _ = begin(forwarder)
    # Two where the server's limit allows: one in use and one being opened.
    for edges, expected in ((1, 88), (12, 7), (52, 2), (55, 2), (56, 1), (200, 1)):
        forwarder.view.edge_count = edges
        assert forwarder.max_connections(request) == expected


def test_a_request_without_a_free_connection_waits_and_is_not_counted_as_an_attempt():
    forwarder = new_forwarder()
    request, step = begin(forwarder)
    endpoint = step.endpoint
    step = forwarder.attempt_ended(NOW, request, CallOutcome.NO_CONNECTION_FREE)
    assert isinstance(step, Wait) and (
        endpoint.in_flight,
        endpoint.attempts,
        endpoint.failures,
        request.unsent_attempts,
    ) == (0, 0, 0, 0)
    assert isinstance(forwarder.next_step(step.until, request), Send)
    step = forwarder.attempt_ended(NOW + 599 * MS, request, CallOutcome.NO_CONNECTION_FREE)
    assert isinstance(step.error, ServersFullError) and step.error.retry_after_ns > 0


IDEMPOTENT = route("/c/", "idempotent", "orders")


def forwarder_with(*routes, servers=3, **changes):
    """Return a forwarder whose host shop.example has these routes."""
    return new_forwarder(servers, virtual_hosts=[{"host_name": "shop.example", "host_routes": [*routes]}], **changes)


def load_of(forwarder):
    """Return what attempts take: requests in flight by server, and retries left by service."""
    in_flight = {name: endpoint.in_flight for name, endpoint in forwarder.endpoints.by_name.items()}
    return in_flight, dict(forwarder.retry_budget._balance)


def test_an_unsharded_idempotent_request_is_retried_early_at_another_server():
    forwarder = forwarder_with(IDEMPOTENT, route("/once/", "non_idempotent", "orders"))
    request, step = begin(forwarder, "/c/x", None)
    first = step.endpoint
    assert step.timeout_ns == 1500 * MS  # the server has all the time left
    assert step.early_timeout_ns == 600 * MS  # four times the assumed latency
    step = forwarder.retry_early(NOW + 600 * MS, request)
    assert step.endpoint is not first and request.endpoint is step.endpoint
    assert (first.in_flight, step.endpoint.in_flight) == (0, 1)
    assert (step.timeout_ns, step.early_timeout_ns) == (900 * MS, None)  # the last attempt
    assert begin(forwarder, "/once/x", None)[1].early_timeout_ns is None
    assert begin(new_forwarder())[1].early_timeout_ns is None  # a sharded request has no other server


def spend_all_retries(forwarder, _request):
    while forwarder.retry_budget.try_withdraw("orders"):
        pass


def drain_other_servers(forwarder, request):
    entries = [
        entry if entry.server == request.endpoint.server else entry._replace(state="draining")
        for entry in forwarder.view.servers.entries.values()
    ]
    forwarder.endpoints.update(NOW, entries)


def fill_other_servers(forwarder, request):
    for endpoint in forwarder.endpoints.services["orders"]:
        if endpoint is not request.endpoint:
            endpoint.other_edges_load, endpoint.load_reported_at = 40.0, NOW + 600 * MS


def use_all_connections(forwarder, request):
    for endpoint in forwarder.endpoints.services["orders"]:
        endpoint.load_reported_at, endpoint.slots = NOW + 600 * MS, 1000
        endpoint.in_flight += forwarder.max_connections(request)


def lose_client(forwarder, request):
    forwarder.client_disconnected(request)


# Guards against 504 long before the deadline: an attempt ended early without a retry, which others had taken meanwhile.
@pytest.mark.parametrize(
    "change", [spend_all_retries, drain_other_servers, fill_other_servers, use_all_connections, lose_client]
)
def test_an_attempt_goes_on_after_its_early_time_out_unless_its_retry_can_start(change):
    forwarder = forwarder_with(IDEMPOTENT)
    request, step = begin(forwarder, "/c/x", None)
    change(forwarder, request)
    before = load_of(forwarder)
    assert forwarder.retry_early(NOW + step.early_timeout_ns, request) is None
    assert request.endpoint is step.endpoint and request.state is RequestState.IN_FLIGHT
    assert load_of(forwarder) == before
    assert isinstance(forwarder.attempt_ended(NOW + 900 * MS, request, CallOutcome.ANSWERED), ForwardAnswer)


def test_an_attempt_goes_on_if_its_retry_would_end_near_the_deadline():
    forwarder = forwarder_with(IDEMPOTENT)
    request, _ = begin(forwarder, "/c/x", None)
    assert forwarder.retry_early(NOW + 1440 * MS, request) is None
    assert forwarder.retry_early(NOW + 1439 * MS, request) is not None


# Guards against requests broken off at SIGTERM: 14 attempts counted on the same six retries (review/3).
def test_as_many_attempts_are_ended_early_as_there_are_retries():
    forwarder = forwarder_with(IDEMPOTENT, servers=10)
    requests = [begin(forwarder, "/c/x", None)[0] for _ in range(14)]
    retries = [forwarder.retry_early(NOW + 600 * MS, request) for request in requests]
    assert [retry is not None for retry in retries] == [True] * 6 + [False] * 8
    assert all(request.state is RequestState.IN_FLIGHT for request in requests)
    assert sum(endpoint.in_flight for endpoint in forwarder.endpoints.by_name.values()) == 14


def test_no_attempt_is_ended_early_while_the_edge_shuts_down():
    forwarder = forwarder_with(IDEMPOTENT)
    request, step = begin(forwarder, "/c/x", None)
    forwarder.shutting_down = True
    assert forwarder.retry_early(NOW + step.early_timeout_ns, request) is None
    assert request.endpoint is step.endpoint


# Guards against 502 while a server is at work, by the process that is started within the time of a SIGTERM.
def test_no_attempt_is_ended_early_just_after_the_start():
    forwarder = forwarder_with(IDEMPOTENT)
    forwarder.early_retries_from = NOW + 601 * MS
    request, step = begin(forwarder, "/c/x", None)
    assert step.early_timeout_ns == 600 * MS
    assert forwarder.retry_early(NOW + 600 * MS, request) is None
    assert request.endpoint is step.endpoint
    assert isinstance(forwarder.retry_early(NOW + 601 * MS, request), Send)


# Guards against requests refused behind a slow server: other servers are used though its attempts are not ended.
def test_a_server_with_overdue_attempts_is_ejected_while_the_edge_shuts_down():
    forwarder = forwarder_with(IDEMPOTENT)
    forwarder.shutting_down = True
    requests = [begin(forwarder, "/c/x", None)[0] for _ in range(6)]
    slow = requests[0].endpoint
    late = [request for request in requests if request.endpoint is slow]
    assert len(late) == 2
    for now in (600 * MS, 660 * MS):  # each attempt counts once
        assert forwarder.retry_early(NOW + now, late[0]) is None
        assert forwarder.endpoints.ejected(NOW + now) == []
    assert forwarder.retry_early(NOW + 700 * MS, late[1]) is None
    assert forwarder.endpoints.ejected(NOW + 700 * MS) == [slow.server]
    failures = slow.failures
    forwarder.attempt_ended(NOW + 1500 * MS, late[0], CallOutcome.TIMEOUT)
    assert (slow.failures, slow.in_flight) == (failures + 1, 1)


def test_a_server_that_leaves_attempts_unread_is_ejected_and_the_attempts_go_on():
    """Once for each attempt, and not for one that has ended."""
    forwarder = forwarder_with(IDEMPOTENT)
    requests = [begin(forwarder, "/c/x", None)[0] for _ in range(6)]
    slow = requests[0].endpoint
    late = [request for request in requests if request.endpoint is slow]
    for now in (S, 1100 * MS):
        forwarder.attempt_stalled(NOW + now, late[0])
        assert forwarder.endpoints.ejected(NOW + now) == []
    forwarder.attempt_stalled(NOW + 1200 * MS, late[1])
    assert forwarder.endpoints.ejected(NOW + 1200 * MS) == [slow.server]
    assert [request.state for request in late] == [RequestState.IN_FLIGHT] * 2
    assert isinstance(forwarder.attempt_ended(NOW + 1300 * MS, late[0], CallOutcome.ANSWERED), ForwardAnswer)
    forwarder.attempt_stalled(NOW + 1400 * MS, late[0])


# Guards against an answer of the edge's own in place of the one that the first server was working on.
@pytest.mark.parametrize("outcome", [CallOutcome.NO_CONNECTION_FREE, CallOutcome.CONNECT_FAIL])
def test_a_request_that_was_ended_early_is_sent_until_its_deadline(outcome):
    forwarder = forwarder_with(IDEMPOTENT, servers=2)
    request, step = begin(forwarder, "/c/x", None)
    first = step.endpoint
    second = forwarder.retry_early(NOW + 600 * MS, request).endpoint
    second.ready = False
    step = forwarder.attempt_ended(NOW + 650 * MS, request, outcome)
    if isinstance(step, Wait):
        step = forwarder.next_step(step.until, request)
    assert isinstance(step, Send) and step.endpoint is first  # no other server is left
    forwarder.attempt_ended(NOW + 700 * MS, request, CallOutcome.NO_CONNECTION_FREE)
    first.other_edges_load, first.load_reported_at = 40.0, NOW + 700 * MS
    step = forwarder.next_step(NOW + 700 * MS, request)
    assert isinstance(step, Wait)
    step = forwarder.next_step(NOW + 1440 * MS, request)
    assert isinstance(step, Refuse) and step.error.may_have_run


def test_among_equal_servers_the_one_with_idle_connections_is_chosen_until_it_is_loaded():
    forwarder = new_forwarder(
        virtual_hosts=[{"host_name": "shop.example", "host_routes": [route("/c/", "non_idempotent", "orders")]}]
    )
    forwarder.endpoints.by_name["orders-1"].idle_connections = 3
    chosen = [begin(forwarder, "/c/x", None)[1].endpoint.server for _ in range(4)]
    assert chosen[:2] == ["orders-1"] * 2 and set(chosen[2:]) != {"orders-1"}


def test_a_server_without_a_recent_load_report_gets_few_requests_from_each_edge():
    """Guards against all edges filling a server's queue at the same time."""
    forwarder = new_forwarder()
    # A single edge may use the full capacity.
    assert [type(begin(forwarder)[1]) for _ in range(7)] == [Send] * 6 + [Wait]
    forwarder = new_forwarder()
    forwarder.view.edge_count = 12
    requests = [begin(forwarder) for _ in range(3)]
    assert [type(step) for _, step in requests] == [Send, Send, Wait]
    forwarder.attempt_ended(NOW, requests[0][0], CallOutcome.ANSWERED, (1, 0, 2))
    assert isinstance(forwarder.next_step(NOW, requests[2][0]), Send)
    assert isinstance([begin(forwarder)[1] for _ in range(5)][-1], Wait)


def test_a_request_waits_for_server_capacity_and_is_refused_in_time_for_a_retry():
    forwarder = new_forwarder(servers=2)
    forwarder.view.edge_count = 12
    steps = [begin(forwarder, key=None, host="pay.example")[1] for _ in range(4)]
    assert sorted(step.endpoint.server for step in steps) == ["orders-0", "orders-0", "orders-1", "orders-1"]
    request, step = begin(forwarder, key=None, host="pay.example")
    assert isinstance(step, Wait)
    now = NOW + request.route.latency_target_ns
    step = forwarder.next_step(now, request)
    assert (
        isinstance(step.error, ServersFullError)
        and step.error.retry_after_ns > 0
        and not step.error.may_have_run
        and not request.attempted_servers
    )


def test_a_draining_key_holder_gets_no_requests_late_in_its_drain_time():
    """Guards against requests to a stopping server when the assigner is lost and key ranges are not updated."""
    forwarder = new_forwarder()
    entries = [
        entry._replace(state="draining") if entry.server == "views-0" else entry
        for entry in forwarder.view.servers.entries.values()
    ]
    forwarder.endpoints.update(NOW + S, entries)
    assert begin(forwarder, now=NOW + S)[1].endpoint.server == "views-0"  # its keys are being moved
    request, step = begin(forwarder, now=NOW + 2 * S)
    assert isinstance(step, Wait) and isinstance(forwarder.next_step(step.until, request).error, NoKeyHolderError)
    # A server that was already draining when first listed gets none at all: when its drain began is unknown.
    assert isinstance(begin(new_forwarder(state="draining"))[1], Wait)


def test_request_states_follow_the_transition_table(monkeypatch):
    """Random requests through all outcomes take all transitions of the table, and no others."""
    transitions = set()

    def set_state(request, state):
        previous = states.get(request)
        if previous is not None:
            transitions.add((previous, state))
        states[request] = state

    states = WeakKeyDictionary()
    tracked = type("TrackedRequest", (ForwardedRequest,), {"state": property(states.get, set_state)})
    monkeypatch.setattr("kestrelplank.forwarding.forwarder.ForwardedRequest", tracked)
    random = Random(3)
    for _ in range(10_000):
        forwarder, now = new_forwarder(keys=random.random() < 0.9), NOW
        forwarder.view.edge_count = random.choice([1, 12])
        for _ in range(random.randrange(6)):
            begin(forwarder)
        request, step = begin(forwarder, random.choice(["/a/x", "/a/b/x"]), "5", within=random.choice([20 * MS, 2 * S]))
        while isinstance(step, Send | Wait):
            now += random.choice([MS, 200 * MS, 400 * MS])
            if isinstance(step, Wait):
                step = forwarder.next_step(now, request)
            elif random.random() < 0.2 and (retry := forwarder.retry_early(now, request)) is not None:
                step = retry
            else:
                step = forwarder.attempt_ended(now, request, random.choice(list(CallOutcome)))
        assert request.state is (RequestState.ANSWERED if isinstance(step, ForwardAnswer) else RequestState.REFUSED)
        assert request.endpoint is None
    assert transitions == {(previous, state) for previous, successors in TRANSITIONS.items() for state in successors}


@pytest.mark.parametrize(
    "outcome", [CallOutcome.NOT_EXECUTED, CallOutcome.CONNECT_FAIL, CallOutcome.RESET, CallOutcome.SERVER_ERROR]
)
def test_no_attempt_is_started_after_the_client_has_disconnected(outcome):
    """Guards against a retry that is not carried out, which leaves its server's count of requests in flight too high."""
    forwarder = new_forwarder()
    request, _ = begin(forwarder, "/a/b/x", None)
    balance = dict(forwarder.retry_budget._balance)
    forwarder.client_disconnected(request)
    step = forwarder.attempt_ended(NOW + MS, request, outcome)
    assert isinstance(step, Refuse | ForwardAnswer)
    assert [endpoint.in_flight for endpoint in forwarder.endpoints.by_name.values()] == [0] * 6
    assert forwarder.retry_budget._balance == balance


def test_abandoned_attempts_do_not_count_as_failures_of_the_server():
    """Guards against ejecting a healthy server because clients disconnect early; other failures still count."""
    forwarder = new_forwarder()
    endpoint = forwarder.endpoints.by_name["views-0"]
    latency_s = endpoint.latency_s
    for _ in range(5):
        request, step = begin(forwarder)
        assert step.endpoint is endpoint
        forwarder.attempt_ended(NOW + MS, request, CallOutcome.ABANDONED)
    assert forwarder.endpoints.ejected(NOW + MS) == []
    assert (endpoint.in_flight, endpoint.attempts, endpoint.failures) == (0, 5, 0)
    assert endpoint.latency_s == latency_s
    for _ in range(2):
        request, _ = begin(forwarder)
        forwarder.client_disconnected(request)
        forwarder.attempt_ended(NOW + MS, request, CallOutcome.RESET)
    assert forwarder.endpoints.ejected(NOW + MS) == ["views-0"]


@pytest.mark.parametrize("timeout_ms, ejected", [(100, []), (900, ["views-0"])])
def test_a_time_out_shorter_than_the_expected_latency_is_no_failure_of_the_server(timeout_ms, ejected):
    forwarder = new_forwarder()
    for _ in range(2):
        request, step = begin(forwarder, within=timeout_ms * MS)
        assert isinstance(step, Send)
        forwarder.client_disconnected(request)
        forwarder.attempt_ended(NOW + timeout_ms * MS, request, CallOutcome.TIMEOUT)
    assert forwarder.endpoints.ejected(NOW + timeout_ms * MS) == ejected
