"""A simulated cluster whose leader applies the membership policy, and scenarios with a loss before each event of a run.

An event is the delivery of a message or a durable write; no member's state changes between two events."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from consensus.simulated_cluster import IN_FORCE, Cluster, Machine
from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.log_entries import ChangeMembership
from kestrelplank.consensus.membership_planning import KnownMember, plan_membership, should_hand_over
from kestrelplank.time_units import SECOND

SYNC_TIMEOUT_NS = 4 * SECOND  # within which a new member has become a voter
GRACE_PERIOD_NS = 6 * SECOND  # between SIGTERM and the end of a process
RECOVERY_TIMEOUT_NS = 10 * SECOND
NO_EVENT = 10**12


class ReplacingCluster(Cluster):
    """A cluster whose leader applies the membership policy five times a second.

    `voter_count`: number of initial voters, machines `a`, `b` and so on; `spare`: number of further machines, which a test
    starts. `losses`: number of tolerated losses. `zones`: zones of machines by address."""

    def __init__(
        self,
        voter_count: int = 3,
        losses: int = 1,
        seed: int = 1,
        *,
        spare: int = 2,
        zones: dict[str, str] | None = None,
        start: bool = True,
    ):
        super().__init__(voter_count, seed, spare=spare, start=start)
        self.target = 2 * losses + 1
        self.zones = zones or {}
        self.leaving: dict[str, None] = {}
        self.changes: list[ChangeMembership] = []  # proposed by leaders
        self._led_since: dict[str, tuple[int, int]] = {}  # identity -> (term, start of its leadership on its clock)
        self._followed: dict[str, tuple[str, int]] = {}  # identity -> (its last leader, time of the last message)
        self.events = 0  # since `count_events`
        self._fault_at, self._inject_fault = NO_EVENT, None

    # Events.

    def count_events(self, fault_at: int = NO_EVENT, inject_fault: Callable[[], None] | None = None) -> None:
        """Count events from now on; call `inject_fault` just before the one with number `fault_at`."""
        self.events, self._fault_at, self._inject_fault = 0, fault_at, inject_fault

    def _count_event(self) -> None:
        if self.events == self._fault_at:
            self._inject_fault()
        self.events += 1

    def _receive(self, machine, sender, message) -> None:
        self._count_event()
        if machine.runs:
            super()._receive(machine, sender, message)

    def _durable(self, machine, persist) -> None:
        self._count_event()
        if machine.runs:
            super()._durable(machine, persist)

    # The policy.

    def start(self, name: str, first: bool = False) -> None:
        self.leaving.pop(name, None)
        super().start(name, first)

    def terminate(self, name: str, grace: int = GRACE_PERIOD_NS) -> None:
        """SIGTERM: the member announces that it is leaving, and ends after `grace`."""
        self.trace("leaves", name)
        self.leaving[name] = None
        process = self.machines[name].process
        self.schedule(grace, lambda: self.machines[name].process == process and self.kill(name))

    def discover(self, machine: Machine) -> None:
        node, now = machine.node, machine.clock(self.time)
        if not node.leads(now):
            if node.leader not in ("", machine.identity):
                self._followed[machine.identity] = (node.leader, node.leader_heard_at)
            return
        self._update_learners(machine)
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
        self.trace("proposes", machine.identity, change)
        index, effects = machine.node.propose(machine.clock(self.time), change)
        self.invariants.require(index is not None, machine.identity, "may not propose", change)
        self.changes.append(change)
        self.carry_out(machine, effects)

    def _update_learners(self, machine: Machine) -> None:
        """Make the running, reachable members that are not voters the leader's learners, and no others."""
        node = machine.node
        voters = node.membership.all_voters()
        running = [
            other.identity for other in self.running() if self.reach(machine, other) and other.identity not in voters
        ]
        for identity in running:
            node.add_learner(identity)
        for identity in list(node.learners):
            if identity not in running:
                node.remove_learner(identity)

    def _known_members(self, machine: Machine) -> list[KnownMember]:
        """What the leader at `machine` knows of itself and the other members."""
        node, now = machine.node, machine.clock(self.time)
        if self._led_since.get(machine.identity, (0, 0))[0] != node.term:
            self._led_since[machine.identity] = (node.term, now)
        known_members = [self._known_member(machine.identity, now, caught_up=True)]
        for identity, peer in node.peers.items():
            heard_at = peer.heard_at
            if identity in node.membership.all_voters():
                heard_at = max(heard_at, self._heard_before_election(machine, identity))
            known_members.append(self._known_member(identity, heard_at, peer.caught_up(node.commit_index)))
        return known_members

    def _heard_before_election(self, machine: Machine, voter: str) -> int:
        """When the voter last counts as heard before the election: a former leader at its last message, others at the election."""
        former, heard_at = self._followed.get(machine.identity, ("", 0))
        return heard_at if voter == former else self._led_since[machine.identity][1]

    def _known_member(self, identity: str, heard_at: int, caught_up: bool) -> KnownMember:
        name = address_of(identity)
        zone = self.zones.get(name, "")
        return KnownMember(identity, zone, True, name in self.leaving, heard_at, caught_up)

    # Queries and waits for tests.

    def voters(self) -> str:
        """The addresses of the voters in the newest committed membership, sorted and joined."""
        membership = self.invariants.membership(self.initial_membership)
        return "".join(sorted(address_of(voter) for voter in membership.voters))

    def has_voters(self, voters: str) -> bool:
        """Whether exactly these are voters and run, no change is in progress, and all have caught up."""
        membership = self.invariants.membership(self.initial_membership)
        if membership.joint or self.voters() != voters or not self.caught_up():
            return False
        return all(self.machines[address_of(voter)].identity == voter for voter in membership.voters)

    def has_joined(self, new_member: str) -> bool:
        """Whether a change that made `new_member` a voter is complete."""
        return new_member in self.voters() and self.has_voters(self.voters())

    def until_voters(self, voters: str, within: int = RECOVERY_TIMEOUT_NS) -> None:
        self.until(lambda: self.has_voters(voters), within)

    def until_joined(self, new_member: str, within: int = RECOVERY_TIMEOUT_NS) -> None:
        self.until(lambda: self.has_joined(new_member), within)

    def check_serves(self, version: int, within: int = RECOVERY_TIMEOUT_NS) -> None:
        """Check that an order is acknowledged within that time, and that the leader then has it in force."""
        assert self.put(version, b"%d" % version, within=within) == IN_FORCE
        assert self.elect().replica.version == version

    def partition_off(self, name: str, others: str) -> None:
        """Drop messages between `name` and `others`, both those in flight and those sent from now on."""
        for other in others:
            self.partition(name, other)
            self.reset(name, other)


def started_cluster(**settings) -> tuple[ReplacingCluster, str, list[str]]:
    """A cluster with version 1 in force and all members caught up; the addresses of the leader and of the others."""
    cluster = ReplacingCluster(**settings)
    leader = cluster.elect().address
    assert cluster.put(1, b"first") == IN_FORCE
    cluster.until(cluster.caught_up)
    return cluster, leader, [machine.address for machine in cluster.running() if machine.address != leader]


# Losses.


@dataclass(frozen=True)
class Loss:
    """A fault of a machine, and its end after `lasts` ns."""

    name: str
    begin: Callable[[ReplacingCluster, str], None]
    end: Callable[[ReplacingCluster, str], None]
    lasts: int = 3 * SECOND


def _start_if_stopped(cluster: ReplacingCluster, name: str) -> None:
    if not cluster.machines[name].runs:
        cluster.start(name)


def _all_lose_power(cluster: ReplacingCluster, name: str) -> None:
    for machine in cluster.running():
        cluster.restart(machine.address, after=cluster.random.randrange(SECOND))


KILLED = Loss("killed", ReplacingCluster.kill, _start_if_stopped)
GONE = Loss("gone", ReplacingCluster.kill, _start_if_stopped, lasts=60 * SECOND)
WIPED = Loss("wiped", ReplacingCluster.wipe, _start_if_stopped)
FROZEN = Loss("frozen", ReplacingCluster.freeze, ReplacingCluster.thaw)
ISOLATED = Loss(
    "isolated", lambda cluster, name: cluster.isolate(name, keep=True), lambda cluster, name: cluster.heal()
)
POWER_LOST = Loss("power lost", _all_lose_power, lambda cluster, name: None, lasts=SECOND)
LOSSES = (KILLED, GONE, WIPED, FROZEN, ISOLATED)


@dataclass
class Coverage:
    """How many scenarios are run: all, or (in CI) one kind of loss for each event and victim, in turn."""

    thorough: bool = False
    seed: int = 1


COVERAGE = Coverage()


@dataclass(frozen=True)
class Scenario:
    """A cluster just after a loss."""

    cluster: ReplacingCluster
    loss: Loss
    victim: str


def scenarios_with_loss(
    begin: Callable[[], ReplacingCluster],
    is_complete: Callable[[ReplacingCluster], bool],
    victims: str,
    losses: tuple[Loss, ...] = LOSSES,
    stride: int = 1,
) -> Iterator[Scenario]:
    """Run `begin` repeatedly, each time with a loss of a victim before another event, for all events that a run without a
    loss has until it `is_complete`. `stride`: use one of this many events, unless the coverage is thorough."""
    cluster = begin()
    cluster.count_events()
    cluster.until(lambda: is_complete(cluster))
    event_count = cluster.events
    assert event_count > 10
    for position, victim in enumerate(victims):
        for event in range(0, event_count, 1 if COVERAGE.thorough else stride):
            if COVERAGE.thorough:
                chosen = losses
            else:
                chosen = (losses[(event // stride + position) % len(losses)],)
            for loss in chosen:
                yield Scenario(cluster_after_loss(begin, loss, victim, event), loss, victim)


def cluster_after_loss(begin: Callable[[], ReplacingCluster], loss: Loss, victim: str, event: int) -> ReplacingCluster:
    """The cluster just after a loss before that event; the loss ends by itself."""
    cluster = begin()
    injected_at: list[int] = []

    def inject_fault() -> None:
        injected_at.append(cluster.time)
        cluster.trace("LOSS:", victim, loss.name, "before event", event)
        loss.begin(cluster, victim)
        cluster.schedule(loss.lasts, lambda: loss.end(cluster, victim))

    cluster.count_events(event, inject_fault)
    cluster.until(lambda: injected_at)
    return cluster
