"""Property tests: the replicated log against a plain list, and quorums against a naive implementation."""

from itertools import combinations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from kestrelplank.consensus.log import ENTRIES_KEPT_BEFORE_SNAPSHOT, ReplicatedLog, entry_size_bytes
from kestrelplank.consensus.log_entries import (
    ChangeMembership,
    Entry,
    Noop,
    PutConfiguration,
    Snapshot,
)
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.quorum import has_majority, is_quorum, majority, reached_by_quorum

FIRST = Membership(1, ("a", "b", "c"))
NAMES = "abcdefg"
MAX_APPENDED = 40


def entry_at(index, term, kind):
    if kind == 0:
        return Entry(index, term, ChangeMembership(Membership(index, ("a", f"{index}.{term}"))))
    if kind == 1:
        return Entry(index, term, Noop())
    return Entry(index, term, PutConfiguration(index, "", b"x" * kind))


class LogAgainstList(RuleBasedStateMachine):
    """Compares the log with a list of all entries from index 1 on, `all_entries`, some of which the log may have dropped or
    never had. `committed`: index up to which entries never change; `known_from`: first index that the log must still have."""

    @initialize(knows_first=st.booleans())
    def begin(self, knows_first):
        self.first = FIRST if knows_first else None
        self.log = ReplicatedLog(self.first, None, ())
        self.all_entries = []
        self.term = 1
        self.committed = 0
        self.snapshot_index = 0
        self.known_from = 1

    def memberships(self, index):
        changes = [
            entry.command.membership
            for entry in self.all_entries[:index]
            if isinstance(entry.command, ChangeMembership)
        ]
        return changes[-1] if changes else self.first

    def new_entries(self, base, kinds):
        return [entry_at(base + 1 + offset, self.term, kind) for offset, kind in enumerate(kinds)]

    @rule(kinds=st.lists(st.integers(0, 90), max_size=MAX_APPENDED), new_term=st.booleans())
    def append(self, kinds, new_term):
        self.term += new_term
        entries = self.new_entries(len(self.all_entries), kinds)
        self.log.append(tuple(entries))
        self.all_entries += entries
        self.compare()

    @rule(gap=st.sampled_from((-1, 1, 5)))
    def append_at_a_wrong_index_is_rejected(self, gap):
        with pytest.raises(ValueError, match="does not follow"):
            self.log.append((entry_at(len(self.all_entries) + 1 + gap, self.term, 1),))
        self.compare()

    @rule(data=st.data())
    def truncate(self, data):
        first = data.draw(st.integers(self.committed + 1, len(self.all_entries) + 1))
        self.log.truncate(first)
        del self.all_entries[first - 1 :]
        self.term += 1
        self.compare()

    @rule(data=st.data())
    def commit(self, data):
        self.committed = data.draw(st.integers(self.committed, len(self.all_entries)))

    @precondition(lambda self: self.committed > self.snapshot_index)
    @rule(data=st.data())
    def compact(self, data):
        index = data.draw(st.integers(self.snapshot_index + 1, self.committed))
        snapshot = self.log.compact(index, b"%d" % index)
        if self.memberships(index) is None:
            assert snapshot is None
            self.compare()
            return
        assert snapshot == Snapshot(index, self.all_entries[index - 1].term, self.memberships(index), b"%d" % index)
        self.snapshot_index = index
        self.known_from = max(self.known_from, index + 1 - ENTRIES_KEPT_BEFORE_SNAPSHOT)
        self.compare()

    @rule(data=st.data(), ahead=st.integers(1, 50), matching=st.booleans())
    def install(self, data, ahead, matching):
        """Install a snapshot above the committed index, inside the log (matching it or not) or beyond its end."""
        index = data.draw(st.integers(self.committed + 1, len(self.all_entries) + ahead))
        inside = index <= len(self.all_entries)
        if inside and matching:
            last = self.all_entries[index - 1]
        else:
            self.term += 1
            del self.all_entries[index - 1 :]
            self.all_entries += [entry_at(at, self.term, 1) for at in range(len(self.all_entries) + 1, index)]
            last = entry_at(index, self.term, 0)
            self.all_entries.append(last)
        membership = self.memberships(index) or FIRST
        if self.memberships(index) is None:
            self.first = FIRST
        snapshot = Snapshot(index, last.term, membership, b"installed")
        self.log.install(snapshot)
        assert self.log.snapshot == snapshot
        self.committed = self.snapshot_index = index
        self.known_from = index + 1
        self.compare()

    @rule()
    def restart(self):
        """Rebuild the log from the snapshot and the entries after it, as from disk."""
        self.log = ReplicatedLog(self.first, self.log.snapshot, self.log.entries_after_snapshot())
        if self.snapshot_index:
            self.committed, self.known_from = max(self.committed, self.snapshot_index), self.snapshot_index + 1
        self.compare()

    @rule(first=st.integers(0, 200), max_entries=st.integers(1, 70), max_bytes=st.integers(1, 2000))
    def slices(self, first, max_entries, max_bytes):
        first = min(self.known_from + first, len(self.all_entries) + 1)
        entries = self.log.entries_from(first, max_entries, max_bytes)
        expected = []
        for entry in self.all_entries[first - 1 : first - 1 + max_entries]:
            if expected and sum(map(entry_size_bytes, expected)) + entry_size_bytes(entry) > max_bytes:
                break
            expected.append(entry)
        assert list(entries) == expected

    def compare(self):
        log = self.log
        assert log.last_index == len(self.all_entries) and log.membership == self.memberships(len(self.all_entries))
        assert log.base_index == self.known_from - 1
        for index in range(self.known_from, len(self.all_entries) + 1):
            assert (
                log.term_at(index) == self.all_entries[index - 1].term
                and log.entry(index) == self.all_entries[index - 1]
            )
            assert log.membership_at(index) == self.memberships(index)
        base = log.base_index
        assert log.term_at(base) == (self.all_entries[base - 1].term if base else 0)
        assert log.term_at(len(self.all_entries) + 1) is None and (base == 0 or log.term_at(base - 1) is None)
        assert log.last_term == (self.all_entries[-1].term if self.all_entries else 0)
        assert list(log.entries_after_snapshot()) == self.all_entries[self.snapshot_index :]
        if log.membership is not None and log.membership_index > base:
            assert self.all_entries[log.membership_index - 1].command.membership == log.membership


TestLogAgainstList = LogAgainstList.TestCase
TestLogAgainstList.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)

groups = st.lists(st.sampled_from(NAMES), min_size=1, max_size=7, unique=True).map(tuple)
memberships = st.builds(Membership, st.just(1), groups, st.one_of(st.just(()), groups))
member_sets = st.sets(st.sampled_from(NAMES))


def naive_majority(voters, agreeing):
    return 2 * len([voter for voter in voters if voter in agreeing]) > len(voters)


@given(groups, member_sets)
def test_majority_is_more_than_half_of_the_voters(voters, agreeing):
    assert has_majority(voters, sorted(agreeing)) == naive_majority(voters, agreeing)


@given(memberships, member_sets)
def test_a_quorum_is_a_majority_of_each_side(membership, agreeing):
    expected = naive_majority(membership.voters, agreeing)
    if membership.outgoing:
        expected = expected and naive_majority(membership.outgoing, agreeing)
    assert is_quorum(membership, sorted(agreeing)) == expected


@given(memberships, member_sets, member_sets)
def test_any_two_quorums_share_a_voter(membership, first, second):
    if is_quorum(membership, first) and is_quorum(membership, second):
        assert first & second & set(membership.voters)
        assert not membership.joint or first & second & set(membership.outgoing)


@given(groups, groups, member_sets, member_sets)
def test_joint_quorum_shares_a_member_with_each_quorum_before_and_after(before, after, joint, other):
    if is_quorum(Membership(2, after, before), joint):
        for alone in (Membership(1, before), Membership(3, after)):
            assert not is_quorum(alone, other) or joint & other


@given(memberships, st.fixed_dictionaries({name: st.integers(0, 9) for name in NAMES}))
def test_reached_by_quorum_is_the_highest_value_that_a_quorum_has_reached(membership, values):
    reached = reached_by_quorum(membership, values.__getitem__)
    expected = [
        value for value in range(10) if is_quorum(membership, [name for name in NAMES if values[name] >= value])
    ]
    assert reached == max(expected)


@pytest.mark.parametrize("count", range(1, 10))
def test_majority_is_the_smallest_size_of_which_any_two_sets_intersect(count):
    members = range(count)
    needed = majority(count)
    assert all(
        set(first) & set(second) for first in combinations(members, needed) for second in combinations(members, needed)
    )
    assert needed == 1 or not all(
        set(first) & set(second)
        for first in combinations(members, needed - 1)
        for second in combinations(members, needed - 1)
    )
