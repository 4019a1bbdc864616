import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.connection_pool import ConnectionPool, NoConnection, PoolSettings
from kestrelplank.time_units import SECOND as S

DIAL, WAIT, WITHDRAWN = NoConnection


def pool_of(**settings):
    defaults = {"max_connections": 3, "idle_timeout_ns": 10 * S, "withdrawal_grace_ns": 2 * S}
    return ConnectionPool(0, PoolSettings(**{**defaults, **settings}))


def dialled(pool, *connections):
    for connection in connections:
        assert pool.acquire(0) == DIAL
        pool.dial_succeeded(connection)
    return pool


def test_most_recently_used_idle_connection_is_reused_before_dialling():
    pool = dialled(pool_of(), 1, 2)
    assert pool.release(0, 1, True) and pool.release(1, 2, True)
    assert [pool.acquire(2) for _ in range(4)] == [2, 1, DIAL, WAIT]


def test_excluded_connections_are_not_used_and_count_towards_the_limit():
    pool = dialled(pool_of(), 1, 2, 3)
    assert all(pool.release(number, number, True) for number in (1, 2, 3))
    assert pool.idle() == [1, 2, 3]
    assert [pool.acquire(4, excluded={3, 1}) for _ in range(2)] == [2, WAIT] and pool.idle() == [1, 3]
    assert pool.acquire(4) == 3


def test_connection_not_reusable_or_at_max_uses_is_not_kept():
    pool = dialled(pool_of(max_uses=2), 1, 2)
    assert not pool.release(0, 1, False) and pool.release(0, 2, True)
    assert pool.acquire(0) == 2 and not pool.release(0, 2, True) and pool.counts() == (0, 0, 0)


def test_expired_idle_connection_is_not_reused_and_is_closed():
    pool = dialled(pool_of(), 1, 2)
    pool.release(0, 1, True)
    pool.release(5 * S, 2, True)
    assert pool.expire_idle(10 * S) == [1] and pool.acquire(16 * S) == DIAL and pool.expire_idle(16 * S) == [2]


def test_failed_dial_frees_its_slot():
    pool = pool_of(max_connections=1)
    assert pool.acquire(0) == DIAL and pool.acquire(0) == WAIT
    pool.dial_failed()
    assert pool.acquire(0) == DIAL


@pytest.mark.parametrize("busy", [True, False])
def test_lost_connection_is_removed_from_the_pool(busy):
    pool = dialled(pool_of(max_connections=1), 1)
    if not busy:
        pool.release(0, 1, True)
    pool.connection_lost(1)
    assert pool.counts() == (0, 0, 0) and pool.acquire(0) == DIAL


def test_withdrawn_node_gets_no_ops_and_ops_in_flight_have_a_grace_period():
    pool = dialled(pool_of(), 1, 2)
    pool.release(0, 1, True)
    assert pool.withdraw(S) == [1] and pool.acquire(S) == WITHDRAWN
    assert pool.overdue(3 * S - 1) == [] and pool.overdue(3 * S) == [2]
    assert not pool.release(3 * S, 2, True) and pool.overdue(9 * S) == [] and pool.withdraw(4 * S) == []


def test_connection_dialled_before_withdrawal_is_not_kept():
    pool = pool_of()
    pool.acquire(0)
    pool.withdraw(0)
    pool.dial_succeeded(1)
    assert not pool.release(0, 1, True) and pool.acquire(0) == WITHDRAWN


def test_weight_of_a_new_or_restored_node_grows_during_slow_start():
    pool = pool_of(slow_start_ns=10 * S, initial_weight_share=0.2)
    assert [round(pool.weight_factor(at * S), 2) for at in (0, 5, 10, 99)] == [0.2, 0.6, 1.0, 1.0]
    pool.withdraw(20 * S)
    pool.restore(30 * S)
    assert pool.weight_factor(30 * S) == 0.2 and pool.acquire(30 * S) == DIAL
    pool.restore(39 * S)  # no effect, as it is not withdrawn
    assert pool.weight_factor(40 * S) == 1.0


@given(
    some.lists(
        some.tuples(
            some.sampled_from(("acquire", "open", "fail", "done", "drop", "lost", "age", "withdraw", "restore")),
            some.integers(0, 4 * S),
        ),
        max_size=60,
    )
)
def test_connections_are_never_shared_kept_after_withdrawal_or_over_the_limit(events):
    pool, now, last_number, dialling, busy, idle, withdrawn = pool_of(), 0, 0, 0, set(), set(), False
    for event, wait in events:
        now += wait
        if event == "acquire":
            connection = pool.acquire(now)
            assert (connection is WITHDRAWN) == withdrawn
            if not isinstance(connection, NoConnection):
                assert connection in idle
                idle.discard(connection)
                busy.add(connection)
            dialling += connection is DIAL
        elif event in ("open", "fail") and dialling:
            dialling -= 1
            if event == "open":
                last_number += 1
                pool.dial_succeeded(last_number)
                busy.add(last_number)
            else:
                pool.dial_failed()
        elif event in ("done", "drop") and busy:
            connection = min(busy)
            busy.discard(connection)
            if pool.release(now, connection, event == "done"):
                assert not withdrawn
                idle.add(connection)
        elif event == "lost" and busy | idle:
            connection = min(busy | idle)
            pool.connection_lost(connection)
            busy.discard(connection)
            idle.discard(connection)
        elif event == "age":
            idle -= set(pool.expire_idle(now))
        elif event == "withdraw":
            assert set(pool.withdraw(now)) == idle
            idle, withdrawn = set(), True
        elif event == "restore":
            pool.restore(now)
            withdrawn = False
        assert pool.counts() == (len(busy), len(idle), dialling) and len(busy) + len(idle) + dialling <= 3
