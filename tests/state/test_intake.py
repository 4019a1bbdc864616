import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.decode import Malformed
from kestrelplank.state.guards import Terms
from kestrelplank.state.intake import ACCEPTED, PATIENCE, REFUSED, SAME, SETTLED, WAITING, Debounce, Intake, restored
from kestrelplank.state.nodeset import Line, Listed, Part
from kestrelplank.state.sealed import digest_of

S = 1_000_000_000
TERMS = Terms(0.25, 60 * S, False)


def part(path, *names, confirms="", zone="x"):
    return Part(
        path,
        tuple(Line(name, Listed(zone, f"10.0.0.1:{ord(name)}"), place) for place, name in enumerate(names, 1)),
        confirms,
    )


def test_a_reading_counts_once_two_of_them_a_quiet_time_apart_are_the_same():
    settling = Debounce(10)
    assert settling.see(0, "a", "one") == 10
    assert settling.see(5, "a", "two") == 15 and settling.see(12, "a", "two") == 15
    assert settling.see(15, "a", "two") == SETTLED and settling.see(16, "a", "two") == SAME
    assert settling.see(20, "a", None) == 30 and settling.see(22, "a", "two") == SAME  # gone for a moment
    assert settling.see(40, "a", None) == 50 and settling.see(50, "a", None) == SETTLED
    settling.forget("a")
    assert settling.see(60, "a", None) == 70


def test_files_that_have_settled_wait_for_one_that_is_written_but_not_for_ever():
    settling = Debounce(10)
    settling.see(0, "a", "one")
    settling.see(0, "b", "0")
    assert settling.see(10, "a", "one") == SETTLED
    for at in range(10, 10 * PATIENCE, 5):
        settling.see(at, "b", str(at))
        assert not settling.at_rest(at)
    assert settling.at_rest(10 * PATIENCE)


def test_a_set_is_taken_and_told_once_and_the_next_version_is_the_next_number():
    intake = Intake(TERMS)
    assert intake.decide(0) is None
    intake.take("a", part("a", *"abcdefgh"))
    assert intake.decide(1)[:3] == (ACCEPTED, "there was none", 1) and intake.decide(2) is None
    intake.take("a", part("a", *"abcdefghi"))
    assert intake.decide(3)[:3] == (ACCEPTED, "1 added, 0 gone, 0 changed, 0 closed", 2)
    assert [entry[0] for entry in intake.history] == [1, 2]


def test_a_problem_with_one_file_keeps_what_stands_also_from_the_others():
    intake = Intake(TERMS)
    intake.take("a", part("a", *"abcd"))
    intake.take("b", part("b", *"efgh"))
    intake.decide(0)
    intake.take("a", "a, line 3: torn")
    intake.take("b", part("b", *"efghi"))
    assert intake.decide(1) == (REFUSED, "a, line 3: torn", 1, intake.force.short) and intake.decide(2) is None
    intake.take("a", part("a", *"abcd"))
    assert intake.decide(3).how == ACCEPTED and len(intake.force) == 9


def test_two_files_that_only_make_sense_together_are_refused_apart_and_taken_together():
    intake = Intake(TERMS)
    intake.take("a", part("a", *"abcd"))
    intake.take("b", part("b", *"efgh", zone="y"))
    intake.decide(0)
    intake.take("b", part("b", *"efghd", zone="y"))
    assert "d stands in zone y and in zone x" in intake.decide(1).why and intake.version == 1
    intake.take("a", part("a", *"abc"))
    assert intake.decide(2).how == ACCEPTED and intake.force.nodes["d"].zone == "y"


def test_a_set_refused_is_taken_with_the_marker_or_once_it_has_stood():
    intake = Intake(TERMS)
    intake.take("a", part("a", *"abcdefgh"))
    intake.decide(0)
    first = intake.force.short
    intake.take("a", part("a", *"abcd"))
    assert intake.decide(5).how == WAITING and intake.due == 5 + 60 * S and intake.decide(6) is None
    intake.take("a", part("a", *"abcde"))  # another content begins anew
    intake.decide(30 * S)
    assert intake.due == 90 * S and intake.decide(89 * S) is None
    assert "it has stood for 60 s" in intake.decide(90 * S).why and len(intake.force) == 5
    intake.take("a", part("a", *"ab", confirms=first))
    assert intake.decide(91 * S).how == WAITING  # the marker is of a list that is no longer in force
    intake.take("a", part("a", *"ab", confirms=intake.force.short))
    assert intake.decide(92 * S).why.endswith("; confirmed") and len(intake.force) == 2


def test_a_clock_that_is_set_back_only_makes_a_change_wait_longer():
    intake = Intake(TERMS)
    intake.take("a", part("a", *"abcdefgh"))
    intake.decide(100 * S)
    intake.take("a", part("a", *"abcd"))
    assert intake.decide(100 * S).how == WAITING
    assert intake.decide(10 * S) is None and intake.due == 70 * S and intake.version == 1


def test_a_file_that_is_no_longer_ours_takes_its_nodes_along():
    intake = Intake(TERMS)
    intake.take("a", part("a", *"abcdefg"))
    intake.take("b", "b: there is no such file")
    assert intake.decide(0).how == REFUSED
    intake.drop("b")
    assert intake.decide(1).how == ACCEPTED and len(intake.force) == 7


def stored():
    intake = Intake(TERMS)
    intake.take("a", part("a", *"abcdefgh"))
    intake.decide(0)
    intake.take("a", part("a", *"abcdefghi"))
    intake.decide(0)
    return intake


def test_what_is_stored_is_read_back_and_goes_on_from_there():
    intake = stored()
    found = restored(intake.stored())
    assert found == (intake.force, 2, tuple(intake.history))
    again = Intake(TERMS, *found)
    again.take("a", part("a", *"ab"))
    assert again.decide(1)[0:3:2] == (WAITING, 2)  # a broken list at the start meets what stood


@pytest.mark.parametrize(
    "spoil",
    [
        lambda data: b"",
        lambda data: b"\n",
        lambda data: data.replace(b'"x"', b'"y"', 1),
        lambda data: data[:-3] + b"00\n",
        lambda data: data + data,
    ],
)
def test_what_was_stored_and_is_torn_or_changed_is_refused(spoil):
    with pytest.raises(Malformed, match="torn or changed"):
        restored(spoil(stored().stored()))


@given(some.integers(0, 10**4))
def test_what_was_stored_and_is_cut_anywhere_is_refused(cut):
    data = stored().stored()
    with pytest.raises(Malformed):
        restored(data[: cut % (len(data) - 1)])


def test_a_form_that_is_not_known_is_refused_by_name():
    body = b'{"form":9}'
    with pytest.raises(Malformed, match="form 9 is not known, 1 is"):
        restored(body + b"\n" + digest_of(body).encode() + b"\n")


contents = some.one_of(
    some.text("abcdefghij", max_size=10).map(lambda names: "".join(dict.fromkeys(names))), some.just(None)
)


@given(
    some.lists(some.tuples(some.sampled_from(("f", "g")), contents, some.booleans(), some.integers(0, 40)), max_size=25)
)
def test_any_sequence_of_sets_and_tears_keeps_the_invariants(steps):
    """A set in force is never empty, never loses over a quarter at once without a word, and is what files once said."""
    intake, now, said = Intake(TERMS), 0, {}
    for path, names, confirmed, wait in steps:
        now += wait * S
        before, version = intake.force, intake.version
        confirms = before.short if before and confirmed else ""
        said[path] = names
        intake.take(path, f"{path}: torn" if names is None else part(path, *names, confirms=confirms))
        outcome = intake.decide(now)
        if intake.force == before:
            assert intake.version == version and (outcome is None or outcome.how != ACCEPTED)
            continue
        assert outcome.how == ACCEPTED and intake.version == version + 1
        assert None not in said.values() and len(intake.force) == sum(map(len, said.values())) > 0
        gone = [name for name in before.nodes if name not in intake.force.nodes] if before else []
        assert len(gone) <= 0.25 * len(before or ()) or "confirmed" in outcome.why or "stood" in outcome.why
