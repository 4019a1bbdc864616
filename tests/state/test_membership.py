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
HEARTBEAT_INTERVAL_NS = DetectorSettings().heartbeat_interval_ns


class Network:
    """Simulated assigners and their datagrams, which may be lost, late, duplicated or reordered."""

    def __init__(self, count, seed=1, loss=0.0, delay_ns=(3 * MS, 25 * MS), duplication=0.0):
        self.random, self.loss, self.delay_ns, self.duplication, self.now = Random(seed), loss, delay_ns, duplication, 0
        self.count, self.partitioned = count, set()  # (from, to) pairs whose datagrams are lost
        self.members = {number: Membership(0, number, 1, count, DetectorSettings()) for number in range(count)}
        self.in_flight, self.order, self.bytes = [], 0, 0

    def run(self, until, step=10 * MS):
        while self.now < until:
            self.now += step
            for number, member in self.members.items():
                body = member.tick(self.now)
                if body is not None:
                    self.send(number, body)
            due = [datagram for datagram in self.in_flight if datagram[0] <= self.now]
            self.in_flight = [datagram for datagram in self.in_flight if datagram[0] > self.now]
            for _, _, to, body in sorted(due):
                if to in self.members:
                    self.members[to].receive(self.now, body)

    def send(self, number, body):
        for to in range(self.count):
            if to != number and (number, to) not in self.partitioned:
                self.bytes += len(body)
                for _ in range(1 + (self.random.random() < self.duplication)):
                    if self.random.random() >= self.loss:
                        self.order += 1
                        self.in_flight.append((self.now + self.random.randint(*self.delay_ns), self.order, to, body))

    def restart(self, number, incarnation):
        self.members[number] = Membership(self.now, number, incarnation, self.count, DetectorSettings())


@pytest.mark.parametrize("count", [2, 3, 12, 40])
def test_all_members_see_each_other_and_detect_a_dead_member_within_seconds(count):
    network = Network(count, loss=0.05)
    network.run(5 * S)
    assert all(member.view(network.now).alive == tuple(range(count)) for member in network.members.values())
    del network.members[0]
    network.run(10 * S)
    assert all(member.liveness(network.now, 0) == Liveness.DEAD for member in network.members.values())
    assert all(member.view(network.now).alive == tuple(range(1, count)) for member in network.members.values())


def test_assigner_without_datagrams_knows_only_itself():
    member = Membership(0, 1, 1, 3, DetectorSettings())
    for at in range(0, 60):
        member.tick(at * S)
    assert (
        member.view(60 * S) == (1, (1,))
        and member.liveness(60 * S, 0) == Liveness.UNKNOWN
        and member.zone_sums(60 * S, S) == {}
    )


def test_one_way_partition_kills_no_member_while_a_third_member_hears_both():
    network = Network(3)
    network.run(5 * S)
    network.partitioned = {(0, 1)}
    network.run(30 * S)
    assert (
        network.members[1].liveness(network.now, 0) == Liveness.ALIVE
        and network.members[0].liveness(network.now, 1) == Liveness.ALIVE
    )


def test_partitioned_members_are_dead_and_return_with_the_same_incarnation():
    network = Network(2)
    network.run(5 * S)
    network.partitioned = {(0, 1), (1, 0)}
    network.run(9 * S)
    versions = [network.members[number].view(network.now) for number in range(2)]
    assert [view.alive for view in versions] == [(0,), (1,)]
    network.partitioned = set()
    network.run(11 * S)
    assert [network.members[number].view(network.now).alive for number in range(2)] == [(0, 1)] * 2
    assert all(network.members[number].view(network.now).version > versions[number].version for number in range(2))


def test_former_incarnation_is_ignored_and_new_one_accepted_at_once():
    network = Network(2)
    network.run(3 * S)
    old = encode(0, [(0, 1, 10_000)], [ZoneSums(0, 99, 99, 9)])
    network.restart(0, 7)
    network.run(4 * S)
    observer = network.members[1]
    assert observer._members[0].incarnation == 7 and not observer.receive(network.now, old)
    assert observer._members[0].incarnation == 7 and observer.zone_sums(network.now, S) == {}


def test_duplicate_or_late_datagram_is_not_new_and_does_not_replace_newer_sums():
    first, second = (encode(0, [(0, 1, heartbeat)], [ZoneSums(0, heartbeat, 1, 1)]) for heartbeat in (1, 2))
    member = Membership(0, 1, 1, 2, DetectorSettings())
    assert member.receive(0, second) and not member.receive(1, first) and not member.receive(2, second)
    assert member.zone_sums(2, S) == {0: [ZoneSums(0, 2, 1, 1)]} and member.zone_sums(2 * S, S) == {}


def test_member_is_suspected_before_it_is_dead():
    network = Network(2)
    network.run(10 * S)
    del network.members[0]
    last_ms = {
        network.members[1].liveness(network.now + silence_ms * MS, 0): silence_ms for silence_ms in range(3000, 0, -5)
    }
    assert last_ms[Liveness.ALIVE] < last_ms[Liveness.SUSPECTED] < last_ms[Liveness.DEAD] < 2000


@pytest.mark.parametrize("loss", [0.1, 0.2, 0.3])
def test_message_loss_causes_few_false_deaths_among_three_members(loss):
    for seed in range(3):
        network, false_deaths = Network(3, seed, loss=loss, duplication=0.1, delay_ns=(3 * MS, 400 * MS)), 0
        for at in range(5, 40):
            network.run(at * S)
            false_deaths += sum(
                member.liveness(network.now, other) == Liveness.DEAD
                for member in network.members.values()
                for other in range(3)
            )
        assert false_deaths <= (1 if loss < 0.3 else 3)


@pytest.mark.parametrize("count", [2, 40])
def test_datagrams_fit_the_size_limit_and_list_members_in_rotation(count):
    network = Network(count)
    zones = [ZoneSums(zone, 70_000, -3, 5) for zone in range(9)]
    for member in network.members.values():
        member.set_zone_sums(zones)
    network.run(10 * S)
    body = network.members[0].tick(network.now + S)
    sender, members, sums = decode(body)
    assert (
        len(body) <= MAX_DATAGRAM_BYTES and sender == 0 and members[0][0] == 0 and sums[0] == ZoneSums(0, 65535, 0, 5)
    )
    listed = {
        number
        for _ in range(50)
        for number, _, _ in decode(network.members[0].tick(network.now + (2 + _) * S) or body)[1]
    }
    assert len(listed) >= 1


@pytest.mark.parametrize(
    "body, message",
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
def test_invalid_datagram_is_rejected_and_changes_nothing(body, message):
    member = Membership(0, 1, 1, 3, DetectorSettings())
    with pytest.raises(MalformedDatagramError, match=message):
        member.receive(0, body)
    assert member.liveness(0, 0) == Liveness.UNKNOWN


@given(some.binary(max_size=80))
def test_arbitrary_bytes_raise_only_malformed_datagram_error(body):
    try:
        Membership(0, 1, 1, 3, DetectorSettings()).receive(0, body)
    except MalformedDatagramError:
        pass


messages = some.builds(
    lambda incarnation, heartbeat, others: encode(0, [(0, incarnation, heartbeat), *others], []),
    some.integers(1, 3),
    some.integers(1, 9),
    some.lists(some.tuples(some.integers(1, 3), some.integers(1, 3), some.integers(1, 9)), max_size=3),
)


@given(some.lists(some.tuples(messages, some.integers(0, 3 * S)), max_size=30))
def test_views_incarnations_and_heartbeats_never_decrease(steps):
    member, now, version, known = Membership(0, 1, 1, 4, DetectorSettings()), 0, 0, {}
    for body, wait in steps:
        now += wait
        member.receive(now, body)
        view = member.view(now)
        assert view.version >= version and 1 in view.alive
        version = view.version
        for number, state in member._members.items():
            assert (state.incarnation, state.heartbeat) >= known.get(number, (0, 0)) and number != 1
            known[number] = state.incarnation, state.heartbeat
