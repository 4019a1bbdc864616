"""What a follower is sent that missed so many changes, and what the leader's log holds meanwhile: three members of the
consensus core in process, without sockets, on a clock of its own; disks that write at once.

    python benchmarks/catch_up.py [--changes 10 100 1000 5000] [--routes 4600]

The third member hears nothing while the changes are made, each a whole configuration, and the log is cut short as the
program does it. Then it hears again: counted is all that it is sent until it is current, as packed for the wire. `at
2 Mbit/s`: the time that those bytes alone take there. `log MB`: texts and snapshot that the leader holds in memory.
Before the table: memory of a `ControlState` after as many changes, by tracemalloc.
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
STEP = 5 * MILLISECOND  # of the clock; what is sent in one step arrives in the next
LINK = 2_000_000 / 8  # bytes a second
LEADER, OTHER, AWAY = "a:1/first", "b:1/first", "c:1/first"
MOST_STEPS = 20_000  # without what is waited for, then it does not come
VERSION = b'"config_version":"00000000"'
COLUMNS = (
    ("changes", 8),
    ("messages", 9),
    ("entries", 8),
    ("pieces", 7),
    ("sent KB", 9),
    ("packed KB", 10),
    ("at 2 Mbit/s", 12),
    ("clock ms", 9),
    ("log MB", 8),
)


@dataclass
class Sent:
    """What was sent to one member. `content`: bytes of entries and pieces; `wire`: bytes as packed."""

    messages: int = 0
    entries: int = 0
    pieces: int = 0
    content: int = 0
    wire: int = 0

    def count(self, sender: str, to: str, message: ConsensusMessage) -> None:
        self.messages += 1
        entries = getattr(message, "entries", ())
        self.entries += len(entries)
        self.content += sum(map(entry_size_bytes, entries))
        if isinstance(message, SnapshotChunk):
            self.pieces += 1
            self.content += len(message.data)
        self.wire += len(encode_frame(Envelope(sender, to, message)))


class Members:
    """Three members and the messages between them."""

    def __init__(self) -> None:
        membership = Membership(1, (LEADER, OTHER, AWAY))
        self.now = 100 * SECOND
        self.states = {name: ControlState() for name in membership.voters}
        self.nodes = {
            name: ConsensusNode(self.now, Random(number), name, membership, HardState(), (), None, True)
            for number, name in enumerate(membership.voters)
        }
        self.away = False
        self.sent: Sent | None = None  # what AWAY is sent, where that is counted
        self._under_way: deque[tuple[str, str, ConsensusMessage]] = deque()

    def step(self) -> None:
        """A step of the clock: what is under way arrives, then each member's time passes."""
        self.now += STEP
        for _ in range(len(self._under_way)):
            sender, to, message = self._under_way.popleft()
            if not (self.away and AWAY in (sender, to)):
                self._carry_out(to, self.nodes[to].receive(self.now, sender, message))
        for name, node in self.nodes.items():
            if not (self.away and name == AWAY):
                self._carry_out(name, node.tick(self.now))

    def until(self, holds: Callable[[], bool]) -> None:
        """Steps until that holds."""
        for _ in range(MOST_STEPS):
            if holds():
                return
            self.step()
        raise SystemExit("catch_up: what was waited for did not come")

    def put(self, order: PutConfiguration) -> None:
        """An order, until it is in force at the leader."""
        index, effects = self.nodes[LEADER].propose(self.now, order)
        if index is None:
            raise SystemExit("catch_up: the leader does not lead")
        self._carry_out(LEADER, effects)
        self.until(lambda: self.nodes[LEADER].applied_index >= index)
        for name in (LEADER, OTHER):
            self._compact(name)

    def _compact(self, name: str) -> None:
        """Cuts the log short where the program would."""
        state = self.states[name].snapshot()
        if logged(self.nodes[name].log) > COMPACTION_MIN_BYTES + 2 * len(state):
            self._carry_out(name, self.nodes[name].compact(state))

    def _carry_out(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._under_way.append((name, effect.to, effect.message))
                if self.sent is not None and effect.to == AWAY:
                    self.sent.count(name, effect.to, effect.message)
            elif isinstance(effect, Persist):
                self._carry_out(name, self.nodes[name].persisted(self.now, effect.number))
            elif isinstance(effect, Applied):
                self.states[name].apply(effect.entry)
            elif isinstance(effect, Restored):
                self.states[name].restore(effect.snapshot.state)


def logged(log: ReplicatedLog) -> int:
    """Bytes of a log on disk: the snapshot and the entries after it."""
    return snapshot_size(log) + sum(map(entry_size_bytes, log.entries_after_snapshot()))


def held(log: ReplicatedLog) -> int:
    """Bytes of a log in memory: the snapshot, the entries after it and those kept for followers that lag."""
    entries = (log.entry(index) for index in range(log.base_index + 1, log.last_index + 1))
    return snapshot_size(log) + sum(map(entry_size_bytes, entries))


def snapshot_size(log: ReplicatedLog) -> int:
    return len(log.snapshot.state) if log.snapshot else 0


def order(text: bytes, digest: bytes, version: int) -> PutConfiguration:
    """The configuration under that version; a text of its own, as operators send it."""
    return PutConfiguration(version, digest, text.replace(VERSION, VERSION.replace(b"00000000", b"%08x" % version), 1))


def run(text: bytes, digest: bytes, changes: int) -> tuple:
    """One row of the table."""
    members = Members()
    leader, away = members.nodes[LEADER], members.nodes[AWAY]
    members.until(lambda: leader.leads(members.now))
    members.put(order(text, digest, 1))
    members.until(lambda: members.states[AWAY].version == 1)
    members.away = True
    for version in range(2, changes + 2):
        members.put(order(text, digest, version))
    log_bytes = held(leader.log)
    members.away, members.sent, began = False, Sent(), members.now
    members.until(lambda: members.states[AWAY].version == changes + 1 and away.current(members.now))
    sent = members.sent
    return (
        changes,
        sent.messages,
        sent.entries,
        sent.pieces,
        f"{sent.content / KB:.0f}",
        f"{sent.wire / KB:.0f}",
        f"{sent.wire / LINK:.1f} s",
        (members.now - began) // MILLISECOND,
        f"{log_bytes / MB:.1f}",
    )


def state_memory(text: bytes, digest: bytes, changes: int) -> float:
    """MB that a `ControlState` holds after so many changes, with its configuration compiled."""
    gc.collect()
    tracemalloc.start()
    state = ControlState()
    for version in range(1, changes + 1):
        state.apply(Entry(version, 1, order(text, digest, version)))
    if state.parsed is None:
        raise SystemExit("catch_up: the configuration is refused")
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / MB


def main(changes: list[int], routes: int) -> None:
    text = configuration(routes, 0)
    digest = parse_configuration(text).unwrap().key.digest
    print(f"{routes} routes, text of {len(text) / KB:.1f} KB")
    for count in changes:
        print(f"ControlState after {count} changes: {state_memory(text, digest, count):.2f} MB", flush=True)
    print("".join(f"{name:>{width}}" for name, width in COLUMNS))
    for count in changes:
        row = run(text, digest, count)
        print("".join(f"{value:>{width}}" for value, (_, width) in zip(row, COLUMNS)), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--changes", type=int, nargs="+", default=[10, 100, 1000, 5000])
    parser.add_argument("--routes", type=int, default=4600)
    given = parser.parse_args()
    main(given.changes, given.routes)
