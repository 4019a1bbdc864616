from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.state.answers import BUSY, FULL, KNOWN, NEW, OTHER, Answers, Terms

S = 1_000_000_000


def made(most=3, most_bytes=10, age=5 * S):
    return Answers(Terms(most, most_bytes, age))


def test_who_asks_again_gets_the_first_answer_and_who_asks_meanwhile_waits_for_it():
    answers = made()
    assert answers.ask(0, "k", "body", 1) == (NEW, None)
    assert answers.ask(1, "k", "body", 2) == (BUSY, None)
    assert answers.done("k", b"one") == [2]
    assert answers.ask(4 * S, "k", "body", 3) == (KNOWN, b"one")
    assert answers.ask(5 * S, "k", "body", 4) == (NEW, None)  # its age counts from the first


def test_a_key_with_another_body_does_not_get_that_answer():
    answers = made()
    answers.ask(0, "k", "body", 1)
    answers.done("k", b"one")
    assert answers.ask(0, "k", "other", 2) == (OTHER, None)


def test_an_op_that_did_not_run_frees_its_key_and_one_that_may_have_run_keeps_it():
    answers = made()
    answers.ask(0, "k", "b", 1)
    answers.ask(0, "k", "b", 2)
    assert answers.failed("k", False) == [2] and answers.ask(0, "k", "b", 3) == (NEW, None)
    assert answers.failed("k", True) == [] and answers.ask(0, "k", "b", 4) == (KNOWN, b"")


def test_the_oldest_answers_go_first_and_what_is_in_hand_stays():
    answers = made()
    answers.ask(0, "in hand", "b", 1)
    for key in "abc":
        answers.ask(0, key, "b", 2)
        answers.done(key, b"xxxx")
    assert [answers.ask(0, key, "b", 3)[0] for key in "bc"] == [KNOWN, KNOWN] and answers.bytes == 8
    assert answers.ask(0, "in hand", "b", 4)[0] == BUSY
    assert answers.ask(0, "a", "b", 5)[0] == NEW


def test_with_as_many_in_hand_as_are_kept_none_more_is_taken():
    answers = made()
    for key in "abc":
        answers.ask(0, key, "b", 1)
    assert answers.ask(0, "d", "b", 2) == (FULL, None)


def test_who_has_left_is_not_told():
    answers = made()
    answers.ask(0, "k", "b", 1)
    answers.ask(0, "k", "b", 2)
    answers.gone("k", 2)
    answers.gone("none", 2)
    assert answers.done("k", b"") == []


@given(
    some.lists(
        some.tuples(some.sampled_from("abcde"), some.sampled_from(("ask", "done", "ran", "not")), some.integers(0, S)),
        max_size=80,
    )
)
def test_bounds_hold_and_no_key_is_new_while_it_is_in_hand(steps):
    answers, hand, now = made(), set(), 0
    for key, what, wait in steps:
        now += wait
        if what == "ask":
            told, _ = answers.ask(now, key, "b", 1)
            assert (told == BUSY) == (key in hand)
            hand |= {key} if told == NEW else set()
        elif key in hand:
            hand.discard(key)
            answers.done(key, b"xxx") if what == "done" else answers.failed(key, what == "ran")
        assert answers.busy == len(hand) <= 3 and answers.bytes <= 10 and len(answers) <= 3 + len(hand)
