from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.admission import (
    STOPPING_IDLE_TIMEOUT_NS,
    Admission,
    AdmissionDecision,
    AdmissionSettings,
    CloseReason,
    ConnectionState,
)
from kestrelplank.time_units import SECOND as S

ADMITTED, REJECTED = AdmissionDecision(admitted=True), AdmissionDecision(admitted=False)
BUSY, IDLE, READING_HEAD = ConnectionState.BUSY, ConnectionState.IDLE, ConnectionState.READING_HEAD


def connected(*clients, max_connections=4, max_per_client=3):
    admission = Admission(AdmissionSettings(max_connections, max_per_client, 5 * S, 60 * S))
    for connection, client in enumerate(clients):
        assert admission.connect(connection, connection, client) == ADMITTED
    return admission


def test_the_client_with_most_connections_gives_its_oldest_idle_one_to_a_client_with_fewer():
    admission = connected("a", "a", "a", "b")
    admission.enter_state(9, 0, BUSY)
    assert admission.connect(10, 7, "c") == AdmissionDecision(admitted=True, evicted=1) and len(admission) == 4


def test_a_client_with_as_many_connections_as_the_fullest_gets_no_more():
    assert connected("a", "a", "b", "b").connect(9, 7, "a") == REJECTED


def test_no_connection_is_evicted_while_a_request_is_in_progress():
    admission = connected("a", "a", "a", "b")
    for connection in range(3):
        admission.enter_state(9, connection, BUSY)
    assert admission.connect(10, 7, "c") == REJECTED


def test_a_head_that_does_not_come_and_an_idle_connection_are_closed_a_busy_one_never():
    admission = connected("a", "b", "c", "d")
    admission.enter_state(4 * S, 1, READING_HEAD)
    admission.enter_state(4 * S, 2, BUSY)
    admission.enter_state(4 * S, 3, BUSY)
    admission.enter_state(5 * S, 3, IDLE)
    admission.enter_state(6 * S, 3, IDLE)  # no new time for more of the same
    assert admission.expired_connections(5 * S) == [(0, "no whole head came")]
    assert admission.expired_connections(9 * S) == [(0, "no whole head came"), (1, "no whole head came")]
    assert admission.expired_connections(65 * S)[2:] == [(3, "idle")]


def test_while_we_stop_an_idle_connection_is_closed_after_a_time_and_not_at_once():
    admission = connected("a", "b", "c")
    admission.enter_state(0, 1, BUSY)
    admission.enter_state(0, 2, IDLE)
    assert admission.expired_connections(STOPPING_IDLE_TIMEOUT_NS - 1, stopping=True) == []
    assert admission.expired_connections(2 * STOPPING_IDLE_TIMEOUT_NS) == []
    late = admission.expired_connections(2 * STOPPING_IDLE_TIMEOUT_NS, stopping=True)
    assert late == [(0, CloseReason.IDLE), (2, CloseReason.IDLE)]


@given(
    some.lists(
        some.tuples(some.sampled_from("abc"), some.sampled_from(("connect", "disconnect", BUSY, IDLE))), max_size=60
    )
)
def test_there_are_never_more_than_allowed_and_what_is_busy_is_never_evicted(events):
    admission, connections, busy, number = connected(), {}, set(), 0
    for client, event in events:
        if event == "connect":
            number += 1
            decision = admission.connect(number, number, client)
            assert decision.evicted not in busy
            connections.pop(decision.evicted, None)
            if decision.admitted:
                connections[number] = client
        else:
            of_client = [connection for connection, other in connections.items() if other == client]
            if of_client and event == "disconnect":
                admission.disconnect(of_client[0])
                del connections[of_client[0]]
                busy.discard(of_client[0])
            elif of_client:
                admission.enter_state(number, of_client[0], event)
                (busy.add if event == BUSY else busy.discard)(of_client[0])
        assert len(admission) == len(connections) <= 4
