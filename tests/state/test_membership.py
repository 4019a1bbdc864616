from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.state.membership import DetectorSettings, Liveness, Membership
from kestrelplank.state.membership_datagram import (
    MAX_DATAGRAM_BYTES,
    MalformedDatagramError,
    ZoneSums,
    decode,
    encode,
)

MS, S = 1_000_000, 1_000_000_000
EVERY = DetectorSettings().heartbeat_interval_ns


class Net:
    """Conductors and the datagrams between them, on a clock of the test's: lost, late, twice, in another order."""

    def __init__(self, count, seed=1, loss=0.0, late=(3 * MS, 25 * MS), twice=0.0):
        self.random, self.loss, self.late, self.twice, self.now = Random(seed), loss, late, twice, 0
        self.count, self.cut = count, set()  # (from, to) that nothing passes
        self.members = {number: Membership(0, number, 1, count, DetectorSettings()) for number in range(count)}
        self.under_way, self.order, self.bytes = [], 0, 0

    def run(self, until, step=10 * MS):
        while self.now < until:
            self.now += step
            for number, member in self.members.items():
                body = member.tick(self.now)
                if body is not None:
                    self.send(number, body)
            due = [one for one in self.under_way if one[0] <= self.now]
            self.under_way = [one for one in self.under_way if one[0] > self.now]
            for _, _, to, body in sorted(due):
                if to in self.members:
                    self.members[to].receive(self.now, body)

    def send(self, number, body):
        for to in range(self.count):
            if to != number and (number, to) not in self.cut:
                self.bytes += len(body)
                for _ in range(1 + (self.random.random() < self.twice)):
                    if self.random.random() >= self.loss:
                        self.order += 1
                        self.under_way.append((self.now + self.random.randint(*self.late), self.order, to, body))

    def restart(self, number, incarnation):
        self.members[number] = Membership(self.now, number, incarnation, self.count, DetectorSettings())


@pytest.mark.parametrize("count", [2, 3, 12, 40])
def test_all_know_of_all_and_a_death_is_seen_by_all_within_seconds(count):
    net = Net(count, loss=0.05)
    net.run(5 * S)
    assert all(member.view(net.now).alive == tuple(range(count)) for member in net.members.values())
    del net.members[0]
    net.run(10 * S)
    assert all(member.liveness(net.now, 0) == Liveness.DEAD for member in net.members.values())
    assert all(member.view(net.now).alive == tuple(range(1, count)) for member in net.members.values())


def test_with_nothing_coming_at_all_a_conductor_knows_itself():
    alone = Membership(0, 1, 1, 3, DetectorSettings())
    for at in range(0, 60):
        alone.tick(at * S)
    assert (
        alone.view(60 * S) == (1, (1,))
        and alone.liveness(60 * S, 0) == Liveness.UNKNOWN
        and alone.zone_sums(60 * S, S) == {}
    )


def test_a_way_that_is_cut_one_way_makes_no_death_while_a_third_hears_both():
    net = Net(3)
    net.run(5 * S)
    net.cut = {(0, 1)}
    net.run(30 * S)
    assert (
        net.members[1].liveness(net.now, 0) == Liveness.ALIVE and net.members[0].liveness(net.now, 1) == Liveness.ALIVE
    )


def test_messages_lost_exactly_during_a_loss_are_a_death_and_its_end_a_return_in_the_same_life():
    net = Net(2)
    net.run(5 * S)
    net.cut = {(0, 1), (1, 0)}
    net.run(9 * S)
    versions = [net.members[number].view(net.now) for number in range(2)]
    assert [view.alive for view in versions] == [(0,), (1,)]
    net.cut = set()
    net.run(11 * S)
    assert [net.members[number].view(net.now).alive for number in range(2)] == [(0, 1)] * 2
    assert all(net.members[number].view(net.now).version > versions[number].version for number in range(2))


def test_a_former_incarnation_is_never_believed_and_a_new_one_at_once():
    net = Net(2)
    net.run(3 * S)
    old = encode(0, [(0, 1, 10_000)], [ZoneSums(0, 99, 99, 9)])
    net.restart(0, 7)
    net.run(4 * S)
    seen = net.members[1]
    assert seen._members[0].incarnation == 7 and not seen.receive(net.now, old)
    assert seen._members[0].incarnation == 7 and seen.zone_sums(net.now, S) == {}


def test_what_comes_twice_or_late_is_nothing_new_and_sums_do_not_go_back():
    first, second = (encode(0, [(0, 1, heartbeat)], [ZoneSums(0, heartbeat, 1, 1)]) for heartbeat in (1, 2))
    member = Membership(0, 1, 1, 2, DetectorSettings())
    assert member.receive(0, second) and not member.receive(1, first) and not member.receive(2, second)
    assert member.zone_sums(2, S) == {0: [ZoneSums(0, 2, 1, 1)]} and member.zone_sums(2 * S, S) == {}


def test_a_steady_member_is_suspected_before_it_is_dead():
    net = Net(2)
    net.run(10 * S)
    del net.members[0]
    seen = {net.members[1].liveness(net.now + at * MS, 0): at for at in range(3000, 0, -5)}
    assert seen[Liveness.ALIVE] < seen[Liveness.SUSPECTED] < seen[Liveness.DEAD] < 2000


@pytest.mark.parametrize("loss", [0.1, 0.2, 0.3])
def test_loss_alone_makes_no_deaths_among_three(loss):
    for seed in range(3):
        net, false = Net(3, seed, loss=loss, twice=0.1, late=(3 * MS, 400 * MS)), 0
        for at in range(5, 40):
            net.run(at * S)
            false += sum(
                member.liveness(net.now, other) == Liveness.DEAD
                for member in net.members.values()
                for other in range(3)
            )
        assert false <= (1 if loss < 0.3 else 3)


@pytest.mark.parametrize("count", [2, 40])
def test_datagrams_are_short_and_everybody_is_named_in_turn(count):
    net = Net(count)
    zones = [ZoneSums(zone, 70_000, -3, 5) for zone in range(9)]
    for member in net.members.values():
        member.set_zone_sums(zones)
    net.run(10 * S)
    body = net.members[0].tick(net.now + S)
    sender, members, sums = decode(body)
    assert (
        len(body) <= MAX_DATAGRAM_BYTES and sender == 0 and members[0][0] == 0 and sums[0] == ZoneSums(0, 65535, 0, 5)
    )
    named = {
        number for _ in range(50) for number, _, _ in decode(net.members[0].tick(net.now + (2 + _) * S) or body)[1]
    }
    assert len(named) >= 1


@pytest.mark.parametrize(
    "body, says",
    [
        (b"", "0 bytes"),
        (b"\x02" + b"\x00" * 20, "format version 2"),
        (encode(0, [(0, 1, 1)], [])[:-1], "length"),
        (encode(1, [(1, 1, 1)], []), "unexpected sender 1"),
        (encode(9, [(9, 1, 1)], []), "unexpected sender 9"),
        (encode(0, [(2, 1, 1)], []), "unexpected sender 0"),
        (encode(0, [(0, 1, 1), (9, 1, 1)], []), "names a member"),
        (encode(0, [], []), "length"),
    ],
)
def test_what_is_no_message_is_refused_and_nothing_is_taken(body, says):
    member = Membership(0, 1, 1, 3, DetectorSettings())
    with pytest.raises(MalformedDatagramError, match=says):
        member.receive(0, body)
    assert member.liveness(0, 0) == Liveness.UNKNOWN


@given(some.binary(max_size=80))
def test_no_bytes_raise_anything_but_malformed(body):
    try:
        Membership(0, 1, 1, 3, DetectorSettings()).receive(0, body)
    except MalformedDatagramError:
        pass


messages = some.builds(
    lambda life, heartbeat, others: encode(0, [(0, life, heartbeat), *others], []),
    some.integers(1, 3),
    some.integers(1, 9),
    some.lists(some.tuples(some.integers(1, 3), some.integers(1, 3), some.integers(1, 9)), max_size=3),
)


@given(some.lists(some.tuples(messages, some.integers(0, 3 * S)), max_size=30))
def test_views_incarnations_and_heartbeats_never_go_back(steps):
    member, now, version, known = Membership(0, 1, 1, 4, DetectorSettings()), 0, 0, {}
    for body, wait in steps:
        now += wait
        member.receive(now, body)
        view = member.view(now)
        assert view.version >= version and 1 in view.alive
        version = view.version
        for number, held in member._members.items():
            assert (held.incarnation, held.heartbeat) >= known.get(number, (0, 0)) and number != 1
            known[number] = held.incarnation, held.heartbeat
