"""Seeded random faults on a complete cluster: all invariants (`invariants`) hold after every step; once the faults end, all
members catch up and orders are acknowledged again."""

from random import Random

import pytest

from consensus.simulated_cluster import IN_FORCE, SUPERSEDED, Cluster, Conditions
from kestrelplank.time_units import MILLISECOND, SECOND

MAX_ORDERS_IN_FLIGHT = 8
TEXTS_PER_VERSION = 3  # different texts that operators send for one version


class History:
    """A cluster, operators that send orders continuously, and random temporary faults."""

    def __init__(self, seed: int, count: int = 3) -> None:
        self.random = Random(seed)
        self.cluster = Cluster(count, seed)
        self.count = count
        self.version = 0
        self.in_flight = 0
        self.faults = 0
        self.ended = False
        for machine in self.cluster.machines.values():
            machine.compact_after = self.random.choice((1, 4, 16, 64))

    def names(self) -> list[str]:
        return list(self.cluster.machines)

    def name(self) -> str:
        return self.random.choice(self.names())

    # Operators.

    def send_orders(self) -> None:
        """Send an order, usually with a new version, else with one that was used before."""
        if self.ended:
            return
        if self.in_flight < MAX_ORDERS_IN_FLIGHT:
            if self.random.random() < 0.7 or not self.version:
                self.version += self.random.randint(1, 3)
            version = max(1, self.version - self.random.choice((0, 0, 0, 1, 1, 5, 50)))
            self.in_flight += 1
            self.send(version, f"{version}-{self.random.randrange(TEXTS_PER_VERSION)}".encode(), 30)
        self.cluster.schedule(self.random.randrange(400 * MILLISECOND), self.send_orders)

    def send(self, version: int, text: bytes, attempts_left: int) -> None:
        """Send an order; retry up to `attempts_left` times until it is answered."""
        attempt = self.cluster.order(self.name(), version, text)

        def check_answer() -> None:
            if attempt.answer in (IN_FORCE, SUPERSEDED) or attempts_left == 0:
                self.in_flight -= 1
            else:
                self.send(version, text, attempts_left - 1)

        self.cluster.schedule(self.random.randint(100 * MILLISECOND, SECOND), check_answer)
        if self.random.random() < 0.2:
            self.cluster.read(self.name())

    # Faults.

    def inject_fault(self) -> None:
        """Begin a random fault, which ends by itself."""
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
            self.isolate,
            self.isolate_leader,
            self.hang,
            self.reset,
            self.change_conditions,
            self.hand_over,
        )
        self.random.choice(kinds)()
        self.cluster.schedule(self.random.randrange(2 * SECOND), self.inject_fault)

    def span(self, max_span: int = 6 * SECOND) -> int:
        """The duration of a fault in ns, usually short."""
        return int(self.random.choice((0.01, 0.1, 0.4, 1)) * self.random.randrange(max_span))

    def leader_name(self) -> str:
        leader = self.cluster.leader()
        return leader.address if leader else self.name()

    def kill(self, name: str, after: int) -> None:
        self.cluster.kill(name)
        self.cluster.schedule(after, lambda: self.cluster.machines[name].runs or self.cluster.start(name))

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
        """Lose a disk, unless another lost disk is not replaced yet: committed entries must stay on a majority of disks."""
        cluster = self.cluster
        committed = cluster.invariants.membership(cluster.initial_membership)
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
        self.cluster.schedule(self.span(), lambda: self.cluster.thaw(name))

    def freeze_leader(self) -> None:
        self.freeze(self.leader_name())

    def partition_pair(self) -> None:
        first, second = self.random.sample(self.names(), 2)
        self.cluster.partition(first, second, keep=self.random.random() < 0.3)
        self.cluster.schedule(self.span(), lambda: self.cluster.heal(first, second))

    def partition_one_way(self) -> None:
        first, second = self.random.sample(self.names(), 2)
        self.cluster.partition(first, second, both=False, keep=self.random.random() < 0.3)
        self.cluster.schedule(self.span(), lambda: self.cluster.heal(first, second))

    def isolate(self, name: str | None = None) -> None:
        inward, outward = self.random.choice(((True, True), (True, True), (True, False), (False, True)))
        self.cluster.isolate(name or self.name(), inward=inward, outward=outward, keep=self.random.random() < 0.3)
        self.cluster.schedule(self.span(20 * SECOND), self.cluster.heal)

    def isolate_leader(self) -> None:
        self.isolate(self.leader_name())

    def hang(self) -> None:
        name = self.name()
        self.cluster.hang(name)
        self.cluster.schedule(self.span(), lambda: self.cluster.hang(name, False))

    def reset(self) -> None:
        self.cluster.reset(*self.random.sample(self.names(), 2))

    def hand_over(self) -> None:
        """The leader transfers leadership."""
        leader = self.cluster.leader()
        if leader is not None and not leader.frozen:
            self.cluster.transfer(leader)

    def change_conditions(self) -> None:
        """Change the speed and reliability of links and disks."""
        choice = self.random.choice
        self.cluster.conditions = Conditions(
            delay=choice(
                ((200_000, 2 * MILLISECOND), (1 * MILLISECOND, 60 * MILLISECOND), (1 * MILLISECOND, 400 * MILLISECOND))
            ),
            loss=choice((0, 0, 0.02, 0.2)),
            duplication=choice((0, 0.05, 0.5)),
            late_arrival=choice((0, 0.5)),
            answer_loss=choice((0, 0.3)),
            write=choice(
                (
                    (1 * MILLISECOND, 6 * MILLISECOND),
                    (1 * MILLISECOND, 6 * MILLISECOND),
                    (30 * MILLISECOND, 200 * MILLISECOND),
                )
            ),
            write_failure=choice((0, 0, 0.3)),
        )

    # A complete history.

    def run(self, span: int) -> None:
        """Run with faults for `span` ns, then without: all members catch up, and an order is acknowledged."""
        cluster = self.cluster
        cluster.schedule(0, self.send_orders)
        cluster.schedule(SECOND + self.random.randrange(4 * SECOND), self.inject_fault)
        cluster.run(span)
        self.ended = True
        cluster.recover()
        self.version += 100
        assert cluster.put(self.version, b"in the end") == IN_FORCE
        cluster.until(cluster.caught_up)
        assert {machine.replica.text for machine in cluster.machines.values()} == {b"in the end"}


@pytest.mark.parametrize("seed", range(24))
def test_invariants_hold_under_random_faults_with_three_members(seed):
    History(seed).run(40 * SECOND)


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_random_faults_with_five_members(seed):
    History(1000 + seed, 5).run(30 * SECOND)


if __name__ == "__main__":
    import sys
    import time

    first, last, count, span = (int(figure) for figure in sys.argv[1:])
    began, orders = time.perf_counter(), 0
    for seed in range(first, last):
        history = History(seed, count)
        try:
            history.run(span * SECOND)
        except (AssertionError, ValueError, LookupError) as error:
            print("seed", seed, type(error).__name__, str(error)[:300], flush=True)
        orders += len(history.cluster.invariants.acknowledged)
    print(f"{last - first} histories of {count} for {span} s: {orders} orders, {time.perf_counter() - began:.0f} s")
