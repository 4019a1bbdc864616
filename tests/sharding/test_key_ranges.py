"""Key ranges without placement: fencing tokens, merges, releases, leases, and reports on unowned keys."""

import pytest

from kestrelplank.sharding.effects import (
    GrantKeyRange,
    KeyRangeReleasing,
    KeyRangeStalled,
    KeyRangeUnownedFor,
    RecordKeyRanges,
    ReleaseKeyRange,
    ServerCallResult,
)
from kestrelplank.sharding.key_range import KEY_COUNT, KeyRangeState
from kestrelplank.sharding.key_ranges import KeyRanges
from kestrelplank.sharding.lease_terms import LONG_LEASE_NS, LeaseTerms
from kestrelplank.sharding.placement import Placement
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.sharding.timing import LATE_DELIVERY_NS, LEASE_DURATION_NS, latest_lease_end
from kestrelplank.time_units import SECOND

NOW = 100 * SECOND
SHORT, LONG = LeaseTerms(LEASE_DURATION_NS, SECOND), LeaseTerms(LONG_LEASE_NS, SECOND)
GRANTED, RELEASED = ServerCallResult(True, 200), ServerCallResult(True, 200, "h")


def server(name, **changes):
    return ShardServer(
        **{"name": name, "address": f"{name}:80", "zone": "z", "slots": 2, "ready": True, "warming_until": 0, **changes}
    )


def key_ranges_over(names=("s", "t"), count=2, recorded=None, term=1):
    """Key ranges with these servers; `count` unowned ones if nothing is `recorded`."""
    key_ranges = KeyRanges(NOW, term, recorded)
    if recorded is None:
        key_ranges.create_initial_ranges(count)
    key_ranges.handle_server_list(NOW, [server(name) for name in names])
    return key_ranges


def success_of(request):
    """The result of a call that the server accepts."""
    return RELEASED if isinstance(request, ReleaseKeyRange) else GRANTED


def tick_until_idle(key_ranges, now, result_of=success_of, max_ticks=99):
    """Tick until there are no more effects, with calls that end at once. Return all effects."""
    carried_out = []
    for _ in range(max_ticks):
        effects = key_ranges.tick(now)
        if not effects:
            return carried_out
        for effect in effects:
            carried_out.append(effect)
            match effect:
                case RecordKeyRanges():
                    key_ranges.handle_recorded(now)
                case GrantKeyRange() | ReleaseKeyRange():
                    key_ranges.handle_call_ended(now, effect, result_of(effect))
    return carried_out


def held_by(*names, servers=("s", "t")):
    """One key range for each name, held by that server."""
    key_ranges = key_ranges_over(servers, len(names))
    for key_range, name in zip(key_ranges.ranges, names):
        key_ranges.assign(key_range, key_ranges.servers[name])
    tick_until_idle(key_ranges, NOW)
    return key_ranges


def kinds(effects):
    return [type(effect) for effect in effects]


@pytest.mark.parametrize("seen_token", [1, 5_000_000, 77_000_000_000])
def test_fencing_tokens_rise_above_those_seen_by_servers_after_the_log_was_lost(seen_token):
    key_ranges, seen_tokens = key_ranges_over(), {"s": seen_token, "t": seen_token}

    def answer_by_seen_tokens(request):
        token = request.key_range.fencing_token
        if token < seen_tokens[request.server]:
            return ServerCallResult(True, 409)
        seen_tokens[request.server] = token
        return GRANTED

    for key_range, name in zip(key_ranges.ranges, ("s", "t")):
        key_ranges.assign(key_range, key_ranges.servers[name])
    tick_until_idle(key_ranges, NOW, answer_by_seen_tokens)
    assert [(keys.server, keys.state, keys.held_until) for keys in key_ranges.ranges] == [
        (name, KeyRangeState.HELD, latest_lease_end(NOW)) for name in ("s", "t")
    ]
    # The next leader's tokens are higher still, although its term is low.
    assert key_ranges_over(recorded=key_ranges.to_record(), term=2).highest_token > max(seen_tokens.values())


def test_merged_range_is_recorded_with_a_higher_token_before_it_is_renewed():
    key_ranges = key_ranges_over(names=("s",))
    for key_range in key_ranges.ranges:
        key_ranges.assign(key_range, key_ranges.servers["s"])
    assert not key_ranges.can_merge(*key_ranges.ranges)  # not recorded yet
    tick_until_idle(key_ranges, NOW)
    lower, upper = key_ranges.ranges
    highest = max(lower.fencing_token, upper.fencing_token)
    key_ranges.merge(lower, upper)
    effects = tick_until_idle(key_ranges, NOW)
    assert kinds(effects) == [RecordKeyRanges, GrantKeyRange]  # not renewed before it is recorded
    assert key_ranges.to_record() == [(0, KEY_COUNT - 1, "s", "s:80", highest + 1, None)]


def test_release_is_announced_before_it_is_sent_and_unowned_time_is_reported_after_the_next_grant():
    key_ranges = held_by("s", "s")
    key_range = key_ranges.ranges[0]
    key_ranges.start_release(NOW, key_range, "t")
    assert kinds(tick_until_idle(key_ranges, NOW)) == [KeyRangeReleasing, ReleaseKeyRange]
    assert key_range.state is KeyRangeState.UNOWNED
    key_ranges.assign(key_range, key_ranges.servers["t"])
    effects = tick_until_idle(key_ranges, NOW + SECOND // 4)
    assert [effect for effect in effects if isinstance(effect, KeyRangeUnownedFor)] == [
        KeyRangeUnownedFor(key_range, SECOND // 4)
    ]
    assert key_ranges.unowned_key_ns == SECOND // 4 * KEY_COUNT // 2 and key_range.unowned_since is None


def test_unanswered_release_ends_when_the_lease_ends():
    key_ranges = held_by("s")
    key_range = key_ranges.ranges[0]
    key_ranges.start_release(NOW, key_range, "t")
    now = NOW
    while key_range.state is KeyRangeState.RELEASING:
        for effect in key_ranges.tick(now):
            if isinstance(effect, ReleaseKeyRange):
                key_ranges.handle_call_ended(now, effect, ServerCallResult(True))
        now += SECOND // 20
    assert LEASE_DURATION_NS * 1.02 <= now - NOW <= LEASE_DURATION_NS * 1.02 + SECOND // 5


def test_initial_ranges_are_spread_by_slots_with_neighbours_apart():
    key_ranges = key_ranges_over(names=(), count=24)
    key_ranges.handle_server_list(NOW, [server("s"), server("t", slots=4), server("gone", ready=False)])
    Placement(NOW, 1, key_ranges, SECOND).tick(NOW)
    names = [key_range.server for key_range in key_ranges.ranges]
    assert names.count("s") == 8 and names.count("t") == 16 and "s s" not in " ".join(names)


def test_answer_of_a_replaced_server_is_ignored():
    """Guards against a grant in flight while its server is replaced: its answer must not count for the next holder."""
    key_ranges = key_ranges_over(count=1)
    key_range = key_ranges.ranges[0]
    key_ranges.assign(key_range, key_ranges.servers["s"])
    effects = key_ranges.tick(NOW)
    key_ranges.handle_recorded(NOW)
    effects += key_ranges.tick(NOW)
    assert kinds(effects) == [RecordKeyRanges, GrantKeyRange]
    key_ranges.handle_server_list(NOW, [server("u", address="s:80"), server("t")])
    assert key_range.state is KeyRangeState.UNOWNED
    key_ranges.assign(key_range, key_ranges.servers["t"])
    key_ranges.tick(NOW)
    key_ranges.handle_recorded(NOW)
    assert GrantKeyRange not in kinds(key_ranges.tick(NOW))  # one call at a time
    key_ranges.handle_call_ended(NOW + SECOND, effects[1], GRANTED)
    assert key_range.held_until == 0 and key_range.unowned_since == NOW
    grants = [effect for effect in key_ranges.tick(NOW + SECOND) if isinstance(effect, GrantKeyRange)]
    assert [grant.server for grant in grants] == ["t"]
    key_ranges.handle_call_ended(NOW + SECOND, grants[0], GRANTED)
    assert key_range.held_until == latest_lease_end(NOW + SECOND) and key_range.unowned_since is None


@pytest.mark.parametrize("status, handover", [(200, None), (500, "h"), (409, "h"), (None, None)])
def test_release_ends_only_with_its_own_answer(status, handover):
    """Every release is answered with a handover: a 200 without one is a late answer to an older grant."""
    key_ranges = held_by("s")
    key_range = key_ranges.ranges[0]
    key_ranges.start_release(NOW, key_range, "t")
    effects = key_ranges.tick(NOW)
    assert kinds(effects) == [KeyRangeReleasing, ReleaseKeyRange]
    key_ranges.handle_call_ended(NOW + SECOND, effects[1], ServerCallResult(True, status, handover))
    assert key_range.state is KeyRangeState.RELEASING and key_range.next_call_at > NOW
    effects = key_ranges.tick(key_range.next_call_at)
    assert kinds(effects) == [ReleaseKeyRange]
    key_ranges.handle_call_ended(key_range.next_call_at, effects[0], RELEASED)
    assert key_range.state is KeyRangeState.UNOWNED and key_range.handover == "h"


@pytest.mark.parametrize(
    "sent, status, may_hold",
    [
        (True, None, True),
        (False, None, False),
        (True, 400, False),
        (True, 409, False),
        *((True, status, True) for status in (408, 421, 429, 500, 503)),  # no refusals of a grant
    ],
)
def test_grant_that_may_have_arrived_counts_as_a_lease(sent, status, may_hold):
    key_ranges = key_ranges_over(count=1)
    key_range = key_ranges.ranges[0]
    key_ranges.assign(key_range, key_ranges.servers["s"])
    key_ranges.tick(NOW)
    key_ranges.handle_recorded(NOW)
    (grant,) = key_ranges.tick(NOW)
    key_ranges.handle_call_ended(NOW, grant, ServerCallResult(sent, status))
    assert key_range.held_until == (latest_lease_end(NOW + LATE_DELIVERY_NS) if may_hold else 0)


def test_a_stalled_range_is_reported_once():
    key_ranges = held_by("s")
    key_range = key_ranges.ranges[0]
    key_ranges.handle_server_list(NOW, [server("t")])  # its server is gone, and may still hold its keys
    assert key_ranges.newly_stalled(NOW + 9 * SECOND) == []
    assert key_ranges.newly_stalled(NOW + 11 * SECOND) == [KeyRangeStalled(key_range)]
    assert key_ranges.newly_stalled(NOW + 12 * SECOND) == []


def test_assigning_a_range_clears_its_successor():
    """Guards against repeating a finished move after its new server is gone."""
    key_ranges = held_by("s")
    (key_range,) = key_ranges.ranges
    key_ranges.start_release(NOW, key_range, "t")
    tick_until_idle(key_ranges, NOW)
    assert key_range.state is KeyRangeState.UNOWNED and key_range.successor == "t"
    key_ranges.assign(key_range, key_ranges.servers["t"])
    assert key_range.successor is None
    tick_until_idle(key_ranges, NOW)
    key_ranges.handle_server_list(NOW + SECOND, [server("s"), server("u", address="t:80")])
    assert key_ranges.assignable() == [key_range] and key_range.successor is None


def held_with_terms(terms, count=2):
    """Key ranges held by one server, with these lease terms set for further grants."""
    key_ranges = held_by(*["s"] * count)
    key_ranges.terms = terms
    return key_ranges


def grants(effects):
    return [effect for effect in effects if isinstance(effect, GrantKeyRange)]


def test_longer_leases_are_granted_only_after_their_length_is_recorded():
    """A new leader waits for the recorded lease length, so it must not be shorter than a granted lease."""
    key_ranges = held_with_terms(LONG)
    now = NOW + SECOND
    effects = key_ranges.tick(now)
    assert [effect.max_lease_ns for effect in effects if isinstance(effect, RecordKeyRanges)] == [LONG.duration_ns]
    assert {grant.lease_ns for grant in grants(effects)} == {LEASE_DURATION_NS}
    for grant in grants(effects):
        key_ranges.handle_call_ended(now, grant, GRANTED)
    key_ranges.handle_recorded(now)
    now += SECOND
    assert {grant.lease_ns for grant in grants(tick_until_idle(key_ranges, now))} == {LONG.duration_ns}
    assert all(key_range.held_until == latest_lease_end(now, LONG.duration_ns) for key_range in key_ranges.ranges)


def test_recorded_lease_length_is_lowered_only_after_longer_leases_have_ended():
    key_ranges = held_with_terms(LONG)
    tick_until_idle(key_ranges, NOW + SECOND)
    tick_until_idle(key_ranges, NOW + 2 * SECOND)
    key_ranges.terms = SHORT
    recorded, now = [], NOW + 2 * SECOND
    while now < NOW + 20 * SECOND:
        now += SECOND
        key_ranges.ranges[0].fencing_token += 1  # something else to record, each second
        key_ranges.ranges[0].recorded = False
        effects = tick_until_idle(key_ranges, now)
        assert {grant.lease_ns for grant in grants(effects)} <= {LEASE_DURATION_NS}
        lengths = [effect.max_lease_ns for effect in effects if isinstance(effect, RecordKeyRanges)]
        recorded += [(now, length) for length in lengths]
    longest_end = latest_lease_end(NOW + 2 * SECOND, LONG.duration_ns)
    assert all(length == LONG.duration_ns for at, length in recorded if at < longest_end)
    assert recorded[-1][1] == LEASE_DURATION_NS


def test_new_leader_waits_for_the_recorded_lease_length():
    recorded = held_by("s", "t").to_record()
    for length in (LEASE_DURATION_NS, LONG.duration_ns):
        key_ranges = KeyRanges(NOW, 2, recorded, length)
        assert all(key_range.held_until >= latest_lease_end(NOW, length) for key_range in key_ranges.ranges)
