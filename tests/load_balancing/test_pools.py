import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.pools import DIAL, SHUT, USE, WAIT, Pool, Terms

S = 1_000_000_000


def pool(**terms):
    return Pool(0, Terms(**{"most": 3, "idle": 10 * S, "grace": 2 * S, **terms}))


def up(made, *connections):
    for connection in connections:
        assert made.take(0) == (DIAL,)
        made.opened(connection)
    return made


def test_what_is_idle_is_used_before_anything_is_dialled_the_last_one_first():
    made = up(pool(), 1, 2)
    assert made.done(0, 1, True) and made.done(1, 2, True)
    assert [made.take(2) for _ in range(4)] == [(USE, 2), (USE, 1), (DIAL,), (WAIT,)]


def test_what_the_node_ends_or_has_had_its_uses_is_not_kept():
    made = up(pool(uses=2), 1, 2)
    assert not made.done(0, 1, False) and made.done(0, 2, True)
    assert made.take(0) == (USE, 2) and not made.done(0, 2, True) and made.counts() == (0, 0, 0)


def test_who_is_idle_too_long_is_not_used_and_is_closed():
    made = up(pool(), 1, 2)
    made.done(0, 1, True)
    made.done(5 * S, 2, True)
    assert made.expired(10 * S) == [1] and made.take(16 * S) == (DIAL,) and made.expired(16 * S) == [2]


def test_a_dial_that_fails_makes_room():
    made = pool(most=1)
    assert made.take(0) == (DIAL,) and made.take(0) == (WAIT,)
    made.failed()
    assert made.take(0) == (DIAL,)


@pytest.mark.parametrize("busy", [True, False])
def test_a_connection_that_ends_by_itself_is_forgotten(busy):
    made = up(pool(most=1), 1)
    if not busy:
        made.done(0, 1, True)
    made.lost(1)
    assert made.counts() == (0, 0, 0) and made.take(0) == (DIAL,)


def test_a_withdrawn_node_gets_no_op_and_what_is_out_may_finish_within_the_grace():
    made = up(pool(), 1, 2)
    made.done(0, 1, True)
    assert made.withdraw(S) == [1] and made.take(S) == (SHUT,)
    assert made.overdue(3 * S - 1) == [] and made.overdue(3 * S) == [2]
    assert not made.done(3 * S, 2, True) and made.overdue(9 * S) == [] and made.withdraw(4 * S) == []


def test_a_node_withdrawn_while_its_connection_is_dialled_is_not_used():
    made = pool()
    made.take(0)
    made.withdraw(0)
    made.opened(1)
    assert not made.done(0, 1, True) and made.take(0) == (SHUT,)


def test_a_node_that_is_new_here_or_restored_is_given_its_share_by_and_by():
    made = pool(warm_up=10 * S, cold_from=0.2)
    assert [round(made.share(at * S), 2) for at in (0, 5, 10, 99)] == [0.2, 0.6, 1.0, 1.0]
    made.withdraw(20 * S)
    made.restore(30 * S)
    assert made.share(30 * S) == 0.2 and made.take(30 * S) == (DIAL,)
    made.restore(39 * S)  # which it was already
    assert made.share(40 * S) == 1.0


@given(
    some.lists(
        some.tuples(
            some.sampled_from(("take", "open", "fail", "done", "drop", "lost", "age", "withdraw", "restore")),
            some.integers(0, 4 * S),
        ),
        max_size=60,
    )
)
def test_no_connection_is_used_twice_at_once_kept_when_shut_or_over_the_limit(steps):
    made, now, given, dials, busy, idle, shut = pool(), 0, 0, 0, set(), set(), False
    for what, wait in steps:
        now += wait
        if what == "take":
            found = made.take(now)
            assert (found[0] == SHUT) == shut
            if found[0] == USE:
                assert found[1] in idle
                idle.discard(found[1])
                busy.add(found[1])
            dials += found[0] == DIAL
        elif what in ("open", "fail") and dials:
            dials -= 1
            if what == "open":
                given += 1
                made.opened(given)
                busy.add(given)
            else:
                made.failed()
        elif what in ("done", "drop") and busy:
            one = min(busy)
            busy.discard(one)
            if made.done(now, one, what == "done"):
                assert not shut
                idle.add(one)
        elif what == "lost" and busy | idle:
            one = min(busy | idle)
            made.lost(one)
            busy.discard(one)
            idle.discard(one)
        elif what == "age":
            idle -= set(made.expired(now))
        elif what == "withdraw":
            assert set(made.withdraw(now)) == idle
            idle, shut = set(), True
        elif what == "restore":
            made.restore(now)
            shut = False
        assert made.counts() == (len(busy), len(idle), dials) and len(busy) + len(idle) + dials <= 3
