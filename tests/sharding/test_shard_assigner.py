"""Versions of the key ranges that successive leaders send to edge machines."""

from kestrelplank.control.shard_assigner import CommitRecord, PushKeyRanges, ShardAssigner
from kestrelplank.control.shard_record import EMPTY_RECORD, read_record
from kestrelplank.sharding.effects import GrantKeyRange, ReleaseKeyRange, ServerCallResult
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.edge_view import EdgeView
from kestrelplank.transport.messages import KeyRangesVersion

NOW = 1000 * SECOND
SERVERS = [ShardServer(f"s-{number}", f"10.0.0.{number}:80", "z", 2, True, 0) for number in range(3)]


def new_leader(term, record):
    return ShardAssigner(NOW, "views", KeyRangesVersion(term), record, SERVERS, 500 * MILLISECOND, 1)


def tick(assigner, edge, now=NOW):
    """Carry out what is due: records are committed at once, calls answered (releases later than `NOW`)."""
    record = None
    for effect in assigner.tick(now, 0):
        if isinstance(effect, CommitRecord):
            record = read_record(effect.record)
            edge.receive(now, "m", assigner.handle_record_committed(now).message)
        elif isinstance(effect, PushKeyRanges):
            edge.receive(now, "m", effect.message)
        elif isinstance(effect, GrantKeyRange):
            assigner.handle_call_ended(now, effect, ServerCallResult(True, 200))
        elif isinstance(effect, ReleaseKeyRange):
            assigner.handle_call_ended(now, effect, ServerCallResult(True, 200 if now > NOW else None, "h"))
    return record


def without(name):
    return [server for server in SERVERS if server.name != name]


def servers_at(edge):
    return {holder.server for holder in edge.key_ranges["views"].key_ranges}


# Guards against requests held back for good: an edge had a release announced by the former leader, which the new one does
# not know of, and took the new leader's key ranges for older ones; or for the base of its changes.
def test_an_edge_follows_a_new_leader_that_does_not_know_of_an_announced_release():
    edge = EdgeView("edge-1", ())
    former = new_leader(1, EMPTY_RECORD)
    edge.receive(NOW, "m", former.full_update())
    record = tick(former, edge)
    assert servers_at(edge) == {"s-0", "s-1", "s-2"}
    former.handle_server_list(NOW, without("s-1"))  # the platform does not list it for a moment
    tick(former, edge)
    assert servers_at(edge) == {"s-0", "", "s-2"}
    new = new_leader(2, record)
    edge.receive(NOW, "m", new.full_update())
    assert servers_at(edge) == {"s-0", "s-1", "s-2"}
    new.handle_server_list(NOW, without("s-2"))  # as many announcements as the former leader made
    tick(new, edge)
    assert servers_at(edge) == {"s-0", "s-1", ""}
    tick(new, edge, NOW + 2 * SECOND)  # the releases are sent again, and answered
    tick(new, edge, NOW + 2 * SECOND)
    assert servers_at(edge) == {"s-0", "s-1"}
