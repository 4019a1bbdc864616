"""One request's life: where it goes, what is tried again, what is answered."""

from random import Random

import pytest
from configuration.test_plan import configuration, encoded, route

from kestrelplank.forwarding.kinds import ANSWERS, Fault
from kestrelplank.forwarding.passage import ANSWERED, BROKEN, BUSY, NOT_RUN, SILENT, UNSENT, Budget, Forwarder
from kestrelplank.transport.outlook import EdgeView

MS, S = 1_000_000, 1_000_000_000
NOW = 100 * S


def junction(servers=3, keys=True, state="ready", **changes):
    outlook = EdgeView("edge-1", ("10.0.0.1:80",))
    outlook.frame(NOW, "m", {"t": "word", "key": (7, ""), "text": encoded(**changes)})
    entries = [
        (f"{service}-{number}", service, f"10.1.0.{number}:80", "z", 2, state, 0)
        for service in ("views", "orders")
        for number in range(servers)
    ]
    outlook.frame(NOW, "m", {"t": "roster", "age": 0, "list": entries})
    if keys:
        outlook.frame(
            NOW, "m", lines(1, [[0, 32767, "views-0", "10.1.0.0:80"], [32768, 65535, "views-1", "10.1.0.1:80"]])
        )
    found = Forwarder(Random(1), outlook, "z", 0.2, 64)
    found.stands.listed(NOW, NOW, outlook.roster.entries.values())
    return found


def lines(seq, parts):
    return {"t": "lines", "service": "views", "at": [[1, "m"], seq], "lines": parts}


def begin(found, path="/a/x", key="5", within=2 * S, host="shop.example"):
    return found.begin(NOW, host, path, key, within)


def test_a_request_with_a_key_goes_to_its_holder_for_as_long_as_client_and_route_wait():
    passage, step = begin(junction())
    assert step[0] == "send" and step[1].server == "views-0" and step[2] == 1500 * MS
    assert begin(junction(), key="40000")[1][1].server == "views-1"
    assert begin(junction(), within=400 * MS)[1][2] == 400 * MS


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
    assert begin(junction(), **given)[1][:2] == ("refuse", fault)


def test_without_a_configuration_nothing_is_taken():
    found = Forwarder(Random(1), EdgeView("edge-1", ()), "z", 0.2, 64)
    assert begin(found)[1][1] == Fault.NOT_READY


@pytest.mark.parametrize("outcome", [BROKEN, SILENT])
@pytest.mark.parametrize("path, host", [("/a/x", "pay.example"), ("/a/b/x", "shop.example")])
def test_what_may_have_run_is_never_sent_again_nor_promised(outcome, path, host):
    found = junction()
    passage, step = begin(found, path, None, host=host)
    step = found.ended(NOW + MS, passage, outcome, 0, None)
    assert step[0] == "refuse" and not ANSWERS[step[1]].promises and step[2] == 0


@pytest.mark.parametrize("outcome", [NOT_RUN, UNSENT])
def test_what_surely_has_not_run_goes_to_another_server(outcome):
    found = junction()
    passage, step = begin(found, host="pay.example", key=None)
    first = step[1].server
    step = found.ended(NOW + MS, passage, outcome, 503 if outcome == NOT_RUN else 0, None)
    assert step[0] == "send" and (outcome == UNSENT or step[1].server != first)
    assert passage.route.attempts == 2
    if outcome == NOT_RUN:  # the operator allows two
        step = found.ended(NOW + 2 * MS, passage, NOT_RUN, 503, None)
        assert step[:2] == ("refuse", Fault.FULL) and step[2] > 0


def test_a_repeatable_request_is_tried_again_once_after_a_failure():
    found = junction()
    passage, step = begin(found)
    step = found.ended(NOW + MS, passage, BROKEN, 0, None)
    assert step[0] == "send"
    assert found.ended(NOW + 2 * MS, passage, BROKEN, 0, None)[:2] == ("refuse", Fault.UNKNOWN_OUTCOME)
    passage, step = begin(found)
    assert found.ended(NOW + MS, passage, ANSWERED, 500, None)[0] == "send"
    assert found.ended(NOW + 2 * MS, passage, ANSWERED, 500, None) == ("give",)
    passage, step = begin(found, host="pay.example", key=None)
    assert found.ended(NOW + MS, passage, ANSWERED, 500, None) == ("give",)


def test_a_key_that_moves_is_waited_for_and_then_followed():
    found = junction()
    passage, step = begin(found)
    step = found.ended(NOW + MS, passage, NOT_RUN, 421, None)
    assert step == ("wait", NOW + 300 * MS)
    assert found.again(NOW + 2 * MS, passage)[0] == "wait"
    found.outlook.frame(NOW, "m", lines(2, [[0, 65535, "views-2", "10.1.0.2:80"]]))
    assert found.again(NOW + 3 * MS, passage)[1].server == "views-2"


def test_a_key_that_nobody_holds_is_refused_while_the_client_can_still_come_back():
    found = junction(keys=False)
    passage, step = begin(found)
    assert step[0] == "wait"
    step = found.again(step[1], passage)
    assert step[:2] == ("refuse", Fault.NO_HOLDER) and 0 < step[2] < 600 * MS


def test_a_full_holder_is_waited_for_here_where_it_can_still_be_refused():
    found = junction()
    for _ in range(9):
        begin(found)
    passage, step = begin(found)
    assert step[0] == "wait"
    step = found.again(NOW + 590 * MS, passage)
    assert step[:2] == ("refuse", Fault.FULL) and step[2] > 0


def test_draining_servers_get_nothing_new():
    assert begin(junction(state="draining"), host="pay.example", key=None)[1][:2] == ("refuse", Fault.NO_SERVER)


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
    found = junction()
    passage, step = begin(found)
    changed = [{"host_name": "shop.example", "host_routes": [route("/a/", "non_idempotent", "orders")]}]
    found.outlook.frame(
        NOW, "m", {"t": "word", "key": (9, ""), "text": encoded(version="00000009", virtual_hosts=changed)}
    )
    assert found.ended(NOW + MS, passage, BROKEN, 0, None)[1].service == "views"
    assert begin(found, key=None)[1][1].service == "orders"
    assert configuration()["config_version"] == "00000007"


def test_connections_to_a_server_are_shared_by_all_edges():
    found = junction(
        **{"service_table": [{"name": "views", "max_connections": 110, "sharded": True}, {"name": "orders"}]}
    )
    for edges, most in ((1, 88), (12, 7), (52, 2)):  # two at least: one in use and one that comes up
        found.outlook.edges = edges
        assert found.connections("views") == most


def test_where_all_connections_are_in_use_a_request_waits_here_and_nothing_counts_against_the_server():
    found = junction()
    passage, step = begin(found)
    stand = step[1]
    step = found.ended(NOW, passage, BUSY, 0, None)
    assert step[0] == "wait" and (stand.own, stand.tries, stand.failed, passage.dials) == (0, 0, 0, 0)
    assert found.again(step[1], passage)[0] == "send"
    step = found.ended(NOW + 599 * MS, passage, BUSY, 0, None)
    assert step[:2] == ("refuse", Fault.FULL) and step[2] > 0


def test_a_repeatable_request_that_any_server_may_run_is_not_waited_for_to_the_end_at_a_silent_one():
    found = junction(
        virtual_hosts=[
            {
                "host_name": "shop.example",
                "host_routes": [route("/c/", "idempotent", "orders"), route("/once/", "non_idempotent", "orders")],
            }
        ]
    )
    passage, step = begin(found, "/c/x", None)
    first = step[1].server
    assert step[2] == 600 * MS  # four times what is usual
    step = found.ended(NOW + 600 * MS, passage, SILENT, 0, None)
    assert step[0] == "send" and step[1].server != first and step[2] == 900 * MS  # the last try has all that is left
    assert begin(found, "/once/x", None)[1][2] == 1500 * MS
    assert begin(junction())[1][2] == 1500 * MS  # a key has one holder


def test_of_servers_alike_the_one_with_a_kept_connection_is_chosen_until_it_has_work_enough():
    found = junction(
        virtual_hosts=[{"host_name": "shop.example", "host_routes": [route("/c/", "non_idempotent", "orders")]}]
    )
    found.stands.by_name["orders-1"].kept = 3
    chosen = [begin(found, "/c/x", None)[1][1].server for _ in range(4)]
    assert chosen[:2] == ["orders-1"] * 2 and set(chosen[2:]) != {"orders-1"}


def test_a_server_that_has_not_told_its_load_lately_gets_little_from_each_edge():
    """Guards against all edges filling a server's queue at once, which it may never answer."""
    found = junction()
    assert [begin(found)[1][0] for _ in range(7)] == ["send"] * 6 + ["wait"]  # alone it may take what the server can
    found = junction()
    found.outlook.edges = 12
    passages = [begin(found) for _ in range(3)]
    assert [step[0] for _, step in passages] == ["send", "send", "wait"]
    found.ended(NOW, passages[0][0], ANSWERED, 200, (1, 0, 2))
    assert found.again(NOW, passages[2][0])[0] == "send" and [begin(found)[1][0] for _ in range(5)][-1] == "wait"


def test_where_no_server_has_room_a_request_waits_here_and_is_refused_while_it_can_come_back():
    found = junction(servers=2)
    found.outlook.edges = 12
    steps = [begin(found, key=None, host="pay.example")[1] for _ in range(4)]
    assert sorted(step[1].server for step in steps) == ["orders-0", "orders-0", "orders-1", "orders-1"]
    passage, step = begin(found, key=None, host="pay.example")
    assert step[0] == "wait"
    later = NOW + passage.route.aim
    step = found.again(later, passage)
    assert step[:2] == ("refuse", Fault.FULL) and step[2] > 0 and ANSWERS[Fault.FULL].promises and not passage.tried


def test_a_server_that_leaves_gets_nothing_long_before_its_time_is_over_though_it_still_holds_the_key():
    """Guards against a decider that is lost just then: lines stand, and the edge would send by them to the end."""
    found = junction()
    entries = [
        entry._replace(state="draining") if entry.server == "views-0" else entry
        for entry in found.outlook.roster.entries.values()
    ]
    found.stands.listed(NOW + S, NOW + S, entries)
    assert found.begin(NOW + S, "shop.example", "/a/x", "5", 2 * S)[1][0] == "send"  # its keys are on their way
    passage, step = found.begin(NOW + 2 * S, "shop.example", "/a/x", "5", 2 * S)
    assert step[0] == "wait" and found.again(step[1], passage)[1] == Fault.NO_HOLDER
    assert begin(junction(state="draining"))[1][0] == "wait"  # who first hears of it so can't tell for how long
