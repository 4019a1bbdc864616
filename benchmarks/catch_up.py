"""Measures what a lagging follower is sent, and the size of the leader's log, by the number of missed changes.

Three members of the consensus core run in one process, without sockets, on a simulated clock and with disks that write
immediately.

    python benchmarks/catch_up.py [--changes 10 100 1000 5000] [--routes 4600]

The third member is disconnected while the changes are made; each is a complete configuration, and the log is compacted
as the program does it. After it reconnects, everything that it is sent until it is up to date is counted, as encoded
for the wire. `at 2 Mbit/s`: the transfer time of those bytes alone. `log MB`: entries and snapshot in the leader's
memory. Before the table: memory of a `ControlState` after that many changes, by tracemalloc.
"""

import argparse
import gc
import tracemalloc
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from log_file import configuration

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.consensus.consensus_messages import ConsensusMessage, SnapshotChunk
from kestrelplank.consensus.effects import Applied, Effect, Persist, Restored, Send
from kestrelplank.consensus.log import ReplicatedLog, entry_size_bytes
from kestrelplank.consensus.log_entries import Entry, HardState, PutConfiguration
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.node import ConsensusNode
from kestrelplank.control.replica import COMPACTION_MIN_BYTES
from kestrelplank.state.control_state import ControlState
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.messages import Envelope
from kestrelplank.transport.wire import encode_frame

KB, MB = 1_000, 1_000_000
STEP = 5 * MILLISECOND  # messages sent in one step arrive in the next
LINK_BYTES_PER_S = 2_000_000 / 8
LEADER, FOLLOWER, LAGGING = "a:1/first", "b:1/first", "c:1/first"
MAX_STEPS = 20_000  # to wait for a condition
VERSION = b'"config_version":"00000000"'
COLUMNS = (
    ("changes", 8),
    ("messages", 9),
    ("entries", 8),
    ("chunks", 7),
    ("sent KB", 9),
    ("wire KB", 10),
    ("at 2 Mbit/s", 12),
    ("clock ms", 9),
    ("log MB", 8),
)


@dataclass
class SentTotals:
    """Totals of what one member is sent. `content_bytes`: entries and snapshot chunks; `wire_bytes`: as encoded."""

    messages: int = 0
    entries: int = 0
    chunks: int = 0
    content_bytes: int = 0
    wire_bytes: int = 0

    def add(self, sender: str, to: str, message: ConsensusMessage) -> None:
        self.messages += 1
        entries = getattr(message, "entries", ())
        self.entries += len(entries)
        self.content_bytes += sum(map(entry_size_bytes, entries))
        if isinstance(message, SnapshotChunk):
            self.chunks += 1
            self.content_bytes += len(message.data)
        self.wire_bytes += len(encode_frame(Envelope(sender, to, message)))


class Members:
    """Three members and the messages between them."""

    def __init__(self) -> None:
        membership = Membership(1, (LEADER, FOLLOWER, LAGGING))
        self.now = 100 * SECOND
        self.states = {name: ControlState() for name in membership.voters}
        self.nodes = {
            name: ConsensusNode(self.now, Random(number), name, membership, HardState(), (), None, True)
            for number, name in enumerate(membership.voters)
        }
        self.lagging_disconnected = False
        self.sent_to_lagging: SentTotals | None = None  # messages sent to LAGGING, while they are counted
        self._in_flight: deque[tuple[str, str, ConsensusMessage]] = deque()

    def step(self) -> None:
        """Advance the clock by one step: deliver the messages in flight, then tick each member."""
        self.now += STEP
        for _ in range(len(self._in_flight)):
            sender, to, message = self._in_flight.popleft()
            if not (self.lagging_disconnected and LAGGING in (sender, to)):
                self._execute(to, self.nodes[to].receive(self.now, sender, message))
        for name, node in self.nodes.items():
            if not (self.lagging_disconnected and name == LAGGING):
                self._execute(name, node.tick(self.now))

    def step_until(self, condition: Callable[[], bool]) -> None:
        """Step until the condition holds.

        :raises SystemExit: after MAX_STEPS.
        """
        for _ in range(MAX_STEPS):
            if condition():
                return
            self.step()
        raise SystemExit("catch_up: condition not met within MAX_STEPS steps")

    def put(self, command: PutConfiguration) -> None:
        """Propose a configuration, and step until the leader has applied it."""
        index, effects = self.nodes[LEADER].propose(self.now, command)
        if index is None:
            raise SystemExit("catch_up: member a:1/first is not the leader")
        self._execute(LEADER, effects)
        self.step_until(lambda: self.nodes[LEADER].applied_index >= index)
        for name in (LEADER, FOLLOWER):
            self._compact(name)

    def _compact(self, name: str) -> None:
        """Compact the log where the program would."""
        state = self.states[name].snapshot()
        if log_disk_bytes(self.nodes[name].log) > COMPACTION_MIN_BYTES + 2 * len(state):
            self._execute(name, self.nodes[name].compact(state))

    def _execute(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._in_flight.append((name, effect.to, effect.message))
                if self.sent_to_lagging is not None and effect.to == LAGGING:
                    self.sent_to_lagging.add(name, effect.to, effect.message)
            elif isinstance(effect, Persist):
                self._execute(name, self.nodes[name].persisted(self.now, effect.number))
            elif isinstance(effect, Applied):
                self.states[name].apply(effect.entry)
            elif isinstance(effect, Restored):
                self.states[name].restore(effect.snapshot.state)


def log_disk_bytes(log: ReplicatedLog) -> int:
    """Bytes of a log on disk: the snapshot and the entries after it."""
    return snapshot_bytes(log) + sum(map(entry_size_bytes, log.entries_after_snapshot()))


def log_memory_bytes(log: ReplicatedLog) -> int:
    """Bytes of a log in memory: the snapshot, the entries after it and those kept for followers that lag."""
    entries = (log.entry(index) for index in range(log.base_index + 1, log.last_index + 1))
    return snapshot_bytes(log) + sum(map(entry_size_bytes, entries))


def snapshot_bytes(log: ReplicatedLog) -> int:
    return len(log.snapshot.state) if log.snapshot else 0


def put_configuration(text: bytes, digest: bytes, version: int) -> PutConfiguration:
    """A command with the configuration under that version; each has its own text, as operators send it."""
    return PutConfiguration(version, digest, text.replace(VERSION, VERSION.replace(b"00000000", b"%08x" % version), 1))


def measure_catch_up(text: bytes, digest: bytes, changes: int) -> tuple:
    """One row of the table."""
    members = Members()
    leader, lagging = members.nodes[LEADER], members.nodes[LAGGING]
    members.step_until(lambda: leader.leads(members.now))
    members.put(put_configuration(text, digest, 1))
    members.step_until(lambda: members.states[LAGGING].version == 1)
    members.lagging_disconnected = True
    for version in range(2, changes + 2):
        members.put(put_configuration(text, digest, version))
    log_bytes = log_memory_bytes(leader.log)
    members.lagging_disconnected, members.sent_to_lagging, started = False, SentTotals(), members.now
    members.step_until(lambda: members.states[LAGGING].version == changes + 1 and lagging.current(members.now))
    sent = members.sent_to_lagging
    return (
        changes,
        sent.messages,
        sent.entries,
        sent.chunks,
        f"{sent.content_bytes / KB:.0f}",
        f"{sent.wire_bytes / KB:.0f}",
        f"{sent.wire_bytes / LINK_BYTES_PER_S:.1f} s",
        (members.now - started) // MILLISECOND,
        f"{log_bytes / MB:.1f}",
    )


def state_memory_mb(text: bytes, digest: bytes, changes: int) -> float:
    """Memory of a `ControlState` in MB after that many changes, with its configuration parsed."""
    gc.collect()
    tracemalloc.start()
    state = ControlState()
    for version in range(1, changes + 1):
        state.apply(Entry(version, 1, put_configuration(text, digest, version)))
    if state.parsed is None:
        raise SystemExit("catch_up: the configuration is rejected")
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / MB


def main(changes: list[int], routes: int) -> None:
    text = configuration(routes, 0)
    digest = parse_configuration(text).unwrap().key.digest
    print(f"{routes} routes, text of {len(text) / KB:.1f} KB")
    for count in changes:
        print(f"ControlState after {count} changes: {state_memory_mb(text, digest, count):.2f} MB", flush=True)
    print("".join(f"{name:>{width}}" for name, width in COLUMNS))
    for count in changes:
        row = measure_catch_up(text, digest, count)
        print("".join(f"{value:>{width}}" for value, (_, width) in zip(row, COLUMNS)), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--changes", type=int, nargs="+", default=[10, 100, 1000, 5000])
    parser.add_argument("--routes", type=int, default=4600)
    arguments = parser.parse_args()
    main(arguments.changes, arguments.routes)
