"""A simulated cluster whose leader carries out the membership policy, and losses before each point of a play.

A point is a delivery of a message or a durable write: between two points no member learns anything."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from consensus.simulated_cluster import IN_FORCE, Cluster, Machine
from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.log_entries import ChangeMembership
from kestrelplank.consensus.membership_planning import KnownMember, plan_membership, should_hand_over
from kestrelplank.time_units import SECOND

SYNC_TIMEOUT_NS = 4 * SECOND  # after which a newcomer has taken its place
GRACE_PERIOD_NS = 6 * SECOND  # between SIGTERM and the end of a process
RECOVERY_TIMEOUT_NS = 10 * SECOND
NO_POINT = 10**12


class ReplacingCluster(Cluster):
    """A cluster whose leader asks the policy five times a second.

    `counted`: machines `a`, `b` and so on that are named at the first start; `spare`: those after them, which a test
    starts. `losses`: how many are to be borne. `zones`: of machines, by address."""

    def __init__(
        self,
        counted: int = 3,
        losses: int = 1,
        seed: int = 1,
        *,
        spare: int = 2,
        zones: dict[str, str] | None = None,
        start: bool = True,
    ):
        super().__init__(counted, seed, spare=spare, start=start)
        self.target = 2 * losses + 1
        self.zones = zones or {}
        self.leaving: dict[str, None] = {}
        self.changes: list[ChangeMembership] = []  # as proposed by leaders
        self._led_since: dict[str, tuple[int, int]] = {}  # identity -> (term, when it began to lead, on its clock)
        self._followed: dict[str, tuple[str, int]] = {}  # identity -> (its last leader, when it heard that one)
        self.points = 0  # since `watch`
        self._strike_at, self._strike = NO_POINT, None

    # Points.

    def watch(self, strike_at: int = NO_POINT, strike: Callable[[], None] | None = None) -> None:
        """From now on count points; just before the one with that number, call `strike`."""
        self.points, self._strike_at, self._strike = 0, strike_at, strike

    def _point(self) -> None:
        if self.points == self._strike_at:
            self._strike()
        self.points += 1

    def _receive(self, machine, sender, message) -> None:
        self._point()
        if machine.runs:
            super()._receive(machine, sender, message)

    def _durable(self, machine, persist) -> None:
        self._point()
        if machine.runs:
            super()._durable(machine, persist)

    # The policy.

    def start(self, name: str, first: bool = False) -> None:
        self.leaving.pop(name, None)
        super().start(name, first)

    def terminate(self, name: str, grace: int = GRACE_PERIOD_NS) -> None:
        """SIGTERM: the member says that it is leaving, and ends after `grace`."""
        self.note("leaves", name)
        self.leaving[name] = None
        process = self.machines[name].process
        self.at(grace, lambda: self.machines[name].process == process and self.kill(name))

    def discover(self, machine: Machine) -> None:
        node, now = machine.node, machine.clock(self.time)
        if not node.leads(now):
            if node.leader not in ("", machine.identity):
                self._followed[machine.identity] = (node.leader, node.leader_heard_at)
            return
        self._keep_learners(machine)
        known_members = self._known_members(machine)
        if should_hand_over(now, node.membership, known_members, machine.identity):
            self.transfer(machine)
            return
        if node.log.membership_index > node.commit_index:
            return
        planned = plan_membership(now, node.membership, known_members, machine.identity, self.target)
        if planned is not None:
            self._propose(machine, ChangeMembership(planned))

    def _propose(self, machine: Machine, change: ChangeMembership) -> None:
        self.note("proposes", machine.identity, change)
        index, effects = machine.node.propose(machine.clock(self.time), change)
        self.invariants.need(index is not None, machine.identity, "may not propose", change)
        self.changes.append(change)
        self.carry_out(machine, effects)

    def _keep_learners(self, machine: Machine) -> None:
        """The leader sends its log to all that run, and to nobody else but those that count."""
        node = machine.node
        counted = node.membership.all_voters()
        running = [
            other.identity for other in self.running() if self.reach(machine, other) and other.identity not in counted
        ]
        for identity in running:
            node.add_learner(identity)
        for identity in list(node.learners):
            if identity not in running:
                node.remove_learner(identity)

    def _known_members(self, machine: Machine) -> list[KnownMember]:
        """What the leader at `machine` knows of itself and the others."""
        node, now = machine.node, machine.clock(self.time)
        if self._led_since.get(machine.identity, (0, 0))[0] != node.term:
            self._led_since[machine.identity] = (node.term, now)
        found = [self._known_member(machine.identity, now, caught_up=True)]
        for identity, peer in node.peers.items():
            heard_at = peer.heard_at
            if identity in node.membership.all_voters():
                heard_at = max(heard_at, self._heard_before_election(machine, identity))
            found.append(self._known_member(identity, heard_at, peer.caught_up(node.commit_index)))
        return found

    def _heard_before_election(self, machine: Machine, voter: str) -> int:
        """When the leader heard a voter before it was elected: the former leader's heartbeats; else its election."""
        former, heard_at = self._followed.get(machine.identity, ("", 0))
        return heard_at if voter == former else self._led_since[machine.identity][1]

    def _known_member(self, identity: str, heard_at: int, caught_up: bool) -> KnownMember:
        name = address_of(identity)
        zone = self.zones.get(name, "")
        return KnownMember(identity, zone, True, name in self.leaving, heard_at, caught_up)

    # What tests ask.

    def voters(self) -> str:
        """Addresses of the voters by the newest committed membership, in order, joined."""
        membership = self.invariants.membership(self.first)
        return "".join(sorted(address_of(voter) for voter in membership.voters))

    def has_voters(self, voters: str) -> bool:
        """Whether exactly these count and run, no change is under way, and all have applied all."""
        membership = self.invariants.membership(self.first)
        if membership.joint or self.voters() != voters or not self.caught_up():
            return False
        return all(self.machines[address_of(voter)].identity == voter for voter in membership.voters)

    def has_replaced(self, newcomer: str) -> bool:
        """Whether a change that took `newcomer` in is over."""
        return newcomer in self.voters() and self.has_voters(self.voters())

    def until_voters(self, voters: str, within: int = RECOVERY_TIMEOUT_NS) -> None:
        self.until(lambda: self.has_voters(voters), within)

    def until_replaced(self, newcomer: str, within: int = RECOVERY_TIMEOUT_NS) -> None:
        self.until(lambda: self.has_replaced(newcomer), within)

    def serves(self, version: int, within: int = RECOVERY_TIMEOUT_NS) -> None:
        """An order is taken within that time, and whoever leads then has it in force."""
        assert self.put(version, b"%d" % version, within=within) == IN_FORCE
        assert self.elect().replica.version == version

    def partition_off(self, name: str, others: str) -> None:
        """Nothing that is on its way between `name` and `others` arrives, nor what is sent from now on."""
        for other in others:
            self.partition(name, other)
            self.reset(name, other)


def started(**settings) -> tuple[ReplacingCluster, str, list[str]]:
    """A cluster with version 1 in force and all caught up; the addresses of the leader and of the others."""
    cluster = ReplacingCluster(**settings)
    leader = cluster.elect().address
    assert cluster.put(1, b"first") == IN_FORCE
    cluster.until(cluster.caught_up)
    return cluster, leader, [machine.address for machine in cluster.running() if machine.address != leader]


# Losses.


@dataclass(frozen=True)
class Loss:
    """What happens to a machine, and what ends it after `lasts` ns."""

    name: str
    begin: Callable[[ReplacingCluster, str], None]
    end: Callable[[ReplacingCluster, str], None]
    lasts: int = 3 * SECOND


def _come_back(cluster: ReplacingCluster, name: str) -> None:
    if not cluster.machines[name].runs:
        cluster.start(name)


def _all_lose_power(cluster: ReplacingCluster, name: str) -> None:
    for machine in cluster.running():
        cluster.restart(machine.address, after=cluster.random.randrange(SECOND))


KILLED = Loss("killed", ReplacingCluster.kill, _come_back)
GONE = Loss("gone", ReplacingCluster.kill, _come_back, lasts=60 * SECOND)
WIPED = Loss("wiped", ReplacingCluster.wipe, _come_back)
FROZEN = Loss("frozen", ReplacingCluster.freeze, ReplacingCluster.thaw)
ISOLATED = Loss(
    "isolated", lambda cluster, name: cluster.isolate(name, keep=True), lambda cluster, name: cluster.heal()
)
POWER_LOST = Loss("power lost", _all_lose_power, lambda cluster, name: None, lasts=SECOND)
LOSSES = (KILLED, GONE, WIPED, FROZEN, ISOLATED)


@dataclass
class Coverage:
    """How much of all plays is played: in CI each point meets each victim with one loss, in turn."""

    thorough: bool = False
    seed: int = 1


COVERAGE = Coverage()


@dataclass(frozen=True)
class Play:
    """A cluster right after a loss."""

    cluster: ReplacingCluster
    loss: Loss
    victim: str


def every_point(
    begin: Callable[[], ReplacingCluster],
    over: Callable[[ReplacingCluster], bool],
    victims: str,
    losses: tuple[Loss, ...] = LOSSES,
    stride: int = 1,
) -> Iterator[Play]:
    """Plays `begin` again and again, each time with a loss of a victim before another point, as far as the play without a
    loss has points until it is `over`. `stride`: of so many points one, unless the coverage is thorough."""
    cluster = begin()
    cluster.watch()
    cluster.until(lambda: over(cluster))
    points = cluster.points
    assert points > 10
    for position, victim in enumerate(victims):
        for point in range(0, points, 1 if COVERAGE.thorough else stride):
            if COVERAGE.thorough:
                chosen = losses
            else:
                chosen = (losses[(point // stride + position) % len(losses)],)
            for loss in chosen:
                yield Play(struck(begin, loss, victim, point), loss, victim)


def struck(begin: Callable[[], ReplacingCluster], loss: Loss, victim: str, point: int) -> ReplacingCluster:
    """The cluster just after the loss before that point; its end comes by itself."""
    cluster = begin()
    struck_at: list[int] = []

    def strike() -> None:
        struck_at.append(cluster.time)
        cluster.note("LOSS:", victim, loss.name, "before point", point)
        loss.begin(cluster, victim)
        cluster.at(loss.lasts, lambda: loss.end(cluster, victim))

    cluster.watch(point, strike)
    cluster.until(lambda: struck_at)
    return cluster
