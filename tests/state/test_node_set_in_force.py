import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.decode import MalformedError
from kestrelplank.state.change_guard import ChangeLimits, Decision
from kestrelplank.state.debounce import MAX_BUSY_PERIODS, Debounce, DebounceResult
from kestrelplank.state.node_set import ListedNode, NodeList, NodeListEntry
from kestrelplank.state.node_set_in_force import NodeSetInForce, decode_stored_node_set
from kestrelplank.state.sealed import digest_of

S = 1_000_000_000
LIMITS = ChangeLimits(0.25, 60 * S, False)


def node_list(path, *names, confirmed_hash="", zone="x"):
    return NodeList(
        path,
        tuple(
            NodeListEntry(name, ListedNode(zone, f"10.0.0.1:{ord(name)}"), number)
            for number, name in enumerate(names, 1)
        ),
        confirmed_hash,
    )


def test_content_settles_once_two_reads_a_quiet_period_apart_are_equal():
    debounce = Debounce(10)
    assert debounce.observe(0, "a", "one") == 10
    assert debounce.observe(5, "a", "two") == 15 and debounce.observe(12, "a", "two") == 15
    assert (
        debounce.observe(15, "a", "two") == DebounceResult.SETTLED
        and debounce.observe(16, "a", "two") == DebounceResult.SAME
    )
    assert (
        debounce.observe(20, "a", None) == 30 and debounce.observe(22, "a", "two") == DebounceResult.SAME
    )  # missing for a moment
    assert debounce.observe(40, "a", None) == 50 and debounce.observe(50, "a", None) == DebounceResult.SETTLED
    debounce.forget("a")
    assert debounce.observe(60, "a", None) == 70


def test_settled_files_wait_for_a_changing_file_for_a_limited_time():
    debounce = Debounce(10)
    debounce.observe(0, "a", "one")
    debounce.observe(0, "b", "0")
    assert debounce.observe(10, "a", "one") == DebounceResult.SETTLED
    for at in range(10, 10 * MAX_BUSY_PERIODS, 5):
        debounce.observe(at, "b", str(at))
        assert not debounce.may_decide(at)
    assert debounce.may_decide(10 * MAX_BUSY_PERIODS)


def test_accepted_set_is_reported_once_and_increments_the_version():
    in_force = NodeSetInForce(LIMITS)
    assert in_force.decide(0) is None
    in_force.update_file("a", node_list("a", *"abcdefgh"))
    assert in_force.decide(1)[:3] == (Decision.ACCEPTED, "no set was in force", 1) and in_force.decide(2) is None
    in_force.update_file("a", node_list("a", *"abcdefghi"))
    assert in_force.decide(3)[:3] == (Decision.ACCEPTED, "1 added, 0 gone, 0 changed, 0 closed", 2)
    assert [entry[0] for entry in in_force.history] == [1, 2]


def test_problem_with_one_file_keeps_the_set_in_force_despite_changes_in_others():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", node_list("a", *"abcd"))
    in_force.update_file("b", node_list("b", *"efgh"))
    in_force.decide(0)
    in_force.update_file("a", "a, line 3: torn")
    in_force.update_file("b", node_list("b", *"efghi"))
    assert (
        in_force.decide(1) == (Decision.REFUSED, "a, line 3: torn", 1, in_force.node_set.short_hash)
        and in_force.decide(2) is None
    )
    in_force.update_file("a", node_list("a", *"abcd"))
    assert in_force.decide(3).decision == Decision.ACCEPTED and len(in_force.node_set) == 9


def test_node_moved_between_two_files_is_accepted_once_both_files_changed():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", node_list("a", *"abcd"))
    in_force.update_file("b", node_list("b", *"efgh", zone="y"))
    in_force.decide(0)
    in_force.update_file("b", node_list("b", *"efghd", zone="y"))
    assert "d stands in zone y and in zone x" in in_force.decide(1).reason and in_force.version == 1
    in_force.update_file("a", node_list("a", *"abc"))
    assert in_force.decide(2).decision == Decision.ACCEPTED and in_force.node_set.nodes["d"].zone == "y"


def test_waiting_set_is_accepted_with_a_confirmation_or_after_the_confirmation_period():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", node_list("a", *"abcdefgh"))
    in_force.decide(0)
    first = in_force.node_set.short_hash
    in_force.update_file("a", node_list("a", *"abcd"))
    assert (
        in_force.decide(5).decision == Decision.WAITING
        and in_force.decide_at == 5 + 60 * S
        and in_force.decide(6) is None
    )
    in_force.update_file("a", node_list("a", *"abcde"))  # other content restarts the period
    in_force.decide(30 * S)
    assert in_force.decide_at == 90 * S and in_force.decide(89 * S) is None
    assert "unchanged for 60 s" in in_force.decide(90 * S).reason and len(in_force.node_set) == 5
    in_force.update_file("a", node_list("a", *"ab", confirmed_hash=first))
    assert in_force.decide(91 * S).decision == Decision.WAITING  # the hash is of a set that is no longer in force
    in_force.update_file("a", node_list("a", *"ab", confirmed_hash=in_force.node_set.short_hash))
    assert in_force.decide(92 * S).reason.endswith("; confirmed") and len(in_force.node_set) == 2


def test_clock_set_back_only_prolongs_the_wait():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", node_list("a", *"abcdefgh"))
    in_force.decide(100 * S)
    in_force.update_file("a", node_list("a", *"abcd"))
    assert in_force.decide(100 * S).decision == Decision.WAITING
    assert in_force.decide(10 * S) is None and in_force.decide_at == 70 * S and in_force.version == 1


def test_problem_with_a_removed_file_no_longer_blocks_the_set():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", node_list("a", *"abcdefg"))
    in_force.update_file("b", "b: there is no such file")
    assert in_force.decide(0).decision == Decision.REFUSED
    in_force.remove_file("b")
    assert in_force.decide(1).decision == Decision.ACCEPTED and len(in_force.node_set) == 7


def with_two_versions():
    in_force = NodeSetInForce(LIMITS)
    in_force.update_file("a", node_list("a", *"abcdefgh"))
    in_force.decide(0)
    in_force.update_file("a", node_list("a", *"abcdefghi"))
    in_force.decide(0)
    return in_force


def test_stored_set_is_decoded_and_continued():
    in_force = with_two_versions()
    decoded = decode_stored_node_set(in_force.encode())
    assert decoded == (in_force.node_set, 2, tuple(in_force.history))
    again = NodeSetInForce(LIMITS, *decoded)
    again.update_file("a", node_list("a", *"ab"))
    assert again.decide(1)[0:3:2] == (Decision.WAITING, 2)  # the restored set still guards against a large change


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda data: b"",
        lambda data: b"\n",
        lambda data: data.replace(b'"x"', b'"y"', 1),
        lambda data: data[:-3] + b"00\n",
        lambda data: data + data,
    ],
)
def test_torn_or_changed_stored_set_is_rejected(corrupt):
    with pytest.raises(MalformedError, match="torn or changed"):
        decode_stored_node_set(corrupt(with_two_versions().encode()))


@given(some.integers(0, 10**4))
def test_truncated_stored_set_is_rejected_at_any_length(cut):
    data = with_two_versions().encode()
    with pytest.raises(MalformedError):
        decode_stored_node_set(data[: cut % (len(data) - 1)])


def test_unsupported_format_version_is_rejected_and_named():
    body = b'{"form":9}'
    with pytest.raises(MalformedError, match="format version 9, expected 1"):
        decode_stored_node_set(body + b"\n" + digest_of(body).encode() + b"\n")


contents = some.one_of(
    some.text("abcdefghij", max_size=10).map(lambda names: "".join(dict.fromkeys(names))), some.just(None)
)


@given(
    some.lists(some.tuples(some.sampled_from(("f", "g")), contents, some.booleans(), some.integers(0, 40)), max_size=25)
)
def test_any_sequence_of_lists_and_problems_keeps_the_invariants(steps):
    """The set in force is never empty, never loses over 25% without confirmation, and is the content of all files."""
    in_force, now, contents_by_path = NodeSetInForce(LIMITS), 0, {}
    for path, names, confirmed, wait in steps:
        now += wait * S
        before, version = in_force.node_set, in_force.version
        confirmed_hash = before.short_hash if before and confirmed else ""
        contents_by_path[path] = names
        in_force.update_file(
            path, f"{path}: torn" if names is None else node_list(path, *names, confirmed_hash=confirmed_hash)
        )
        outcome = in_force.decide(now)
        if in_force.node_set == before:
            assert in_force.version == version and (outcome is None or outcome.decision != Decision.ACCEPTED)
            continue
        assert outcome.decision == Decision.ACCEPTED and in_force.version == version + 1
        assert (
            None not in contents_by_path.values()
            and len(in_force.node_set) == sum(map(len, contents_by_path.values())) > 0
        )
        gone = [name for name in before.nodes if name not in in_force.node_set.nodes] if before else []
        assert len(gone) <= 0.25 * len(before or ()) or "confirmed" in outcome.reason or "unchanged" in outcome.reason
