"""From readings of several node lists to the one set in force: what all of them make, and whether that may follow."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from kestrelplank.decode import MalformedError
from kestrelplank.state.change_guard import ChangeLimits, Decision, Verdict, evaluate_change
from kestrelplank.state.node_set import InvalidNodeSetError, ListedNode, NodeList, NodeSet, assemble, difference
from kestrelplank.state.sealed import decode_checksummed, encode_checksummed

MAX_HISTORY = 64
FORMAT_VERSION = 1  # of what is stored


class HistoryEntry(NamedTuple):
    """A version that was in force, and what it changed."""

    version: int
    short_hash: str
    summary: str


class StoredNodeSet(NamedTuple):
    """What survives a restart."""

    node_set: NodeSet
    version: int
    history: tuple[HistoryEntry, ...]


class Outcome(NamedTuple):
    """What has become of a change, and which set is in force now ("": none)."""

    decision: Decision
    reason: str
    version: int
    short_hash: str


class NodeSetInForce:
    """The set that holds, and what the files say that may take its place.

    A problem with any file keeps the set in force: nothing is made from the others alone, as two files may make sense
    only together
    (`tests/state/test_node_set_in_force.py::test_a_problem_with_one_file_keeps_what_stands_also_from_the_others`).

    :param node_set: what was in force before a restart, if anything was, with its version and history.
    """

    def __init__(
        self,
        limits: ChangeLimits,
        node_set: NodeSet | None = None,
        version: int = 0,
        history: Iterable[HistoryEntry] = (),
    ) -> None:
        self.limits, self.node_set, self.version = limits, node_set, version
        self.history: deque[HistoryEntry] = deque(history, MAX_HISTORY)
        self.decide_at: int | None = None  # when to decide again though no file changes
        self._node_lists: dict[str, NodeList] = {}  # by path
        self._problems: dict[str, str] = {}
        self._candidate: tuple[NodeSet, int] | None = None  # what the files make, and since when
        self._reported: tuple[Decision, str] | None = None

    @property
    def waiting(self) -> bool:
        """Whether the files make a set that needs a second word."""
        return self._candidate is not None

    def update_file(self, path: str, reading: NodeList | str) -> None:
        """Take a file's reading: its list, or what is wrong with it."""
        if isinstance(reading, NodeList):
            self._node_lists[path] = reading
            self._problems.pop(path, None)
        else:
            self._problems[path] = reading

    def remove_file(self, path: str) -> None:
        """Forget a file that the operator no longer names."""
        self._node_lists.pop(path, None)
        self._problems.pop(path, None)

    def decide(self, now: int) -> Outcome | None:
        """Decide what the readings come to; None where there is nothing new to report."""
        self.decide_at = None
        verdict = self._judge(now)
        if verdict is None:
            self._reported = None
            return None
        if verdict.decision is Decision.ACCEPTED:
            self._accept()
        elif verdict[:2] == self._reported:
            return None
        else:
            self._reported = verdict[:2]
        short_hash = self.node_set.short_hash if self.node_set else ""
        return Outcome(verdict.decision, verdict.reason, self.version, short_hash)

    def _accept(self) -> None:
        """Put the candidate in force."""
        assert self._candidate is not None  # it was judged
        former, self.node_set = self.node_set, self._candidate[0]
        self.version += 1
        summary = str(difference(former, self.node_set)) if former else f"{len(self.node_set)} nodes"
        self.history.append(HistoryEntry(self.version, self.node_set.short_hash, summary))
        self._candidate = self._reported = None

    def _judge(self, now: int) -> Verdict | None:
        """Return the verdict on what the files make; None where that is what is in force, or nothing yet."""
        if self._problems or not self._node_lists:
            self._candidate = None
            return Verdict(Decision.REFUSED, next(iter(self._problems.values()))) if self._problems else None
        try:
            new = assemble(self._node_lists[path] for path in sorted(self._node_lists))
        except InvalidNodeSetError as err:
            self._candidate = None
            return Verdict(Decision.REFUSED, str(err))
        if new == self.node_set:
            self._candidate = None
            return None
        if self._candidate is None or self._candidate[0] != new:
            self._candidate = new, now
        unchanged_ns = max(0, now - self._candidate[1])
        confirmed = tuple(listed.confirmed_hash for listed in self._node_lists.values() if listed.confirmed_hash)
        verdict = evaluate_change(self.node_set, new, confirmed, unchanged_ns, self.limits)
        if verdict.decision is Decision.WAITING and verdict.remaining_ns is not None:
            self.decide_at = now + verdict.remaining_ns
        return verdict

    # What survives a restart.

    def encode(self) -> bytes:
        """Return the bytes to store, which `decode_stored_node_set` reads back. A set must be in force."""
        assert self.node_set is not None
        return encode_checksummed(
            FORMAT_VERSION,
            {
                "version": self.version,
                "hash": self.node_set.hash,
                "nodes": {name: list(listed) for name, listed in self.node_set.nodes.items()},
                "history": list(self.history),
            },
        )


def decode_stored_node_set(data: bytes) -> StoredNodeSet:
    """Return what `NodeSetInForce.encode` was called on.

    :raises MalformedError: the file is torn, changed, or of a form that is not known.
    """
    found = decode_checksummed(FORMAT_VERSION, data)
    node_set = NodeSet({name: ListedNode(*listed) for name, listed in found["nodes"].items()})
    if node_set.hash != found["hash"]:
        raise MalformedError("its nodes do not make the set that it names")
    return StoredNodeSet(node_set, found["version"], tuple(HistoryEntry(*entry) for entry in found["history"]))
