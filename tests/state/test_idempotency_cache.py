from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.state.idempotency_cache import CacheLimits, IdempotencyCache, LookupStatus

S = 1_000_000_000


def made(max_entries=3, max_bytes=10, max_age_ns=5 * S):
    return IdempotencyCache(CacheLimits(max_entries, max_bytes, max_age_ns))


def test_who_asks_again_gets_the_first_answer_and_who_asks_meanwhile_waits_for_it():
    cache = made()
    assert cache.look_up(0, "k", "body", 1) == (LookupStatus.NEW, None)
    assert cache.look_up(1, "k", "body", 2) == (LookupStatus.PENDING, None)
    assert cache.handle_answered("k", b"one") == [2]
    assert cache.look_up(4 * S, "k", "body", 3) == (LookupStatus.ANSWERED, b"one")
    assert cache.look_up(5 * S, "k", "body", 4) == (LookupStatus.NEW, None)  # its age counts from the first


def test_a_key_with_another_body_does_not_get_that_answer():
    cache = made()
    cache.look_up(0, "k", "body", 1)
    cache.handle_answered("k", b"one")
    assert cache.look_up(0, "k", "other", 2) == (LookupStatus.MISMATCH, None)


def test_an_op_that_did_not_run_frees_its_key_and_one_that_may_have_run_keeps_it():
    cache = made()
    cache.look_up(0, "k", "b", 1)
    cache.look_up(0, "k", "b", 2)
    assert cache.handle_failed("k", False) == [2] and cache.look_up(0, "k", "b", 3) == (LookupStatus.NEW, None)
    assert cache.handle_failed("k", True) == [] and cache.look_up(0, "k", "b", 4) == (LookupStatus.ANSWERED, b"")


def test_the_oldest_answers_go_first_and_what_is_in_hand_stays():
    cache = made()
    cache.look_up(0, "pending", "b", 1)
    for key in "abc":
        cache.look_up(0, key, "b", 2)
        cache.handle_answered(key, b"xxxx")
    assert [cache.look_up(0, key, "b", 3)[0] for key in "bc"] == [
        LookupStatus.ANSWERED,
        LookupStatus.ANSWERED,
    ] and cache.answer_bytes == 8
    assert cache.look_up(0, "pending", "b", 4)[0] == LookupStatus.PENDING
    assert cache.look_up(0, "a", "b", 5)[0] == LookupStatus.NEW


def test_with_as_many_in_hand_as_are_kept_none_more_is_taken():
    cache = made()
    for key in "abc":
        cache.look_up(0, key, "b", 1)
    assert cache.look_up(0, "d", "b", 2) == (LookupStatus.FULL, None)


def test_who_has_left_is_not_told():
    cache = made()
    cache.look_up(0, "k", "b", 1)
    cache.look_up(0, "k", "b", 2)
    cache.cancel_wait("k", 2)
    cache.cancel_wait("none", 2)
    assert cache.handle_answered("k", b"") == []


@given(
    some.lists(
        some.tuples(some.sampled_from("abcde"), some.sampled_from(("ask", "done", "ran", "not")), some.integers(0, S)),
        max_size=80,
    )
)
def test_bounds_hold_and_no_key_is_new_while_it_is_pending(steps):
    cache, pending, now = made(), set(), 0
    for key, what, wait in steps:
        now += wait
        if what == "ask":
            status, _ = cache.look_up(now, key, "b", 1)
            assert (status == LookupStatus.PENDING) == (key in pending)
            pending |= {key} if status == LookupStatus.NEW else set()
        elif key in pending:
            pending.discard(key)
            cache.handle_answered(key, b"xxx") if what == "done" else cache.handle_failed(key, what == "ran")
        assert cache.pending == len(pending) <= 3 and cache.answer_bytes <= 10 and len(cache) <= 3 + len(pending)
