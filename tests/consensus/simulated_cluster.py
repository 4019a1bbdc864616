"""A simulated cluster of control members: the real consensus core, on simulated disks, clocks and network, with one
virtual clock and one seeded `Random`.

    Disk       data that `Persist` made durable, with latency; writes may hang, or fail and be retried
    Machine    an address with a disk, a steady clock with its own rate, and at most one running member process
    Network    messages in order within a session; they may be delayed, lost or duplicated; partitions in one or both
               directions; session resets, after which delayed messages may still arrive
    Operator   orders and reads sent to any member and forwarded to the leader; answers may be lost

All invariants are checked after every step (`Invariants`). `Cluster.run` advances time, `Cluster.until` advances it until
a condition holds.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from consensus.invariants import Invariants, Replica
from kestrelplank.consensus.consensus_messages import Append, SnapshotChunk
from kestrelplank.consensus.effects import Applied, Deposed, Effect, Elected, Persist, Restored, Send
from kestrelplank.consensus.identity import FIRST_INCARNATION, address_of, identity_of
from kestrelplank.consensus.log_entries import (
    ChangeMembership,
    Entry,
    HardState,
    PutConfiguration,
    PutRecord,
    Snapshot,
)
from kestrelplank.consensus.member_messages import (
    CallId,
    Message,
    OrderResult,
    ReadConfiguration,
    ReadResult,
    SubmitOrder,
)
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.node import ConsensusNode
from kestrelplank.consensus.timing import CURRENT_TIMEOUT_NS
from kestrelplank.time_units import MILLISECOND, SECOND

MICROSECOND = MILLISECOND // 1_000

TICK_INTERVAL_NS = 20 * MILLISECOND  # between two calls of `tick`
DISCOVERY_INTERVAL_NS = 200 * MILLISECOND  # between two calls of `discover`
COMPACT_AFTER_ENTRIES = 64  # applied entries between two compactions
MAX_STALENESS_NS = int(CURRENT_TIMEOUT_NS * 1.01)  # maximum age of a current member's state, in true time
MAX_CLOCK_DRIFT = 0.01  # of one steady clock; two differ by at most 2%
TRACE_STEPS = 60  # number of last steps in a failure message

# Results of an operator's attempt.
IN_FORCE = "in force"  # this text is in force under its version
SUPERSEDED = "superseded"  # its version is not above the one in force: it changed nothing
UNKNOWN = "unknown"  # the outcome is not known; it may be retried


@dataclass
class Conditions:
    """The current conditions of network and disks; times in ns, probabilities from 0 to 1."""

    delay: tuple[int, int] = (200 * MICROSECOND, 2 * MILLISECOND)
    loss: float = 0.0
    duplication: float = 0.0
    late_arrival: float = 0.0  # of a message in flight at a reset to arrive nevertheless
    bytes_per_s: int = 0  # of each direction of a link; 0: unlimited
    answer_loss: float = 0.0  # of an answer to an operator
    write: tuple[int, int] = (1 * MILLISECOND, 6 * MILLISECOND)
    write_failure: float = 0.0  # of a write to fail; it is retried


def content_bytes(message: Message) -> int:
    """The approximate size of a message's content in bytes."""
    if isinstance(message, SnapshotChunk):
        return len(message.data)
    if isinstance(message, Append):
        return sum(len(getattr(entry.command, "text", b"")) for entry in message.entries)
    return 0


class Disk:
    """The durable state of one machine. A write is atomic."""

    def __init__(self) -> None:
        self.incarnation = ""
        self.membership: Membership | None = None  # at the first start; None otherwise
        self.hard_state = HardState()
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []
        self.hanging = False

    def write(self, persist: Persist) -> None:
        if persist.hard_state is not None:
            self.hard_state = persist.hard_state
        if persist.snapshot is not None:
            self.snapshot, self.entries = persist.snapshot, []
        if persist.entries:
            first = persist.entries[0].index
            self.entries = [entry for entry in self.entries if entry.index < first]
            self.entries += persist.entries

    @property
    def last_index(self) -> int:
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    def has(self, command: object) -> bool:
        """Whether an entry with this command is durable."""
        return any(entry.command == command for entry in self.entries)


@dataclass
class Attempt:
    """One call of an operator. `result`: the leader's result, None until it is known; `answer`: the answer that the operator
    received, None until it arrives."""

    version: int
    text: bytes | None  # None: a read
    result: str | None = None
    answer: str | None = None
    read_value: tuple[int, bytes | None] | None = None  # (version, text), of a read


@dataclass
class Machine:
    """One address. `node` is None while no process runs there."""

    address: str
    random: Random
    rate: float
    offset: int
    disk: Disk = field(default_factory=Disk)
    node: ConsensusNode | None = None
    process: int = 0
    frozen: bool = False
    wiped: bool = False  # since the last start
    deferred: list[Callable[[], None]] = field(default_factory=list)  # actions deferred until the process is thawed
    writes: deque[Persist] = field(default_factory=deque)
    writing: bool = False
    replica: Replica = field(default_factory=Replica)
    calls: dict[int, tuple[int, CallId, Attempt]] = field(default_factory=dict)  # index -> (term, call, attempt)
    newest_seen: tuple[int, int] = (0, 0)  # term and commit index, which never decrease in a process
    elections: int = 0
    compact_after: int = COMPACT_AFTER_ENTRIES
    compacted: int = 0

    @property
    def identity(self) -> str:
        return identity_of(self.address, self.disk.incarnation)

    @property
    def runs(self) -> bool:
        return self.node is not None

    def clock(self, time: int) -> int:
        """The machine's steady clock at the given true time."""
        return self.offset + int(time * self.rate)


class Cluster:
    """`count` machines at addresses `a`, `b`, ... that start together with empty disks; `spare` more are not started."""

    def __init__(
        self, count: int = 3, seed: int = 0, *, spare: int = 0, drift: float = MAX_CLOCK_DRIFT, start: bool = True
    ):
        self.random = Random(seed)
        self.time = 0
        self.conditions = Conditions()
        self.invariants = Invariants(self.trace_text)
        self.attempts: list[Attempt] = []
        self.steps = 0
        self.chunks_sent = 0
        self.bytes_sent = 0  # approximate, of entries and snapshot chunks
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = 0
        self._trace: deque[tuple] = deque(maxlen=TRACE_STEPS)
        self._arrival: dict[tuple[str, str], int] = {}  # direction -> arrival time of the last message
        self._session: dict[frozenset[str], int] = {}  # number of resets by pair
        self._partitions: dict[
            tuple[str, str], bool
        ] = {}  # direction -> whether messages are delivered once it is healed
        self._held_back: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self._calls = 0
        self.machines: dict[str, Machine] = {}
        names = [chr(ord("a") + index) for index in range(count + spare)]
        for name in names:
            rate = 1 + self.random.uniform(-drift, drift)
            offset = self.random.randrange(1000 * SECOND)
            self.machines[name] = Machine(name, Random(self.random.random()), rate, offset)
        self.initial_membership = Membership(1, tuple(identity_of(name, FIRST_INCARNATION) for name in names[:count]))
        if start:
            for name in names[:count]:
                self.schedule(self.random.randrange(300 * MILLISECOND), lambda name=name: self.start(name, first=True))

    # Time.

    def schedule(self, delay: int, action: Callable[[], None]) -> None:
        """Run `action` after `delay` ns."""
        self._order += 1
        heappush(self._queue, (self.time + delay, self._order, action))

    def step(self) -> None:
        """Execute the next event, then check all invariants."""
        self.time, _, action = heappop(self._queue)
        action()
        self.steps += 1
        self.check()

    def run(self, span: int) -> None:
        """Advance time by `span` ns."""
        end = self.time + span
        while self._queue and self._queue[0][0] <= end:
            self.step()
        self.time = end
        self.check()

    def until(self, holds: Callable[[], object], within: int = 20 * SECOND) -> None:
        """Advance time until `holds()`; fail if that takes longer than `within` ns."""
        end = self.time + within
        while not holds():
            self.invariants.require(
                bool(self._queue) and self._queue[0][0] <= end, "condition does not hold after", within / SECOND, "s"
            )
            self.step()

    def check(self) -> None:
        leaders = []
        for machine in self.machines.values():
            node = machine.node
            if node is None:
                continue
            now = (node.term, node.commit_index)
            term, commit = machine.newest_seen
            self.invariants.require(
                node.term >= term and node.commit_index >= commit,
                machine.identity,
                "decreases (term, commit index) to",
                now,
                machine.newest_seen,
            )
            machine.newest_seen = now
            if node.leads(machine.clock(self.time)):
                leaders.append(machine)
        self.invariants.require(
            len(leaders) <= 1, "several members lead at once:", [machine.identity for machine in leaders]
        )
        for machine in leaders:
            self.invariants.leads(machine.identity, machine.replica)
        for machine in self.running():
            if machine.node.current(machine.clock(self.time)):
                self.invariants.current(machine.identity, machine.replica, self.time - MAX_STALENESS_NS)

    def trace(self, *step: object) -> None:
        self._trace.append((self.time, *step))

    def trace_text(self) -> str:
        """The last steps, as text."""
        return "\n".join(
            f"{step[0] / MILLISECOND:12.3f} ms  " + " ".join(str(value) for value in step[1:]) for step in self._trace
        )

    # Machines.

    def start(self, name: str, first: bool = False) -> None:
        """Start the process at `name` from its disk; an empty disk gets an incarnation."""
        machine = self.machines[name]
        disk = machine.disk
        assert machine.node is None
        if not disk.incarnation:
            disk.incarnation = FIRST_INCARNATION if first else f"{self.random.getrandbits(32):08x}"
            disk.membership = self.initial_membership if first else None
        machine.process += 1
        machine.wiped = False
        machine.offset = self.random.randrange(1000 * SECOND)
        machine.replica = Replica()
        machine.newest_seen = (disk.hard_state.term, 0)
        self.trace("start", machine.identity)
        machine.node = ConsensusNode(
            now=machine.clock(self.time),
            random=Random(machine.random.random()),
            identity=machine.identity,
            membership=disk.membership,
            hard_state=disk.hard_state,
            entries=tuple(disk.entries),
            snapshot=disk.snapshot,
            first_start=first,
        )
        if disk.snapshot is not None:
            self.restore(machine, disk.snapshot)
        machine.compacted = machine.replica.index
        process = machine.process
        self.schedule(self.random.randrange(TICK_INTERVAL_NS), lambda: self._tick(machine, process))
        self.schedule(self.random.randrange(DISCOVERY_INTERVAL_NS), lambda: self._discover(machine, process))

    def kill(self, name: str) -> None:
        """The process ends and its memory is lost; the first pending write may become durable."""
        machine = self.machines[name]
        if machine.node is None:
            return
        self.trace("kill", machine.identity)
        if machine.writes and not machine.disk.hanging and self.random.random() < 0.5:
            self._durable(machine, machine.writes[0])
        machine.node = None
        machine.frozen = machine.writing = False
        machine.deferred.clear()
        machine.writes.clear()
        machine.calls.clear()

    def wipe(self, name: str) -> None:
        """The process ends and its disk is lost."""
        self.kill(name)
        self.trace("wipe", self.machines[name].identity)
        self.machines[name].disk = Disk()
        self.machines[name].wiped = True

    def restart(self, name: str, after: int = 0) -> None:
        """Kill `name`, and start it again after `after` ns."""
        self.kill(name)
        self.schedule(after, lambda: self.machines[name].runs or self.start(name))

    def freeze(self, name: str) -> None:
        """The process takes no step; its clock runs on, and messages to it are queued."""
        self.trace("freeze", name)
        self.machines[name].frozen = self.machines[name].runs

    def thaw(self, name: str, tick_first: bool | None = None) -> None:
        """The process resumes: queued actions run in order, before or after (None: random) its next tick."""
        machine = self.machines[name]
        if not machine.frozen:
            return
        self.trace("thaw", name)
        machine.frozen = False
        if tick_first is None:
            tick_first = self.random.random() < 0.5
        if tick_first:
            self._call_node(machine, lambda node, now: node.tick(now))
        deferred, machine.deferred = machine.deferred, []
        for action in deferred:
            action()
            self.check()

    def transfer(self, machine: Machine) -> None:
        """The leader transfers leadership."""
        self.trace("transfer", machine.identity)
        self._call_node(machine, lambda node, now: node.transfer_leadership(now))

    def hang(self, name: str, hanging: bool = True) -> None:
        """The disk at `name` completes no write until called with `hanging` False."""
        machine = self.machines[name]
        self.trace("disk hangs" if hanging else "disk works again", name)
        machine.disk.hanging = hanging
        self._write(machine)

    def _run_unless_frozen(self, machine: Machine, process: int, action: Callable[[], None]) -> None:
        """Run `action` if that process still runs, as soon as it is not frozen."""
        if machine.process != process or machine.node is None:
            return
        if machine.frozen:
            machine.deferred.append(lambda: self._run_unless_frozen(machine, process, action))
            return
        action()

    def _tick(self, machine: Machine, process: int) -> None:
        def tick() -> None:
            self._call_node(machine, lambda node, now: node.tick(now))

        if machine.process != process or machine.node is None:
            return
        if not machine.frozen:
            tick()
        self.schedule(TICK_INTERVAL_NS, lambda: self._tick(machine, process))

    def _discover(self, machine: Machine, process: int) -> None:
        if machine.process != process or machine.node is None:
            return
        if not machine.frozen:
            self.discover(machine)
        self.schedule(DISCOVERY_INTERVAL_NS, lambda: self._discover(machine, process))

    def discover(self, machine: Machine) -> None:
        """A leader replaces a voter whose disk is lost by the member at the same address, once that one has caught up."""
        node, now = machine.node, machine.clock(self.time)
        if not node.leads(now):
            return
        voters = node.membership.voters
        for other in self.running():
            if other.identity in node.membership.all_voters() or not self.reach(machine, other):
                continue
            node.add_learner(other.identity)
            lost = [voter for voter in voters if address_of(voter) == other.address]
            if lost and other.identity in node.peers and node.peers[other.identity].caught_up(node.commit_index):
                following = tuple(other.identity if voter == lost[0] else voter for voter in voters)
                change = ChangeMembership(Membership(node.epoch + 1, following, voters))
                self.trace("proposes", machine.identity, change)
                _, effects = node.propose(now, change)
                self.carry_out(machine, effects)
                return

    def reach(self, first: Machine, second: Machine) -> bool:
        """Whether messages pass between two machines in both directions."""
        pairs = ((first.address, second.address), (second.address, first.address))
        return first is not second and not any(pair in self._partitions for pair in pairs)

    def _call_node(self, machine: Machine, call: Callable[[ConsensusNode, int], list[Effect] | None]) -> None:
        """Call the core, then carry out its effects."""
        effects = call(machine.node, machine.clock(self.time))
        self.carry_out(machine, effects or [])
        self._compact(machine)

    def _compact(self, machine: Machine) -> None:
        if machine.replica.index - machine.compacted >= machine.compact_after:
            machine.compacted = machine.replica.index
            self.trace("compacts", machine.identity, "at", machine.replica.index)
            self.carry_out(machine, machine.node.compact(machine.replica.state()) or [])

    def carry_out(self, machine: Machine, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send_from_core(machine, effect)
            elif isinstance(effect, Persist):
                machine.writes.append(effect)
                self._write(machine)
            elif isinstance(effect, Applied):
                self._apply(machine, effect.entry)
            elif isinstance(effect, Restored):
                self.restore(machine, effect.snapshot)
            elif isinstance(effect, Elected):
                self.trace("elected", machine.identity, "term", effect.term)
                machine.elections += 1
                self.invariants.elected(machine.identity, effect.term, machine.replica)
            elif isinstance(effect, Deposed):
                self.trace("deposed", machine.identity)
                self._abandon_calls(machine)
            else:
                raise TypeError(f"unknown effect: {effect!r}")

    def _apply(self, machine: Machine, entry: Entry) -> None:
        self.invariants.applied(self.time, machine.identity, machine.replica, entry)
        machine.replica.apply(entry)
        self.invariants.in_force(machine.identity, machine.replica)
        if entry.index in machine.calls:
            term, call, attempt = machine.calls.pop(entry.index)
            self._complete_order(machine, call, attempt, entry.term == term and entry.command)

    def restore(self, machine: Machine, snapshot: Snapshot) -> None:
        """Replace the replicated state at `machine` by the snapshot's."""
        self.trace("restores", machine.identity, "at", snapshot.index)
        self.invariants.restored(machine.identity, machine.replica, snapshot)
        machine.replica.restore(snapshot)
        machine.compacted = max(machine.compacted, snapshot.index)
        self.invariants.in_force(machine.identity, machine.replica)
        self._abandon_calls(machine)

    # Disks.

    def _write(self, machine: Machine) -> None:
        """Begin the next write, if none is in progress."""
        if machine.writing or not machine.writes or machine.disk.hanging or machine.node is None:
            return
        machine.writing = True
        process, disk = machine.process, machine.disk
        self.schedule(self.random.randint(*self.conditions.write), lambda: self._written(machine, process, disk))

    def _written(self, machine: Machine, process: int, disk: Disk) -> None:
        if machine.process != process or machine.disk is not disk or machine.node is None:
            return
        machine.writing = False
        if disk.hanging:
            return
        if self.random.random() < self.conditions.write_failure:
            self.trace("write fails", machine.identity)
            self._write(machine)
            return
        persist = machine.writes.popleft()
        self._durable(machine, persist)
        self._run_unless_frozen(
            machine, process, lambda: self._call_node(machine, lambda node, now: node.persisted(now, persist.number))
        )
        self._write(machine)

    def _durable(self, machine: Machine, persist: Persist) -> None:
        self.trace("durable", machine.identity, persist)
        self.invariants.persisted(machine.identity, persist)
        machine.disk.write(persist)

    # Network.

    def partition(self, first: str, second: str, *, both: bool = True, keep: bool = False) -> None:
        """Block messages from `first` to `second` (and back, if `both`); `keep`: deliver them once it is healed."""
        self.trace("partition", first, "--" if both else "->", second, "kept" if keep else "")
        self._partitions[first, second] = keep
        if both:
            self._partitions[second, first] = keep

    def isolate(self, name: str, *, inward: bool = True, outward: bool = True, keep: bool = False) -> None:
        """Partition `name` from all others, in one or both directions."""
        for other in self.machines:
            if other != name and inward:
                self.partition(other, name, both=False, keep=keep)
            if other != name and outward:
                self.partition(name, other, both=False, keep=keep)

    def heal(self, first: str | None = None, second: str | None = None) -> None:
        """End the partitions between two machines, or all partitions."""
        self.trace("heal", first or "all", second or "")
        pairs = list(self._partitions) if first is None else [(first, second), (second, first)]
        for pair in pairs:
            self._partitions.pop(pair, None)
            for arrive in self._held_back.pop(pair, []):
                self._schedule_delivery(pair, arrive)

    def reset(self, first: str, second: str) -> None:
        """Reset the session between two machines: messages in flight are lost, or arrive by `Conditions.late_arrival`."""
        self.trace("reset", first, second)
        pair = frozenset((first, second))
        self._session[pair] = self._session.get(pair, 0) + 1
        for direction in ((first, second), (second, first)):
            self._arrival.pop(direction, None)
            self._held_back.pop(direction, None)

    def _send_from_core(self, machine: Machine, effect: Send) -> None:
        disk = machine.disk
        self.chunks_sent += isinstance(effect.message, SnapshotChunk)
        self.invariants.sent(machine.identity, effect.to, effect.message, disk.hard_state, disk.last_index)
        self.send(machine, effect.to, effect.message)

    def send(self, machine: Machine, to: str, message: Message) -> None:
        """Send a message from a running member to the member with that identity."""
        if self.conditions.loss and self.random.random() < self.conditions.loss:
            self.trace("lost", machine.identity, "->", to, message)
            return
        target = self.machines.get(address_of(to))
        if target is None or target is machine or not target.runs or target.identity != to:
            return
        sender, process = machine.identity, target.process
        pair = frozenset((machine.address, target.address))
        session = self._session.get(pair, 0)

        def arrive() -> None:
            if self._session.get(pair, 0) != session and self.random.random() >= self.conditions.late_arrival:
                return
            self._run_unless_frozen(target, process, lambda: self._receive(target, sender, message))

        direction = (machine.address, target.address)
        copies = 2 if self.conditions.duplication and self.random.random() < self.conditions.duplication else 1
        for _ in range(copies):
            self._schedule_delivery(direction, arrive, content_bytes(message))

    def _schedule_delivery(self, direction: tuple[str, str], arrive: Callable[[], None], size: int = 0) -> None:
        self.bytes_sent += size
        if direction in self._partitions:
            if self._partitions[direction]:
                self._held_back.setdefault(direction, []).append(arrive)
            return
        arrives_at = max(self._arrival.get(direction, 0), self.time + self.random.randint(*self.conditions.delay))
        if self.conditions.bytes_per_s:
            arrives_at += size * SECOND // self.conditions.bytes_per_s
        self._arrival[direction] = arrives_at
        self.schedule(arrives_at - self.time, arrive)

    def _receive(self, machine: Machine, sender: str, message: Message) -> None:
        self.trace(sender, "->", machine.identity, message)
        if isinstance(message, SubmitOrder):
            self._handle_order(machine, message.call, message.order)
        elif isinstance(message, ReadConfiguration):
            self._handle_read(machine, message.call)
        elif isinstance(message, OrderResult | ReadResult):
            self._answer(machine.address, self.attempts[message.call.number])
        else:
            self._call_node(machine, lambda node, now: node.receive(now, sender, message))

    # Operators.

    def order(self, name: str, version: int, text: bytes) -> Attempt:
        """An operator sends an order to `name` once."""
        attempt = Attempt(version, text)
        self._call(name, attempt, PutConfiguration(version, text.decode(), text))
        return attempt

    def read(self, name: str) -> Attempt:
        """An operator reads the configuration in force from `name` once."""
        attempt = Attempt(0, None)
        self._call(name, attempt, None)
        return attempt

    def _call(self, name: str, attempt: Attempt, order: PutConfiguration | None) -> None:
        self.attempts.append(attempt)
        machine = self.machines[name]
        call = CallId(machine.identity, machine.process, len(self.attempts) - 1)
        self.trace("operator asks", name, order or "for the configuration in force")
        if machine.node is None:
            attempt.answer = UNKNOWN
            return
        process = machine.process

        def ask() -> None:
            if order is None:
                self._handle_read(machine, call)
            else:
                self._handle_order(machine, call, order)

        self._run_unless_frozen(machine, process, ask)

    def _handle_order(self, machine: Machine, call: CallId, order: PutConfiguration) -> None:
        """Handle an order from an operator or another member: the leader proposes it, others forward it once."""
        node, now, attempt = machine.node, machine.clock(self.time), self.attempts[call.number]
        if not node.leads(now):
            forwarded = call.member != machine.identity
            if forwarded or not node.leader or node.leader == machine.identity:
                self._finish_call(machine, call, attempt, UNKNOWN)
            else:
                self.send(machine, node.leader, SubmitOrder(call, order))
            return
        if order.version <= machine.replica.version:
            self._complete_order(machine, call, attempt, order)
            return
        index, effects = node.propose(now, order)
        if index is None:
            self._finish_call(machine, call, attempt, UNKNOWN)
        else:
            machine.calls[index] = (node.term, call, attempt)
        self.carry_out(machine, effects)
        self._compact(machine)

    def propose(self, machine: Machine, record: bytes) -> None:
        """The leader proposes a record, as it does for the key ranges of a service."""
        self._call_node(machine, lambda node, now: node.propose(now, PutRecord("service", record))[1])

    def _complete_order(self, machine: Machine, call: CallId, attempt: Attempt, order: PutConfiguration | bool) -> None:
        """The leader knows the result of an order; `order` is False if another entry is committed at its index."""
        if order is False:
            self._finish_call(machine, call, attempt, UNKNOWN)
            return
        replica = machine.replica
        if replica.version == order.version and replica.text == order.text:
            self.invariants.order_acknowledged(machine.identity, order, replica)
            self._finish_call(machine, call, attempt, IN_FORCE)
        else:
            self.invariants.require(replica.version >= order.version, machine.identity, "did not apply", order)
            self._finish_call(machine, call, attempt, SUPERSEDED)

    def _handle_read(self, machine: Machine, call: CallId) -> None:
        node, now, attempt = machine.node, machine.clock(self.time), self.attempts[call.number]
        if node.leads(now):
            attempt.read_value = (machine.replica.version, machine.replica.text)
            self._finish_call(machine, call, attempt, IN_FORCE)
        elif call.member == machine.identity and node.leader and node.leader != machine.identity:
            self.send(machine, node.leader, ReadConfiguration(call))
        else:
            self._finish_call(machine, call, attempt, UNKNOWN)

    def _abandon_calls(self, machine: Machine) -> None:
        """End all pending calls with an unknown result."""
        calls, machine.calls = machine.calls, {}
        for _, call, attempt in calls.values():
            self._finish_call(machine, call, attempt, UNKNOWN)

    def _finish_call(self, machine: Machine, call: CallId, attempt: Attempt, result: str) -> None:
        self.trace(machine.identity, "answers", attempt.version, attempt.text, result)
        attempt.result = result
        if call.member == machine.identity:
            self._answer(machine.address, attempt)
        else:
            self.send(machine, call.member, OrderResult(call, result != UNKNOWN))

    def _answer(self, name: str, attempt: Attempt) -> None:
        """Send the answer from `name` to the operator; it may be lost."""
        if self.random.random() >= self.conditions.answer_loss:
            attempt.answer = attempt.result

    # Queries and waits for tests.

    def running(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.runs]

    def leader(self) -> Machine | None:
        """The machine that may act as the leader at this moment."""
        for machine in self.running():
            if machine.node.leads(machine.clock(self.time)):
                return machine
        return None

    def elect(self, within: int = 20 * SECOND) -> Machine:
        """Advance time until a member leads, and return it."""
        self.until(self.leader, within)
        return self.leader()

    def put(self, version: int, text: bytes, at: str | None = None, within: int = 20 * SECOND) -> str:
        """Send an order, retry it until it is in force or superseded, and return that answer."""
        end = self.time + within
        while True:
            names = [at] if at else [machine.address for machine in self.running()]
            attempt = self.order(self.random.choice(names), version, text)
            retry_at = self.time + SECOND
            while attempt.answer is None and self.time < retry_at and self._queue:
                self.step()
            if attempt.answer in (IN_FORCE, SUPERSEDED):
                return attempt.answer
            self.invariants.require(self.time < end, "no answer to order", version, text)
            self.run(200 * MILLISECOND)

    def caught_up(self) -> bool:
        """Whether a member leads and all running members have applied everything."""
        if self.leader() is None:
            return False
        return all(machine.replica.index == self.invariants.last_index for machine in self.running())

    def recover(self, within: int = 30 * SECOND) -> None:
        """End all faults, start stopped members, and advance time until all have caught up."""
        self.conditions = Conditions()
        self.heal()
        for name, machine in self.machines.items():
            if machine.disk.hanging:
                self.hang(name, False)
            self.thaw(name)
            if not machine.runs and (machine.process or machine.disk.incarnation):
                self.start(name)
        self.until(self.caught_up, within)
