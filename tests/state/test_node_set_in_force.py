import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.decode import Malformed
from kestrelplank.state.change_guard import ChangeLimits, Decision
from kestrelplank.state.debounce import MAX_BUSY_PERIODS, Debounce, DebounceResult
from kestrelplank.state.node_set import ListedNode, NodeList, NodeListEntry
from kestrelplank.state.node_set_in_force import NodeSetInForce, decode_stored_node_set
from kestrelplank.state.sealed import digest_of

S = 1_000_000_000
LIMITS = ChangeLimits(0.25, 60 * S, False)


def part(path, *names, confirms="", zone="x"):
    return NodeList(
        path,
        tuple(
            NodeListEntry(name, ListedNode(zone, f"10.0.0.1:{ord(name)}"), place) for place, name in enumerate(names, 1)
        ),
        confirms,
    )


def test_a_reading_counts_once_two_of_them_a_quiet_time_apart_are_the_same():
    settling = Debounce(10)
    assert settling.observe(0, "a", "one") == 10
    assert settling.observe(5, "a", "two") == 15 and settling.observe(12, "a", "two") == 15
    assert (
        settling.observe(15, "a", "two") == DebounceResult.SETTLED
        and settling.observe(16, "a", "two") == DebounceResult.SAME
    )
    assert (
        settling.observe(20, "a", None) == 30 and settling.observe(22, "a", "two") == DebounceResult.SAME
    )  # gone for a moment
    assert settling.observe(40, "a", None) == 50 and settling.observe(50, "a", None) == DebounceResult.SETTLED
    settling.forget("a")
    assert settling.observe(60, "a", None) == 70


def test_files_that_have_settled_wait_for_one_that_is_written_but_not_for_ever():
    settling = Debounce(10)
    settling.observe(0, "a", "one")
    settling.observe(0, "b", "0")
    assert settling.observe(10, "a", "one") == DebounceResult.SETTLED
    for at in range(10, 10 * MAX_BUSY_PERIODS, 5):
        settling.observe(at, "b", str(at))
        assert not settling.may_decide(at)
    assert settling.may_decide(10 * MAX_BUSY_PERIODS)


def test_a_set_is_taken_and_told_once_and_the_next_version_is_the_next_number():
    in_force = NodeSetInForce(LIMITS)
    assert in_force.decide(0) is None
    in_force.update_file("a", part("a", *"abcdefgh"))
    assert in_force.decide(1)[:3] == (Decision.ACCEPTED, "no set was in force", 1) and in_force.decide(2) is None
    in_force.update_file("a", part("a", *"abcdefghi"))
    assert in_force.decide(3)[:3] == (Decision.ACCEPTED, "1 added, 0 gone, 0 changed, 0 closed", 2)
    assert [entry[0] for entry in in_force.history] == [1, 2]


def test_a_problem_with_one_file_keeps_what_stands_also_from_the_others():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", part("a", *"abcd"))
    in_force.update_file("b", part("b", *"efgh"))
    in_force.decide(0)
    in_force.update_file("a", "a, line 3: torn")
    in_force.update_file("b", part("b", *"efghi"))
    assert (
        in_force.decide(1) == (Decision.REFUSED, "a, line 3: torn", 1, in_force.node_set.short_hash)
        and in_force.decide(2) is None
    )
    in_force.update_file("a", part("a", *"abcd"))
    assert in_force.decide(3).decision == Decision.ACCEPTED and len(in_force.node_set) == 9


def test_two_files_that_only_make_sense_together_are_refused_apart_and_taken_together():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", part("a", *"abcd"))
    in_force.update_file("b", part("b", *"efgh", zone="y"))
    in_force.decide(0)
    in_force.update_file("b", part("b", *"efghd", zone="y"))
    assert "d stands in zone y and in zone x" in in_force.decide(1).reason and in_force.version == 1
    in_force.update_file("a", part("a", *"abc"))
    assert in_force.decide(2).decision == Decision.ACCEPTED and in_force.node_set.nodes["d"].zone == "y"


def test_a_set_refused_is_taken_with_the_marker_or_once_it_has_stood():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", part("a", *"abcdefgh"))
    in_force.decide(0)
    first = in_force.node_set.short_hash
    in_force.update_file("a", part("a", *"abcd"))
    assert (
        in_force.decide(5).decision == Decision.WAITING
        and in_force.decide_at == 5 + 60 * S
        and in_force.decide(6) is None
    )
    in_force.update_file("a", part("a", *"abcde"))  # another content begins anew
    in_force.decide(30 * S)
    assert in_force.decide_at == 90 * S and in_force.decide(89 * S) is None
    assert "unchanged for 60 s" in in_force.decide(90 * S).reason and len(in_force.node_set) == 5
    in_force.update_file("a", part("a", *"ab", confirms=first))
    assert in_force.decide(91 * S).decision == Decision.WAITING  # the marker is of a list that is no longer in force
    in_force.update_file("a", part("a", *"ab", confirms=in_force.node_set.short_hash))
    assert in_force.decide(92 * S).reason.endswith("; confirmed") and len(in_force.node_set) == 2


def test_a_clock_that_is_set_back_only_makes_a_change_wait_longer():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", part("a", *"abcdefgh"))
    in_force.decide(100 * S)
    in_force.update_file("a", part("a", *"abcd"))
    assert in_force.decide(100 * S).decision == Decision.WAITING
    assert in_force.decide(10 * S) is None and in_force.decide_at == 70 * S and in_force.version == 1


def test_a_file_that_is_no_longer_ours_takes_its_nodes_along():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", part("a", *"abcdefg"))
    in_force.update_file("b", "b: there is no such file")
    assert in_force.decide(0).decision == Decision.REFUSED
    in_force.remove_file("b")
    assert in_force.decide(1).decision == Decision.ACCEPTED and len(in_force.node_set) == 7


def stored():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", part("a", *"abcdefgh"))
    in_force.decide(0)
    in_force.update_file("a", part("a", *"abcdefghi"))
    in_force.decide(0)
    return in_force


def test_what_is_stored_is_read_back_and_goes_on_from_there():
    in_force = stored()
    found = decode_stored_node_set(in_force.encode())
    assert found == (in_force.node_set, 2, tuple(in_force.history))
    again = NodeSetInForce(LIMITS, *found)
    again.update_file("a", part("a", *"ab"))
    assert again.decide(1)[0:3:2] == (Decision.WAITING, 2)  # a broken list at the start meets what stood


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
        decode_stored_node_set(spoil(stored().encode()))


@given(some.integers(0, 10**4))
def test_what_was_stored_and_is_cut_anywhere_is_refused(cut):
    data = stored().encode()
    with pytest.raises(Malformed):
        decode_stored_node_set(data[: cut % (len(data) - 1)])


def test_a_form_that_is_not_known_is_refused_by_name():
    body = b'{"form":9}'
    with pytest.raises(Malformed, match="format version 9, expected 1"):
        decode_stored_node_set(body + b"\n" + digest_of(body).encode() + b"\n")


contents = some.one_of(
    some.text("abcdefghij", max_size=10).map(lambda names: "".join(dict.fromkeys(names))), some.just(None)
)


@given(
    some.lists(some.tuples(some.sampled_from(("f", "g")), contents, some.booleans(), some.integers(0, 40)), max_size=25)
)
def test_any_sequence_of_sets_and_tears_keeps_the_invariants(steps):
    """A set in force is never empty, never loses over a quarter at once without a word, and is what files once said."""
    in_force, now, said = NodeSetInForce(LIMITS), 0, {}
    for path, names, confirmed, wait in steps:
        now += wait * S
        before, version = in_force.node_set, in_force.version
        confirms = before.short_hash if before and confirmed else ""
        said[path] = names
        in_force.update_file(path, f"{path}: torn" if names is None else part(path, *names, confirms=confirms))
        outcome = in_force.decide(now)
        if in_force.node_set == before:
            assert in_force.version == version and (outcome is None or outcome.decision != Decision.ACCEPTED)
            continue
        assert outcome.decision == Decision.ACCEPTED and in_force.version == version + 1
        assert None not in said.values() and len(in_force.node_set) == sum(map(len, said.values())) > 0
        gone = [name for name in before.nodes if name not in in_force.node_set.nodes] if before else []
        assert len(gone) <= 0.25 * len(before or ()) or "confirmed" in outcome.reason or "unchanged" in outcome.reason
