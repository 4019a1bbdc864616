"""Snapshot transfer by a leader: chunks are retried with backoff, and not sent to a follower that does not reply."""

from consensus.test_review import A, B, leading_term_3, persist_all
from kestrelplank.consensus.consensus_messages import AppendReply, SnapshotChunk, SnapshotReply
from kestrelplank.consensus.log_entries import Snapshot
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.progress import Progress
from kestrelplank.consensus.snapshots import CHUNK_BYTES, OutgoingSnapshot
from kestrelplank.consensus.timing import HEARTBEAT_INTERVAL_NS
from kestrelplank.time_units import SECOND

NOW = 100 * SECOND
LARGE = Snapshot(20, 2, Membership(1, (A, B)), b"x" * 3 * CHUNK_BYTES)


def retry_after_s(progress, now):
    """Whole seconds from sending a chunk until it counts as overdue."""
    progress.chunk_sent(now)
    seconds = next(seconds for seconds in range(1, 20) if progress.chunk_overdue(now + seconds * SECOND))
    assert not progress.chunk_overdue(now + seconds * SECOND - 1)
    return seconds


def test_a_chunk_without_progress_is_retried_after_a_second_doubled_up_to_eight():
    progress = Progress(11)
    assert [retry_after_s(progress, NOW + number * 10 * SECOND) for number in range(6)] == [1, 2, 4, 8, 8, 8]


def test_a_confirmed_chunk_and_a_dropped_snapshot_end_the_backoff():
    progress = Progress(11)
    progress.outgoing_snapshot = OutgoingSnapshot(LARGE)
    assert [retry_after_s(progress, NOW) for _ in range(3)] == [1, 2, 4]
    assert progress.confirm_chunk(SnapshotReply(3, 1, progress.outgoing_snapshot.digest, CHUNK_BYTES, 1))
    assert [retry_after_s(progress, NOW) for _ in range(2)] == [1, 2]
    progress.drop_snapshot()
    assert progress.outgoing_snapshot is None and progress.chunk_overdue(NOW)
    assert retry_after_s(progress, NOW) == 1


def test_a_follower_that_has_not_replied_for_a_second_is_sent_no_chunk_until_it_replies():
    leader, now = leading_term_3()
    chunks = []

    def pass_time(until):
        nonlocal now
        while now < until:
            now += HEARTBEAT_INTERVAL_NS
            sent = persist_all(leader, now, leader.tick(now))
            heartbeat_round = max(effect.message.heartbeat_round for effect in sent)
            chunks.extend(now for effect in sent if isinstance(effect.message, SnapshotChunk))
            persist_all(leader, now, leader.receive(now, A, AppendReply(3, 1, True, 21, heartbeat_round)))

    sent = persist_all(leader, now, leader.receive(now, B, AppendReply(3, 1, False, 0, 1)))
    assert [type(effect.message) for effect in sent if effect.to == B] == [SnapshotChunk]
    begun_at = now
    pass_time(begun_at + SECOND)
    assert len(chunks) <= 1 and leader.peers[B].outgoing_snapshot is not None
    pass_time(begun_at + 3 * SECOND)
    assert leader.peers[B].outgoing_snapshot is None and all(sent_at <= begun_at + SECOND for sent_at in chunks)
    sent = persist_all(leader, now, leader.receive(now, B, AppendReply(3, 1, False, 0, 1)))
    assert [type(effect.message) for effect in sent if effect.to == B] == [SnapshotChunk]
