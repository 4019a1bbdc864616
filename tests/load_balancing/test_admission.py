from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.admission import ADMIT, LINGER, REFUSE, Admission, Terms

S = 1_000_000_000


def made(*clients, most=4, each=3):
    admission = Admission(Terms(most, each, 5 * S, 60 * S))
    for connection, client in enumerate(clients):
        assert admission.came(connection, connection, client) == (ADMIT, None)
    return admission


def test_whoever_has_most_gives_its_oldest_idle_connection_to_one_that_has_fewer():
    admission = made("a", "a", "a", "b")
    admission.state(9, 0, "busy")
    assert admission.came(10, 7, "c") == (ADMIT, 1) and len(admission) == 4


def test_whoever_has_as_many_as_the_fullest_gets_no_more():
    assert made("a", "a", "b", "b").came(9, 7, "a") == (REFUSE, None)


def test_nobody_is_pushed_out_while_a_request_is_in_hand():
    admission = made("a", "a", "a", "b")
    for connection in range(3):
        admission.state(9, connection, "busy")
    assert admission.came(10, 7, "c") == (REFUSE, None)


def test_a_head_that_does_not_come_and_an_idle_connection_are_closed_a_busy_one_never():
    admission = made("a", "b", "c", "d")
    admission.state(4 * S, 1, "head")
    admission.state(4 * S, 2, "busy")
    admission.state(4 * S, 3, "busy")
    admission.state(5 * S, 3, "idle")
    admission.state(6 * S, 3, "idle")  # no new time for more of the same
    assert admission.late(5 * S) == [(0, "no whole head came")]
    assert admission.late(9 * S) == [(0, "no whole head came"), (1, "no whole head came")]
    assert admission.late(65 * S)[2:] == [(3, "idle")]


def test_while_we_stop_a_connection_at_rest_is_closed_after_a_while_and_not_at_once():
    admission = made("a", "b", "c")
    admission.state(0, 1, "busy")
    admission.state(0, 2, "idle")
    assert admission.late(LINGER - 1, True) == [] == admission.late(2 * LINGER)
    assert admission.late(2 * LINGER, True) == [(0, "idle"), (2, "idle")]


@given(
    some.lists(some.tuples(some.sampled_from("abc"), some.sampled_from(("come", "go", "busy", "idle"))), max_size=60)
)
def test_there_are_never_more_than_allowed_and_what_is_busy_is_never_pushed_out(steps):
    admission, held, busy, number = made(), {}, set(), 0
    for client, what in steps:
        if what == "come":
            number += 1
            how, push = admission.came(number, number, client)
            assert push not in busy
            held.pop(push, None)
            if how == ADMIT:
                held[number] = client
        else:
            mine = [one for one, other in held.items() if other == client]
            if mine and what == "go":
                admission.gone(mine[0])
                del held[mine[0]]
                busy.discard(mine[0])
            elif mine:
                admission.state(number, mine[0], what)
                (busy.add if what == "busy" else busy.discard)(mine[0])
        assert len(admission) == len(held) <= 4
