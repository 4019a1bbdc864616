"""One request's life: where it goes, what is tried again, what is answered."""

from random import Random

import pytest
from configuration.test_plan import configuration, encoded, route

from kestrelplank.forwarding.budget import Budget
from kestrelplank.forwarding.errors import ANSWERS, Fault
from kestrelplank.forwarding.forwarder import Forwarder
from kestrelplank.forwarding.resend import Seen
from kestrelplank.forwarding.steps import Give, Refuse, Send, Wait
from kestrelplank.transport.edge_view import EdgeView
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    KeyRangesUpdate,
    KeyRangesVersion,
    RangeHolder,
    ServerListUpdate,
)

MS, S = 1_000_000, 1_000_000_000
NOW = 100 * S


def forwarder(servers=3, keys=True, state="ready", **changes):
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
            NOW, "m", lines(1, [[0, 32767, "views-0", "10.1.0.0:80"], [32768, 65535, "views-1", "10.1.0.1:80"]])
        )
    found = Forwarder(Random(1), view, "z", 0.2, 64)
    found.endpoints.listed(NOW, NOW, view.servers.entries.values())
    return found


def lines(seq, parts):
    return KeyRangesUpdate("views", KeyRangesVersion(1, seq), [RangeHolder(*part) for part in parts])


def begin(found, path="/a/x", key="5", within=2 * S, host="shop.example"):
    return found.begin(NOW, host, path, key, within)


def test_a_request_with_a_key_goes_to_its_holder_for_as_long_as_client_and_route_wait():
    request, step = begin(forwarder())
    assert isinstance(step, Send) and step.endpoint.server == "views-0" and step.within == 1500 * MS
    assert begin(forwarder(), key="40000")[1].endpoint.server == "views-1"
    assert begin(forwarder(), within=400 * MS)[1].within == 400 * MS


@pytest.mark.parametrize(
    "given, fault",
    [
        ({"path": "/b/x"}, Fault.NO_ROUTE),
        ({"host": "nobody"}, Fault.NO_ROUTE),
        ({"key": None}, Fault.BAD_REQUEST),
        ({"key": "65536"}, Fault.BAD_REQUEST),
        ({"key": "-1"}, Fault.BAD_REQUEST),
    ],
)
def test_what_can_go_nowhere_is_refused(given, fault):
    assert begin(forwarder(), **given) == (None, Refuse(fault))


def test_without_a_configuration_nothing_is_taken():
    found = Forwarder(Random(1), EdgeView("edge-1", ()), "z", 0.2, 64)
    assert begin(found)[1].fault == Fault.NOT_READY


@pytest.mark.parametrize("seen", [Seen.RESET, Seen.CLOSED, Seen.TORN, Seen.UNREADABLE, Seen.SILENT, Seen.ABANDONED])
@pytest.mark.parametrize("path, host", [("/a/x", "pay.example"), ("/a/b/x", "shop.example")])
def test_what_may_have_run_is_never_sent_again_nor_promised(seen, path, host):
    found = forwarder()
    request, step = begin(found, path, None, host=host)
    step = found.ended(NOW + MS, request, seen)
    assert isinstance(step, Refuse) and not ANSWERS[step.fault].promises and step.retry_after == 0


@pytest.mark.parametrize("seen", [Seen.NOT_RUN, Seen.UNSENT])
def test_what_surely_has_not_run_goes_to_another_server(seen):
    found = forwarder()
    request, step = begin(found, host="pay.example", key=None)
    first = step.endpoint.server
    step = found.ended(NOW + MS, request, seen)
    assert isinstance(step, Send) and (seen == Seen.UNSENT or step.endpoint.server != first)
    assert request.route.attempts == 2
    if seen == Seen.NOT_RUN:  # the operator allows two
        step = found.ended(NOW + 2 * MS, request, Seen.NOT_RUN)
        assert step.fault == Fault.FULL and step.retry_after > 0


def test_a_repeatable_request_is_tried_again_once_after_a_failure():
    found = forwarder()
    request, step = begin(found)
    assert isinstance(found.ended(NOW + MS, request, Seen.RESET), Send)
    assert found.ended(NOW + 2 * MS, request, Seen.RESET) == Refuse(Fault.UNKNOWN_OUTCOME)
    request, step = begin(found)
    assert isinstance(found.ended(NOW + MS, request, Seen.FAILED), Send)
    assert found.ended(NOW + 2 * MS, request, Seen.FAILED) == Give()
    request, step = begin(found, host="pay.example", key=None)
    assert found.ended(NOW + MS, request, Seen.FAILED) == Give()


def test_a_key_that_moves_is_waited_for_and_then_followed():
    found = forwarder()
    request, step = begin(found)
    step = found.ended(NOW + MS, request, Seen.NOT_RUN)
    assert step == Wait(NOW + 300 * MS)
    assert isinstance(found.again(NOW + 2 * MS, request), Wait)
    found.view.receive(NOW, "m", lines(2, [[0, 65535, "views-2", "10.1.0.2:80"]]))
    assert found.again(NOW + 3 * MS, request).endpoint.server == "views-2"


def test_a_key_that_nobody_holds_is_refused_while_the_client_can_still_come_back():
    found = forwarder(keys=False)
    request, step = begin(found)
    assert isinstance(step, Wait)
    step = found.again(step.until, request)
    assert step.fault == Fault.NO_HOLDER and 0 < step.retry_after < 600 * MS


def test_a_full_holder_is_waited_for_here_where_it_can_still_be_refused():
    found = forwarder()
    for _ in range(9):
        begin(found)
    request, step = begin(found)
    assert isinstance(step, Wait)
    step = found.again(NOW + 590 * MS, request)
    assert step.fault == Fault.FULL and step.retry_after > 0


def test_draining_servers_get_nothing_new():
    assert begin(forwarder(state="draining"), host="pay.example", key=None)[1].fault == Fault.NO_SERVER


def test_the_budget_keeps_all_members_together_within_the_operators_bound():
    edges, ratio, allowance = 12, 0.2, 64
    spent, asked = 0, 0
    for _ in range(edges):
        budget = Budget(ratio, allowance)
        budget.edges = edges
        for _ in range(100):
            budget.asked("orders")
            asked += 1
            while budget.spend("orders"):
                spent += 1
    assert 0.1 * asked < spent <= ratio * asked + allowance


def test_a_route_keeps_its_requests_through_a_change():
    found = forwarder()
    request, step = begin(found)
    changed = [{"host_name": "shop.example", "host_routes": [route("/a/", "non_idempotent", "orders")]}]
    found.view.receive(NOW, "m", ConfigurationUpdate(9, encoded(version="00000009", virtual_hosts=changed)))
    assert found.ended(NOW + MS, request, Seen.RESET).endpoint.service == "views"
    assert begin(found, key=None)[1].endpoint.service == "orders"
    assert configuration()["config_version"] == "00000007"


def test_connections_to_a_server_are_shared_by_all_edges():
    found = forwarder(
        **{"service_table": [{"name": "views", "max_connections": 110, "sharded": True}, {"name": "orders"}]}
    )
    request, _ = begin(found)
    for edges, most in ((1, 88), (12, 7), (52, 2), (55, 2), (56, 1), (200, 1)):  # two, if they fit: one comes up
        found.view.edge_count = edges
        assert found.connections(request) == most


def test_where_all_connections_are_in_use_a_request_waits_here_and_nothing_counts_against_the_server():
    found = forwarder()
    request, step = begin(found)
    endpoint = step.endpoint
    step = found.ended(NOW, request, Seen.NO_ROOM)
    assert isinstance(step, Wait) and (endpoint.own, endpoint.tries, endpoint.failed, request.dials) == (0, 0, 0, 0)
    assert isinstance(found.again(step.until, request), Send)
    step = found.ended(NOW + 599 * MS, request, Seen.NO_ROOM)
    assert step.fault == Fault.FULL and step.retry_after > 0


def test_a_repeatable_request_that_any_server_may_run_is_not_waited_for_to_the_end_at_a_silent_one():
    found = forwarder(
        virtual_hosts=[
            {
                "host_name": "shop.example",
                "host_routes": [route("/c/", "idempotent", "orders"), route("/once/", "non_idempotent", "orders")],
            }
        ]
    )
    request, step = begin(found, "/c/x", None)
    first = step.endpoint.server
    assert step.within == 600 * MS  # four times what is usual
    step = found.ended(NOW + 600 * MS, request, Seen.SILENT)
    assert step.endpoint.server != first and step.within == 900 * MS  # the last try has all that is left
    assert begin(found, "/once/x", None)[1].within == 1500 * MS
    assert begin(forwarder())[1].within == 1500 * MS  # a key has one holder


def test_of_servers_alike_the_one_with_a_kept_connection_is_chosen_until_it_has_work_enough():
    found = forwarder(
        virtual_hosts=[{"host_name": "shop.example", "host_routes": [route("/c/", "non_idempotent", "orders")]}]
    )
    found.endpoints.by_name["orders-1"].kept = 3
    chosen = [begin(found, "/c/x", None)[1].endpoint.server for _ in range(4)]
    assert chosen[:2] == ["orders-1"] * 2 and set(chosen[2:]) != {"orders-1"}


def test_a_server_that_has_not_told_its_load_lately_gets_little_from_each_edge():
    """Guards against all edges filling a server's queue at once, which it may never answer."""
    found = forwarder()
    assert [type(begin(found)[1]) for _ in range(7)] == [Send] * 6 + [Wait]  # alone it may take what the server can
    found = forwarder()
    found.view.edge_count = 12
    requests = [begin(found) for _ in range(3)]
    assert [type(step) for _, step in requests] == [Send, Send, Wait]
    found.ended(NOW, requests[0][0], Seen.ANSWERED, (1, 0, 2))
    assert isinstance(found.again(NOW, requests[2][0]), Send)
    assert isinstance([begin(found)[1] for _ in range(5)][-1], Wait)


def test_where_no_server_has_room_a_request_waits_here_and_is_refused_while_it_can_come_back():
    found = forwarder(servers=2)
    found.view.edge_count = 12
    steps = [begin(found, key=None, host="pay.example")[1] for _ in range(4)]
    assert sorted(step.endpoint.server for step in steps) == ["orders-0", "orders-0", "orders-1", "orders-1"]
    request, step = begin(found, key=None, host="pay.example")
    assert isinstance(step, Wait)
    later = NOW + request.route.aim
    step = found.again(later, request)
    assert step.fault == Fault.FULL and step.retry_after > 0 and ANSWERS[Fault.FULL].promises and not request.tried


def test_a_server_that_leaves_gets_nothing_long_before_its_time_is_over_though_it_still_holds_the_key():
    """Guards against a decider that is lost just then: lines endpoint, and the edge would send by them to the end."""
    found = forwarder()
    entries = [
        entry._replace(state="draining") if entry.server == "views-0" else entry
        for entry in found.view.servers.entries.values()
    ]
    found.endpoints.listed(NOW + S, NOW + S, entries)
    assert (
        found.begin(NOW + S, "shop.example", "/a/x", "5", 2 * S)[1].endpoint.server == "views-0"
    )  # its keys are on their way
    request, step = found.begin(NOW + 2 * S, "shop.example", "/a/x", "5", 2 * S)
    assert isinstance(step, Wait) and found.again(step.until, request).fault == Fault.NO_HOLDER
    assert isinstance(begin(forwarder(state="draining"))[1], Wait)  # who first hears of it so can't tell for how long
