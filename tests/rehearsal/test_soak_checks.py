"""Guards the checks of a soak: each finds a breach that is planted, and none in records without one."""

import msgspec
import pytest
from rehearsal.soak_scene import EDGE, FIRST, MEMBERS, ROUTES, acknowledge, attempt, calm_records, disturb, run, served

from kestrelplank.rehearsal.soak_configuration_checks import (
    check_answers_to_operators,
    check_denied,
    check_no_version_goes_back,
    check_reads,
    check_versions_handled,
)
from kestrelplank.rehearsal.soak_configurations import Defect, PlannedRoute
from kestrelplank.rehearsal.soak_records import (
    ConfigurationCall,
    ConfigurationRead,
    Ending,
    KeyConflict,
    ProcessEnd,
    StrayBytes,
    UsageCall,
)
from kestrelplank.rehearsal.soak_request_checks import (
    check_mixed,
    check_refused,
    check_route,
    check_twice,
    check_unasked,
)
from kestrelplank.rehearsal.soak_secrecy_check import check_logs
from kestrelplank.rehearsal.soak_service_checks import check_lost, check_owner, check_process_ends, check_recover
from kestrelplank.rehearsal.soak_trouble import Trouble
from kestrelplank.rehearsal.soak_usage_checks import check_no_return, check_one_holder, check_one_text, usage_figures

MOVED = msgspec.structs.replace(FIRST, version=2, routes=(PlannedRoute("/orders/", "non_idempotent", {"uploads": 1}),))
KEY_TAKEN = msgspec.structs.replace(FIRST, version=2, tenants=FIRST.tenants[1:])


def seen(findings):
    return [violation.seen for violation in findings.violations]


# MIXED, UNASKED, TWICE, REFUSED, ROUTE


@pytest.mark.parametrize(
    "fields",
    [{"seal": None}, {"answered_id": "other"}, {"answer_body": b"other"}, {"ending": Ending.MALFORMED}],
)
def test_mixed_finds_an_answer_that_is_not_the_servers(fields):
    records = calm_records()
    served(records, at=10)
    assert seen(check_mixed(records)) == []
    served(records, at=11, **fields)
    assert len(seen(check_mixed(records))) == 1


def test_mixed_finds_a_success_where_the_server_failed_and_bytes_without_a_request():
    records = calm_records()
    run(records, attempt(records, at=10), status=500)
    records.stray_bytes.append(StrayBytes(11, EDGE, b"HTTP/1.1 200 OK"))
    assert len(seen(check_mixed(records))) == 2


@pytest.mark.parametrize(
    "fields",
    [
        {"path": "/orders/2"},
        {"body_digest": "x"},
        {"key_passed_on": True},
        {"tenants": ("bo",)},
        {"tenants": ()},
        {"tenants": ("ana", "ana")},
    ],
)
def test_unasked_finds_a_run_that_differs_from_the_request(fields):
    records = calm_records()
    served(records, at=10)
    assert seen(check_unasked(records)) == []
    run(records, attempt(records, at=11), **fields)
    assert len(seen(check_unasked(records))) == 1


def test_unasked_finds_a_run_that_no_client_sent():
    records = calm_records()
    record = served(records, at=10)
    del records.attempts[record.attempt_id]
    assert len(seen(check_unasked(records))) == 1


def test_twice_finds_a_second_run():
    records = calm_records()
    record = served(records, at=10)
    run(records, record, executed=False)
    assert seen(check_twice(records)) == []
    run(records, record, server="orders-1")
    assert len(seen(check_twice(records))) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refused_finds_a_refused_request_that_ran(status):
    records = calm_records()
    run(records, attempt(records, at=10, status=status), executed=False)
    assert seen(check_refused(records)) == []
    run(records, attempt(records, at=11, status=status))
    assert len(seen(check_refused(records))) == 1


def test_route_finds_a_service_and_a_key_that_no_version_allows():
    records = calm_records()
    served(records, at=10)
    assert seen(check_route(records)) == []
    run(records, attempt(records, at=11), service="uploads")
    run(records, attempt(records, at=12, key="never"))
    run(records, attempt(records, at=13, key=None))
    assert len(seen(check_route(records))) == 3


# CONFIG, DENIED


@pytest.mark.parametrize("newer", [MOVED, KEY_TAKEN], ids=["route moved", "key taken away"])
def test_config_finds_a_request_handled_by_an_older_version_after_the_bound(newer):
    records = calm_records()
    acknowledge(records, newer, at=20)
    served(records, at=20.1 + 2.4)
    assert seen(check_versions_handled(records, Trouble(records))) == []
    served(records, at=20.1 + 2.6)
    assert len(seen(check_versions_handled(records, Trouble(records)))) == 1


@pytest.mark.parametrize("status", [401, 404])
def test_config_finds_a_refusal_that_only_an_older_version_permits(status):
    records = calm_records()
    path, key = ("/new/1", "key-a") if status == 404 else ("/orders/1", "key-new")
    tenants = (msgspec.structs.replace(FIRST.tenants[0], api_keys=("key-a", "key-new")),)
    routes = (*ROUTES, PlannedRoute("/new/", "idempotent", {"orders": 1}))
    acknowledge(records, msgspec.structs.replace(FIRST, version=2, routes=routes, tenants=tenants), at=20)
    attempt(records, at=21, path=path, key=key, status=status)
    assert seen(check_versions_handled(records, Trouble(records))) == []
    attempt(records, at=23, path=path, key=key, status=status)
    assert len(seen(check_versions_handled(records, Trouble(records)))) == 1


def test_config_has_no_bound_beside_trouble_and_a_longer_one_beside_trouble_of_a_minority():
    records = calm_records()
    acknowledge(records, MOVED, at=20)
    served(records, at=30)
    served(records, at=40)
    disturb(records, MEMBERS[0], "SIGKILL", 24, 26)
    assert len(seen(check_versions_handled(records, Trouble(records)))) == 1
    disturb(records, EDGE, "SIGSTOP", 36, 37)
    assert seen(check_versions_handled(records, Trouble(records))) == []


def test_config_finds_an_edge_that_goes_back_within_its_life():
    records = calm_records()
    acknowledge(records, MOVED, at=20)
    run(records, attempt(records, at=21), service="uploads")
    served(records, at=21.2)
    assert seen(check_no_version_goes_back(records)) == []
    served(records, at=22)
    assert len(seen(check_no_version_goes_back(records))) == 1
    disturb(records, EDGE, "SIGKILL", 21.5, 21.9)
    assert seen(check_no_version_goes_back(records)) == []


def test_config_finds_an_invalid_version_acknowledged_and_a_valid_one_refused_or_unanswered():
    records = calm_records()
    assert seen(check_answers_to_operators(records, Trouble(records))) == []
    acknowledge(records, msgspec.structs.replace(FIRST, version=2, defect=Defect.SHARED_KEY), at=20)
    records.configurations.append(ConfigurationCall(MOVED, MEMBERS[0], 30, 30.1, 400))
    assert len(seen(check_answers_to_operators(records, Trouble(records)))) == 3


def test_config_finds_a_read_of_an_older_version_or_of_another_text():
    records = calm_records()
    acknowledge(records, MOVED, at=20)
    records.final_reads.append(ConfigurationRead(MEMBERS[0], 60, MOVED.text()))
    records.reads.append(ConfigurationRead(MEMBERS[0], 22, FIRST.text()))
    assert seen(check_reads(records)) == []
    records.reads.append(ConfigurationRead(MEMBERS[0], 23, FIRST.text()))
    records.reads.append(ConfigurationRead(MEMBERS[0], 24, MOVED.text() + b" "))
    assert len(seen(check_reads(records))) == 2
    records.final_reads.clear()
    assert len(seen(check_reads(records))) == 3


def test_denied_finds_more_refusals_than_are_allowed():
    records = calm_records()
    for number in range(5):
        attempt(records, at=10 + number, status=404)
    attempt(records, at=20, path="/never/1", status=404)
    attempt(records, at=21, key="never", status=401)
    attempt(records, at=22, status=429)
    assert seen(check_denied(records, Trouble(records))) == []
    attempt(records, at=23, status=400)
    assert len(seen(check_denied(records, Trouble(records)))) == 6


# LOST, OWNER, RECOVER, FAULT


def test_lost_finds_a_connection_that_ends_while_a_request_is_at_a_server():
    records = calm_records()
    disturb(records, EDGE, "SIGTERM", 20, 25)
    attempt(records, at=21, ending=Ending.CLOSED, status=0)
    assert seen(check_lost(records, Trouble(records))) == []
    run(records, attempt(records, at=22, ending=Ending.CLOSED, status=0))
    assert len(seen(check_lost(records, Trouble(records)))) == 1


def test_lost_finds_a_connection_that_ends_late_after_the_request():
    records = calm_records()
    attempt(records, at=21, ending=Ending.CLOSED, status=0, took=0.19)
    assert seen(check_lost(records, Trouble(records))) == []
    attempt(records, at=22, ending=Ending.CLOSED, status=0, took=0.21)
    assert len(seen(check_lost(records, Trouble(records)))) == 1


def test_lost_finds_an_own_answer_in_place_of_a_server_at_work_after_sigterm():
    records = calm_records()
    call = run(records, attempt(records, at=22, status=502), ended_at=22.5)
    assert seen(check_lost(records, Trouble(records))) == []
    disturb(records, EDGE, "SIGTERM", 20, 25)
    assert len(seen(check_lost(records, Trouble(records)))) == 1
    call.deadline_at = 22.1  # the server stops its work at the time that it was handed
    assert seen(check_lost(records, Trouble(records))) == []


@pytest.mark.parametrize(
    "excuse",
    [
        lambda records, lost: disturb(records, EDGE, "SIGKILL", 22.05, 23),
        lambda records, lost: disturb(records, "orders-0", "ended", 22, 23),
        lambda records, lost: setattr(lost, "deadline_s", 0.05),
        lambda records, lost: setattr(records.calls[lost.attempt_id][0], "ended_at", 25.1),
    ],
    ids=["edge killed", "server ended", "deadline reached", "server at work in the last part of the grace period"],
)
def test_lost_excuses_what_the_rule_excuses(excuse):
    records = calm_records()
    disturb(records, EDGE, "SIGTERM", 20, 26)
    lost = attempt(records, at=22, ending=Ending.CLOSED, status=0)
    run(records, lost)
    assert len(seen(check_lost(records, Trouble(records)))) == 1
    excuse(records, lost)
    assert seen(check_lost(records, Trouble(records))) == []


def test_owner_finds_two_holders_that_both_begin_requests():
    records = calm_records()
    records.conflicts.append(KeyConflict(20, 7, "views-0", ("views-0", "views-1")))
    assert seen(check_owner(records)) == []
    records.conflicts.append(KeyConflict(21, 8, "views-1", ("views-0", "views-1")))
    assert len(seen(check_owner(records))) == 1


def test_recover_finds_a_time_in_which_little_is_served_after_the_machines_are_back():
    records = calm_records()
    disturb(records, MEMBERS[0], "SIGKILL", 10, 12)
    for number in range(20):
        served(records, at=28 + number)
    assert seen(check_recover(records)) == []
    for number in range(61):
        attempt(records, at=28 + number / 10, status=503)
    assert len(seen(check_recover(records))) == 1


def test_fault_finds_a_process_that_ends_by_itself():
    records = calm_records()
    assert seen(check_process_ends(records)) == []
    records.process_ends.append(ProcessEnd(EDGE, 20, 1))
    assert len(seen(check_process_ends(records))) == 1


# ONE, keys in logs


def usage(records, at, holder, fence, window, status=200, **counts):
    records.usage_calls.append(UsageCall(at, holder, fence, window, counts, status))


def test_one_finds_two_texts_for_a_window():
    records = calm_records()
    usage(records, 10, "control-0", 1, 7, ana=3)
    usage(records, 11, "control-0", 1, 7, ana=3)
    usage(records, 12, "control-0", 1, 7, status=409, ana=4)
    assert seen(check_one_text(records)) == []
    usage(records, 13, "control-1", 2, 7, ana=4)
    assert len(seen(check_one_text(records))) == 1


def test_one_finds_a_fence_of_two_holders():
    records = calm_records()
    usage(records, 10, "control-0", 1, 7)
    usage(records, 11, "control-1", 2, 8)
    assert seen(check_one_holder(records)) == []
    usage(records, 12, "control-1", 1, 8, status=409)
    assert len(seen(check_one_holder(records))) == 1


def test_one_finds_a_holder_that_returns_inside_the_lease():
    records = calm_records()
    usage(records, 10, "control-0", 1, 7)
    usage(records, 11, "control-1", 2, 8)
    usage(records, 13.1, "control-0", 3, 9)
    assert seen(check_no_return(records)) == []
    usage(records, 13.5, "control-1", 4, 10)
    assert len(seen(check_no_return(records))) == 1


def test_usage_figures_count_windows_reported_in_time_and_within_the_tolerance():
    records = calm_records()
    for at in (1, 2, 6, 11):
        served(records, at=at)
    usage(records, 9, "control-0", 1, 0, ana=2)
    usage(records, 14, "control-0", 1, 1, ana=9)
    figures = usage_figures(records, wall_offset_s=0.0)
    assert [(w.ran, w.reported, w.within_tolerance) for w in figures.windows] == [
        (2, 2, True),
        (1, 9, False),
        (1, None, False),
    ]
    assert figures.summary.startswith("3 windows due, 2 reported in time, 1 within tolerance")


def test_logs_that_hold_a_key_are_found(tmp_path):
    log = tmp_path / "edge-3.log"
    log.write_text("started")
    assert seen(check_logs(tmp_path, [FIRST])) == []
    log.write_text("unknown: key-b")
    assert len(seen(check_logs(tmp_path, [FIRST]))) == 1
