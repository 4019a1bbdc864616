from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.state.idempotency_cache import CacheLimits, IdempotencyCache, LookupStatus

S = 1_000_000_000


def new_cache(max_entries=3, max_bytes=10, max_age_ns=5 * S):
    return IdempotencyCache(CacheLimits(max_entries, max_bytes, max_age_ns))


def test_retry_gets_the_first_answer_and_concurrent_request_waits_for_it():
    cache = new_cache()
    assert cache.look_up(0, "k", "body", 1) == (LookupStatus.NEW, None)
    assert cache.look_up(1, "k", "body", 2) == (LookupStatus.PENDING, None)
    assert cache.handle_answered("k", b"one") == [2]
    assert cache.look_up(4 * S, "k", "body", 3) == (LookupStatus.ANSWERED, b"one")
    assert cache.look_up(5 * S, "k", "body", 4) == (LookupStatus.NEW, None)  # the age counts from the first request


def test_key_with_another_body_is_a_mismatch():
    cache = new_cache()
    cache.look_up(0, "k", "body", 1)
    cache.handle_answered("k", b"one")
    assert cache.look_up(0, "k", "other", 2) == (LookupStatus.MISMATCH, None)


def test_failed_op_releases_its_key_only_if_it_did_not_run():
    cache = new_cache()
    cache.look_up(0, "k", "b", 1)
    cache.look_up(0, "k", "b", 2)
    assert cache.handle_failed("k", False) == [2] and cache.look_up(0, "k", "b", 3) == (LookupStatus.NEW, None)
    assert cache.handle_failed("k", True) == [] and cache.look_up(0, "k", "b", 4) == (LookupStatus.ANSWERED, b"")


def test_oldest_answers_are_evicted_first_and_pending_ops_stay():
    cache = new_cache()
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


def test_lookup_is_full_at_the_maximum_of_pending_ops():
    cache = new_cache()
    for key in "abc":
        cache.look_up(0, key, "b", 1)
    assert cache.look_up(0, "d", "b", 2) == (LookupStatus.FULL, None)


def test_cancelled_waiter_is_not_returned():
    cache = new_cache()
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
def test_limits_hold_and_pending_key_is_never_new(steps):
    cache, pending, now = new_cache(), set(), 0
    for key, event, wait in steps:
        now += wait
        if event == "ask":
            status, _ = cache.look_up(now, key, "b", 1)
            assert (status == LookupStatus.PENDING) == (key in pending)
            pending |= {key} if status == LookupStatus.NEW else set()
        elif key in pending:
            pending.discard(key)
            cache.handle_answered(key, b"xxx") if event == "done" else cache.handle_failed(key, event == "ran")
        assert cache.pending == len(pending) <= 3 and cache.answer_bytes <= 10 and len(cache) <= 3 + len(pending)
