"""Lines by themselves: fences that servers have seen, lines joined, what is told of keys without a holder."""

import pytest

from kestrelplank.sharding.key_ranges import FREE, HELD, HOLD, KEYS, LEAVING, SETTLE, KeyRanges, Server, runs_out
from kestrelplank.sharding.placement import Placement

S = 1_000_000_000
NOW = 100 * S


def server(name, **more):
    return Server(
        **{"name": name, "address": f"{name}:80", "zone": "z", "slots": 2, "ready": True, "warm_at": 0, **more}
    )


def interlocking(names=("s", "t"), pieces=2, found=None, ballot=1):
    lines = KeyRanges(NOW, ballot, found)
    if found is None:
        lines.divide(pieces)
    lines.listed(NOW, [server(name) for name in names])
    return lines


def settle(lines, now, answer=lambda word, line: (200, "h" if word == "release" else None), most=99):
    """Carries out what follows, answers at once, until nothing does. Returns the effects."""
    seen = []
    for _ in range(most):
        effects = lines.tick(now)
        if not effects:
            return seen
        for effect in effects:
            seen.append(effect)
            if effect[0] == "lay":
                lines.laid(now)
            elif effect[0] in ("grant", "release"):
                lines.called(now, effect[0], effect[3], True, *answer(effect[0], effect[3]))
    return seen


@pytest.mark.parametrize("seen", [1, 5_000_000, 77_000_000_000])
def test_fences_after_everything_was_lost_but_the_servers_live(seen):
    lines, fences = interlocking(), {"s": seen, "t": seen}

    def answer(word, line):
        if line.fence < fences[line.server]:
            return 409, None
        fences[line.server] = line.fence
        return 200, None

    for line, name in zip(lines.lines, ("s", "t")):
        lines.give(line, lines.servers[name])
    settle(lines, NOW, answer)
    assert [(line.server, line.state, line.until) for line in lines.lines] == [
        (name, HELD, runs_out(NOW)) for name in ("s", "t")
    ]
    # Who decides next has a higher fence yet, though its ballot says little.
    assert interlocking(found=lines.record(), ballot=2).fence > max(fences.values())


def test_neighbours_of_one_server_become_one_line_under_a_fence_above_both():
    lines = interlocking(names=("s",))
    for line in lines.lines:
        lines.give(line, lines.servers["s"])
    assert not lines.joinable(*lines.lines)  # not laid down yet
    settle(lines, NOW)
    one, other = lines.lines
    highest = max(one.fence, other.fence)
    lines.join(one, other)
    effects = settle(lines, NOW)
    assert [effect[0] for effect in effects] == ["lay", "grant"]  # not renewed before a majority knows it
    assert lines.record() == [[0, KEYS - 1, "s", "s:80", highest + 1, None]]


def test_a_line_that_leaves_is_told_before_its_release_and_the_time_without_holder_after_its_grant():
    lines = interlocking()
    for line in lines.lines:
        lines.give(line, lines.servers["s"])
    settle(lines, NOW)
    line = lines.lines[0]
    lines.leave(NOW, line, "t")
    assert [effect[0] for effect in settle(lines, NOW)] == ["leaving", "release"] and line.state == FREE
    lines.give(line, lines.servers["t"])
    told = [effect for effect in settle(lines, NOW + S // 4) if effect[0] == "bare"]
    assert told == [("bare", line, S // 4)] and lines.bare == S // 4 * KEYS // 2 and line.bare_at is None


def test_a_release_that_is_never_answered_is_waited_for_and_no_longer_than_the_hold():
    lines = interlocking(names=("s", "t"), pieces=1)
    lines.give(lines.lines[0], lines.servers["s"])
    settle(lines, NOW)
    lines.leave(NOW, lines.lines[0], "t")
    now = NOW
    while lines.lines[0].state == LEAVING:
        for effect in lines.tick(now):
            if effect[0] == "release":
                lines.called(now, "release", effect[3], True, None, None)
        now += S // 20
    assert HOLD * 1.02 <= now - NOW <= HOLD * 1.02 + S // 5


def test_keys_that_nobody_knows_anything_of_are_dealt_out_evenly_neighbours_apart():
    lines = interlocking(names=(), pieces=24)
    lines.listed(NOW, [server("s"), server("t", slots=4), server("gone", ready=False)])
    Placement(NOW, 1, lines, S).turn(NOW)
    names = [line.server for line in lines.lines]
    assert names.count("s") == 8 and names.count("t") == 16 and "s s" not in " ".join(names)


def test_the_answer_of_a_server_that_is_gone_counts_for_nothing():
    """Guards against a grant that is out when another life stands at the address: its answer would have been taken for
    that of the server that gets the keys next."""
    lines = interlocking(pieces=1)
    line = lines.lines[0]
    lines.give(line, lines.servers["s"])
    effects = lines.tick(NOW)
    lines.laid(NOW)
    assert [effect[0] for effect in effects + lines.tick(NOW)] == ["lay", "grant"]
    lines.listed(NOW, [server("u", address="s:80"), server("t")])
    assert line.state == FREE
    lines.give(line, lines.servers["t"])
    lines.tick(NOW)
    lines.laid(NOW)
    assert not [effect for effect in lines.tick(NOW) if effect[0] == "grant"]  # one call at a time
    lines.called(NOW + S, "grant", line, True, 200, None)
    assert line.until == 0 and line.bare_at == NOW
    assert [effect[1] for effect in lines.tick(NOW + S) if effect[0] == "grant"] == ["t"]
    lines.called(NOW + S, "grant", line, True, 200, None)
    assert line.until == runs_out(NOW + S) and line.bare_at is None


@pytest.mark.parametrize("status, handover", [(200, None), (500, "h"), (409, "h"), (None, None)])
def test_only_its_own_answer_ends_a_release(status, handover):
    """Every release is answered with a handover: a 200 without one is an older grant's, come late."""
    lines = interlocking(pieces=1)
    line = lines.lines[0]
    lines.give(line, lines.servers["s"])
    settle(lines, NOW)
    lines.leave(NOW, line, "t")
    assert [effect[0] for effect in lines.tick(NOW)] == ["leaving", "release"]
    lines.called(NOW + S, "release", line, True, status, handover)
    assert line.state == LEAVING and line.due > NOW
    assert [effect[0] for effect in lines.tick(line.due)] == ["release"]
    lines.called(line.due, "release", line, True, 200, "h")
    assert line.state == FREE and line.handover == "h"


@pytest.mark.parametrize(
    "sent, status, may_hold", [(True, None, True), (True, 500, True), (False, None, False), (True, 421, False)]
)
def test_a_grant_that_may_have_arrived_may_hold_the_keys(sent, status, may_hold):
    lines = interlocking(pieces=1)
    line = lines.lines[0]
    lines.give(line, lines.servers["s"])
    lines.tick(NOW)
    lines.laid(NOW)
    lines.tick(NOW)
    lines.called(NOW, "grant", line, sent, status, None)
    assert line.until == (runs_out(NOW + SETTLE) if may_hold else 0)


def test_a_line_that_stands_still_is_told_once():
    lines = interlocking(pieces=1)
    line = lines.lines[0]
    lines.give(line, lines.servers["s"])
    settle(lines, NOW)
    lines.listed(NOW, [server("t")])  # it is gone, and may hold its keys yet
    assert lines.standing_still(NOW + 9 * S) == []
    assert lines.standing_still(NOW + 11 * S) == [line] and lines.standing_still(NOW + 12 * S) == []
