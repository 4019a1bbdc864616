"""Regression tests for faults suspected in a review, mostly on a single `ConsensusNode` without a cluster."""

from random import Random

import pytest

from consensus.simulated_cluster import IN_FORCE, Cluster
from kestrelplank.consensus.consensus_messages import Append, AppendReply, VoteReply, VoteRequest
from kestrelplank.consensus.effects import Persist, Send
from kestrelplank.consensus.identity import FIRST_INCARNATION, identity_of
from kestrelplank.consensus.lease import MAX_PENDING_NONCES
from kestrelplank.consensus.log_entries import (
    ChangeMembership,
    Entry,
    HardState,
    PutConfiguration,
    Snapshot,
)
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.node import ConsensusNode
from kestrelplank.consensus.progress import Progress
from kestrelplank.consensus.roles import Role
from kestrelplank.consensus.snapshots import OutgoingSnapshot
from kestrelplank.consensus.timing import HEARTBEAT_INTERVAL_NS, LEASE_NS
from kestrelplank.time_units import MILLISECOND, SECOND

A, B, C, D = (identity_of(name, FIRST_INCARNATION) for name in "abcd")
ABC = Membership(1, (A, B, C))
START = 10**9
NOTHING = HardState()


def member(identity, hard_state=NOTHING, entries=(), snapshot=None, first_start=True):
    return ConsensusNode(START, Random(1), identity, ABC, hard_state, tuple(entries), snapshot, first_start)


def order(index, term):
    return Entry(index, term, PutConfiguration(index, f"{term}", b"%d of term %d" % (index, term)))


def persist_all(node, now, effects):
    """Make all writes durable; return the messages sent at once and after the writes."""
    sent = [effect for effect in effects if isinstance(effect, Send)]
    for effect in effects:
        if isinstance(effect, Persist):
            sent += [late for late in node.persisted(now, effect.number) if isinstance(late, Send)]
    return sent


def elected(node, now, answering):
    """Run until the node wins its next term with the vote of `answering`, and return that time."""
    for _ in range(100):
        now += 50 * MILLISECOND
        sent = persist_all(node, now, node.tick(now))
        while sent and node.role != Role.LEADER:
            request = sent.pop(0)
            if isinstance(request.message, VoteRequest) and request.to == answering:
                reply = VoteReply(request.message.term, 1, granted=True, pre_vote=request.message.pre_vote)
                sent += persist_all(node, now, node.receive(now, answering, reply))
        if node.role == Role.LEADER:
            return now
    raise AssertionError(f"{node.identity} is not elected")


def elected_leader():
    """A leads term 1 with the vote of B, and both have its first entry."""
    node = member(A)
    now = elected(node, START, B) + HEARTBEAT_INTERVAL_NS
    persist_all(node, now, node.tick(now))
    persist_all(node, now, node.receive(now, B, AppendReply(1, 1, True, 1, 2)))
    assert node.leads(now)
    return node, now


# The durable log and the log in memory may differ.


def follower_with_uncommitted_tail():
    """A follower whose disk has entries 1 to 30 of term 1, none of them committed, and the snapshot at index 20 of term 2
    that the leader of term 3 sends it."""
    follower = member(B, HardState(1, A, A), [order(index, 1) for index in range(1, 31)], first_start=False)
    snapshot = Snapshot(20, 2, ABC, b"state")
    return follower, OutgoingSnapshot(snapshot).next_chunk(3, 1, 1)


def highest_match(sent):
    return max(
        (
            reply.message.match_index
            for reply in sent
            if isinstance(reply.message, AppendReply) and reply.message.success
        ),
        default=0,
    )


def test_entries_that_a_snapshot_replaces_are_not_acknowledged_before_the_snapshot_is_durable():
    """The chunk arrives again, as its reply was late, before the disk has written the snapshot."""
    follower, chunk = follower_with_uncommitted_tail()
    now = START + 10 * MILLISECOND
    first = follower.receive(now, C, chunk)
    hard_state, with_snapshot = [effect for effect in first if isinstance(effect, Persist)]
    again = [
        *follower.receive(now + MILLISECOND, C, chunk),
        *follower.persisted(now + 2 * MILLISECOND, hard_state.number),
    ]
    assert highest_match(effect for effect in again if isinstance(effect, Send)) == 0
    assert highest_match(persist_all(follower, now + 3 * MILLISECOND, [with_snapshot])) == 20


def test_a_member_killed_while_a_snapshot_replaces_old_entries_catches_up_after_its_restart():
    """As in the previous test, but the member is killed before the snapshot is durable, and restarts with its old entries."""
    follower, chunk = follower_with_uncommitted_tail()
    now = START + 10 * MILLISECOND
    hard_state = next(effect for effect in follower.receive(now, C, chunk) if isinstance(effect, Persist))
    replies = [
        *follower.receive(now + MILLISECOND, C, chunk),
        *follower.persisted(now + 2 * MILLISECOND, hard_state.number),
    ]
    leader, leader_now = leading_term_3()
    for reply in replies:
        if isinstance(reply, Send) and isinstance(reply.message, AppendReply):
            leader.receive(leader_now, B, reply.message)
    follower = member(B, hard_state.hard_state, [order(index, 1) for index in range(1, 31)], first_start=False)
    messages = []
    for _ in range(200):
        leader_now += 50 * MILLISECOND
        messages += [sent.message for sent in persist_all(leader, leader_now, leader.tick(leader_now)) if sent.to == B]
        if not messages:
            continue
        message = messages.pop(0)
        for reply in persist_all(follower, START + leader_now, follower.receive(START + leader_now, C, message)):
            answer = leader.receive(leader_now, B, reply.message)
            messages += [sent.message for sent in persist_all(leader, leader_now, answer) if sent.to == B]
        persist_all(
            leader, leader_now, leader.receive(leader_now, A, AppendReply(3, 1, True, 21, leader._state.lease.round))
        )
        if follower.log.last_term == 3:
            return
    raise AssertionError(f"the follower's log still ends with {follower.log.last_index} of {follower.log.last_term}")


def leading_term_3():
    """C leads term 3 with the vote of A; its disk has the snapshot at index 20 of term 2."""
    node = member(C, HardState(2, C, C), snapshot=Snapshot(20, 2, ABC, b"state"), first_start=False)
    return node, elected(node, START, A)


@pytest.mark.parametrize("seed", range(2))
def test_former_leader_killed_while_a_snapshot_replaces_its_entries_catches_up_within_3000_steps(seed):
    """The same on a simulated cluster: a leader is isolated with 30 uncommitted orders, the others commit more and restart, and
    it is killed after replying twice to the snapshot's chunk, before its disk has the snapshot."""
    cluster = Cluster(3, seed)
    for machine in cluster.machines.values():
        machine.compact_after = 1
    former = cluster.elect()
    name = former.address
    others = [other for other in cluster.machines if other != name]
    cluster.until(cluster.caught_up)
    assert cluster.put(1, b"1") == IN_FORCE
    cluster.isolate(name)
    for version in range(30):
        cluster.order(name, 100 + version, b"of the former leader")
    cluster.until(lambda: cluster.leader() is not None and cluster.leader() is not former)
    for version in range(2, 12):
        assert cluster.put(version, b"%d" % version, at=cluster.leader().address) == IN_FORCE
    for other in others:
        cluster.restart(other)
    cluster.run(MILLISECOND)
    cluster.elect()
    cluster.run(300 * MILLISECOND)
    cluster.conditions.duplication = 1.0
    cluster.heal()
    cluster.until(lambda: former.node.commit_index > 7)
    cluster.hang(name)
    cluster.run(30 * MILLISECOND)
    cluster.kill(name)
    cluster.conditions.duplication = 0.0
    cluster.hang(name, False)
    cluster.start(name)
    before = cluster.steps
    cluster.run(3 * SECOND)
    assert cluster.steps - before < 3_000  # catching up takes far fewer steps
    assert cluster.caught_up()


# A membership change begins with a joint membership.


@pytest.mark.parametrize(
    "proposed",
    [
        Membership(2, (A, B, D)),  # not joint
        Membership(2, (D,), (A,)),  # joint, but the outgoing side is not the current voters
        Membership(2, (), (A, B, C)),  # no voters
    ],
)
def test_membership_change_that_is_not_joint_with_all_voters_is_rejected(proposed):
    node, now = elected_leader()
    index, _ = node.propose(now, ChangeMembership(proposed))
    assert index is None and node.membership == ABC


def test_joint_membership_change_from_all_voters_is_accepted():
    node, now = elected_leader()
    index, _ = node.propose(now, ChangeMembership(Membership(2, (A, B, D), (A, B, C))))
    assert index is not None


# Promises.


def test_restarted_member_votes_for_its_last_leader_at_once_and_for_others_after_the_lease():
    log = [order(1, 1)]
    for candidate, waits in ((A, False), (C, True)):
        node = member(B, HardState(1, A, A), log, first_start=False)
        request = VoteRequest(2, 1, 1, 1)
        early = [sent.message.granted for sent in persist_all(node, START, node.receive(START, candidate, request))]
        assert early == [not waits]
        late = [
            sent.message.granted
            for sent in persist_all(node, START + LEASE_NS, node.receive(START + LEASE_NS, candidate, request))
        ]
        assert late == [True]


def test_vote_is_sent_only_when_durable_and_not_given_twice_after_restart():
    node = member(B)
    effects = node.receive(START, A, VoteRequest(1, 1, 0, 0))
    assert [effect for effect in effects if isinstance(effect, Send)] == []
    persist = next(effect for effect in effects if isinstance(effect, Persist))
    assert persist.hard_state == HardState(1, A, "")
    restarted = member(B, persist.hard_state, first_start=False)
    later = START + 2 * LEASE_NS
    refused = persist_all(restarted, later, restarted.receive(later, C, VoteRequest(1, 1, 9, 1)))
    assert [sent.message.granted for sent in refused] == [False]


def test_stale_vote_request_by_transfer_is_rejected():
    """The leader of term 1 transferred leadership; the successor's vote request arrives after term 2 got another leader."""
    node = member(B, HardState(1, A, A), [order(1, 1)], first_start=False)
    heartbeat = Append(2, 1, 1, 1, (), 0, 1)
    persist_all(node, START, node.receive(START, C, heartbeat))
    stale = VoteRequest(2, 1, 1, 1, transfer=True)
    replies = persist_all(node, START + MILLISECOND, node.receive(START + MILLISECOND, A, stale))
    assert [reply.message.granted for reply in replies] == [False] and node.leader == C


def test_new_voter_votes_for_no_other_until_the_leaders_lease_has_ended():
    """A new voter that has acknowledged the joint membership votes for no other member for one lease duration."""
    new_voter = ConsensusNode(START - 2 * LEASE_NS, Random(2), D, None, HardState(), (), None, False)
    joint = Entry(1, 1, ChangeMembership(Membership(2, (B, C, D), (A, B, C))))
    replies = persist_all(new_voter, START, new_voter.receive(START, A, Append(1, 2, 0, 0, (joint,), 0, 1)))
    assert highest_match(replies) == 1
    request = VoteRequest(2, 3, 2, 1)
    for when, expected in ((START + LEASE_NS - 1, False), (START + LEASE_NS, True)):
        granted = [sent.message.granted for sent in persist_all(new_voter, when, new_voter.receive(when, C, request))]
        assert granted == [expected]


# Progress.


def test_stale_rejection_does_not_lower_the_match_index():
    peer = Progress(11)
    peer.update(START, AppendReply(1, 1, True, 10, 1))
    peer.update(START, AppendReply(1, 1, False, 3, 1))
    assert peer.match_index == 10 and peer.next_index == 11 and not peer.log_matches


@pytest.mark.parametrize("appends, is_current", [(MAX_PENDING_NONCES, True), (MAX_PENDING_NONCES + 1, False)])
def test_follower_is_current_only_by_a_nonce_that_is_still_stored(appends, is_current):
    """With more replies in flight than nonces are stored, the oldest nonce is dropped: limits appends per round trip."""
    node = member(B)
    heartbeat = Append(1, 1, 0, 0, (), 0, 1)
    nonce = 0
    for offset in range(appends):
        (reply,) = persist_all(node, START + offset, node.receive(START + offset, A, heartbeat))
        nonce = nonce or reply.message.nonce
    now = START + 50 * MILLISECOND
    persist_all(node, now, node.receive(now, A, Append(1, 1, 0, 0, (), 0, 2, nonce=nonce, lease_ns=LEASE_NS)))
    assert node.current(now) is is_current
