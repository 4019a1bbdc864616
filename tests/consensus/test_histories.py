"""Random histories of a whole cluster under all faults that are borne, each from one seed. Whatever happens, the
invariants of `invariants` hold after every step; after the faults everybody catches up, and orders are taken again."""

from random import Random

import pytest

from consensus.simulated_cluster import IN_FORCE, OVERTAKEN, Cluster, Conditions
from kestrelplank.time_units import MILLISECOND, SECOND

MAX_ORDERS_IN_FLIGHT = 8  # orders
TEXTS_PER_VERSION = 3  # that operators send under one number


class History:
    """One cluster, operators that send orders all the time, and faults that come and go."""

    def __init__(self, seed: int, count: int = 3) -> None:
        self.random = Random(seed)
        self.cluster = Cluster(count, seed)
        self.count = count
        self.version = 0
        self.under_way = 0
        self.faults = 0
        self.ended = False
        for machine in self.cluster.machines.values():
            machine.compact_after = self.random.choice((1, 4, 16, 64))

    def names(self) -> list[str]:
        return list(self.cluster.machines)

    def name(self) -> str:
        return self.random.choice(self.names())

    # Operators.

    def operate(self) -> None:
        """An order begins, most often under a new number, else under one that was used before."""
        if self.ended:
            return
        if self.under_way < MAX_ORDERS_IN_FLIGHT:
            if self.random.random() < 0.7 or not self.version:
                self.version += self.random.randint(1, 3)
            version = max(1, self.version - self.random.choice((0, 0, 0, 1, 1, 5, 50)))
            self.under_way += 1
            self.send(version, f"{version}-{self.random.randrange(TEXTS_PER_VERSION)}".encode(), 30)
        self.cluster.at(self.random.randrange(400 * MILLISECOND), self.operate)

    def send(self, version: int, text: bytes, left: int) -> None:
        """One attempt of an order; another follows until it is answered, for `left` times."""
        attempt = self.cluster.order(self.name(), version, text)

        def look() -> None:
            if attempt.answer in (IN_FORCE, OVERTAKEN) or left == 0:
                self.under_way -= 1
            else:
                self.send(version, text, left - 1)

        self.cluster.at(self.random.randint(100 * MILLISECOND, SECOND), look)
        if self.random.random() < 0.2:
            self.cluster.read(self.name())

    # Faults.

    def inject_fault(self) -> None:
        """One more fault begins; each ends by itself."""
        if self.ended:
            return
        self.faults += 1
        kinds = (
            self.kill_one,
            self.kill_one,
            self.kill_several,
            self.kill_leader,
            self.kill_all,
            self.wipe,
            self.freeze,
            self.freeze_leader,
            self.partition_pair,
            self.partition_one_way,
            self.partition_off,
            self.partition_leader_off,
            self.hang,
            self.reset,
            self.change_conditions,
            self.hand_over,
        )
        self.random.choice(kinds)()
        self.cluster.at(self.random.randrange(2 * SECOND), self.inject_fault)

    def span(self, most: int = 6 * SECOND) -> int:
        """How long a fault lasts: mostly short."""
        return int(self.random.choice((0.01, 0.1, 0.4, 1)) * self.random.randrange(most))

    def leader_name(self) -> str:
        leader = self.cluster.leader()
        return leader.address if leader else self.name()

    def kill(self, name: str, after: int) -> None:
        self.cluster.kill(name)
        self.cluster.at(after, lambda: self.cluster.machines[name].runs or self.cluster.start(name))

    def kill_one(self) -> None:
        self.kill(self.name(), self.span())

    def kill_leader(self) -> None:
        self.kill(self.leader_name(), self.span())

    def kill_several(self) -> None:
        for name in self.random.sample(self.names(), self.random.randint(2, self.count)):
            self.kill(name, self.span(3 * SECOND))

    def kill_all(self) -> None:
        after = self.span(3 * SECOND)
        for name in self.names():
            self.kill(name, after + self.random.randrange(300 * MILLISECOND))

    def wipe(self) -> None:
        """A disk is lost, if no other is: what a majority holds must not rest on fewer disks than that."""
        cluster = self.cluster
        committed = cluster.invariants.membership(cluster.first)
        known = {machine.identity for machine in cluster.machines.values()}
        if committed.joint or any(voter not in known for voter in committed.voters):
            return
        if any(machine.node and machine.node.epoch != committed.epoch for machine in cluster.machines.values()):
            return
        name = self.name()
        cluster.wipe(name)
        self.kill(name, self.span(3 * SECOND))

    def freeze(self, name: str | None = None) -> None:
        name = name or self.name()
        self.cluster.freeze(name)
        self.cluster.at(self.span(), lambda: self.cluster.thaw(name))

    def freeze_leader(self) -> None:
        self.freeze(self.leader_name())

    def partition_pair(self) -> None:
        one, other = self.random.sample(self.names(), 2)
        self.cluster.partition(one, other, keep=self.random.random() < 0.3)
        self.cluster.at(self.span(), lambda: self.cluster.heal(one, other))

    def partition_one_way(self) -> None:
        one, other = self.random.sample(self.names(), 2)
        self.cluster.partition(one, other, both=False, keep=self.random.random() < 0.3)
        self.cluster.at(self.span(), lambda: self.cluster.heal(one, other))

    def partition_off(self, name: str | None = None) -> None:
        inward, outward = self.random.choice(((True, True), (True, True), (True, False), (False, True)))
        self.cluster.isolate(name or self.name(), inward=inward, outward=outward, keep=self.random.random() < 0.3)
        self.cluster.at(self.span(20 * SECOND), self.cluster.heal)

    def partition_leader_off(self) -> None:
        self.partition_off(self.leader_name())

    def hang(self) -> None:
        name = self.name()
        self.cluster.hang(name)
        self.cluster.at(self.span(), lambda: self.cluster.hang(name, False))

    def reset(self) -> None:
        self.cluster.reset(*self.random.sample(self.names(), 2))

    def hand_over(self) -> None:
        """The leader gives up in order."""
        leader = self.cluster.leader()
        if leader is not None and not leader.frozen:
            self.cluster.transfer(leader)

    def change_conditions(self) -> None:
        """Links and disks become better or worse."""
        choice = self.random.choice
        self.cluster.conditions = Conditions(
            delay=choice(
                ((200_000, 2 * MILLISECOND), (1 * MILLISECOND, 60 * MILLISECOND), (1 * MILLISECOND, 400 * MILLISECOND))
            ),
            loss=choice((0, 0, 0.02, 0.2)),
            double=choice((0, 0.05, 0.5)),
            stray=choice((0, 0.5)),
            answer_loss=choice((0, 0.3)),
            write=choice(
                (
                    (1 * MILLISECOND, 6 * MILLISECOND),
                    (1 * MILLISECOND, 6 * MILLISECOND),
                    (30 * MILLISECOND, 200 * MILLISECOND),
                )
            ),
            refusal=choice((0, 0, 0.3)),
        )

    # A complete history.

    def play(self, span: int) -> None:
        """Faults for `span` ns, then calm: everybody catches up, and an order is taken."""
        cluster = self.cluster
        cluster.at(0, self.operate)
        cluster.at(SECOND + self.random.randrange(4 * SECOND), self.inject_fault)
        cluster.run(span)
        self.ended = True
        cluster.calm()
        self.version += 100
        assert cluster.put(self.version, b"in the end") == IN_FORCE
        cluster.until(cluster.caught_up)
        assert {machine.replica.text for machine in cluster.machines.values()} == {b"in the end"}


@pytest.mark.parametrize("seed", range(24))
def test_invariants_hold_under_random_faults_with_three_members(seed):
    History(seed).play(40 * SECOND)


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_random_faults_with_five_members(seed):
    History(1000 + seed, 5).play(30 * SECOND)


if __name__ == "__main__":
    import sys
    import time

    first, last, count, span = (int(figure) for figure in sys.argv[1:])
    began, orders = time.perf_counter(), 0
    for seed in range(first, last):
        history = History(seed, count)
        try:
            history.play(span * SECOND)
        except (AssertionError, ValueError, LookupError) as error:
            print("seed", seed, type(error).__name__, str(error)[:300], flush=True)
        orders += len(history.cluster.invariants.acknowledged)
    print(f"{last - first} histories of {count} for {span} s: {orders} orders, {time.perf_counter() - began:.0f} s")
