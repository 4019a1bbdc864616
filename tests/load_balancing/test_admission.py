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


def test_oldest_idle_connection_of_the_largest_client_is_evicted_for_a_smaller_one():
    admission = connected("a", "a", "a", "b")
    admission.enter_state(9, 0, BUSY)
    assert admission.connect(10, 7, "c") == AdmissionDecision(admitted=True, evicted=1) and len(admission) == 4


def test_client_with_as_many_connections_as_the_largest_client_is_rejected():
    assert connected("a", "a", "b", "b").connect(9, 7, "a") == REJECTED


def test_busy_connections_are_not_evicted():
    admission = connected("a", "a", "a", "b")
    for connection in range(3):
        admission.enter_state(9, connection, BUSY)
    assert admission.connect(10, 7, "c") == REJECTED


def test_incomplete_head_and_idle_connection_time_out_but_busy_one_does_not():
    admission = connected("a", "b", "c", "d")
    admission.enter_state(4 * S, 1, READING_HEAD)
    admission.enter_state(4 * S, 2, BUSY)
    admission.enter_state(4 * S, 3, BUSY)
    admission.enter_state(5 * S, 3, IDLE)
    admission.enter_state(6 * S, 3, IDLE)  # setting the same state again does not reset its time
    assert admission.expired_connections(5 * S) == [(0, "no whole head came")]
    assert admission.expired_connections(9 * S) == [(0, "no whole head came"), (1, "no whole head came")]
    assert admission.expired_connections(65 * S)[2:] == [(3, "idle")]


def test_idle_connection_is_closed_after_the_stopping_timeout_during_shutdown():
    admission = connected("a", "b", "c")
    admission.enter_state(0, 1, BUSY)
    admission.enter_state(0, 2, IDLE)
    assert admission.expired_connections(STOPPING_IDLE_TIMEOUT_NS - 1, stopping=True) == []
    assert admission.expired_connections(2 * STOPPING_IDLE_TIMEOUT_NS) == []
    expired = admission.expired_connections(2 * STOPPING_IDLE_TIMEOUT_NS, stopping=True)
    assert expired == [(0, CloseReason.IDLE), (2, CloseReason.IDLE)]


@given(
    some.lists(
        some.tuples(some.sampled_from("abc"), some.sampled_from(("connect", "disconnect", BUSY, IDLE))), max_size=60
    )
)
def test_connections_stay_within_the_limit_and_busy_ones_are_never_evicted(events):
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
            client_connections = [connection for connection, other in connections.items() if other == client]
            if client_connections and event == "disconnect":
                admission.disconnect(client_connections[0])
                del connections[client_connections[0]]
                busy.discard(client_connections[0])
            elif client_connections:
                admission.enter_state(number, client_connections[0], event)
                (busy.add if event == BUSY else busy.discard)(client_connections[0])
        assert len(admission) == len(connections) <= 4
