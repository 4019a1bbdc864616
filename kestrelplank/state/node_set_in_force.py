"""The node set in force, and the candidate from several node lists that may replace it."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from kestrelplank.decode import MalformedError
from kestrelplank.state.change_guard import ChangeLimits, Decision, Verdict, evaluate_change
from kestrelplank.state.node_set import InvalidNodeSetError, ListedNode, NodeList, NodeSet, assemble, difference
from kestrelplank.state.sealed import decode_checksummed, encode_checksummed

MAX_HISTORY = 64
FORMAT_VERSION = 1  # of the stored file


class HistoryEntry(NamedTuple):
    """A version that came into force, and a summary of its changes."""

    version: int
    short_hash: str
    summary: str


class StoredNodeSet(NamedTuple):
    """The state that survives a restart."""

    node_set: NodeSet
    version: int
    history: tuple[HistoryEntry, ...]


class Outcome(NamedTuple):
    """The decision on a change, and version and hash of the set in force afterwards ("" if there is none)."""

    decision: Decision
    reason: str
    version: int
    short_hash: str


class NodeSetInForce:
    """The node set in force, and the candidate that the files make.

    If any file has a problem, the set in force stays and the other files are not used without it, as two files may only
    be valid together
    (`tests/state/test_node_set_in_force.py::test_problem_with_one_file_keeps_the_set_in_force_despite_changes_in_others`).

    :param node_set: the set in force before a restart, if any, with its version and history.
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
        self.decide_at: int | None = None  # when to call `decide` again without a change of a file
        self._node_lists: dict[str, NodeList] = {}  # by path
        self._problems: dict[str, str] = {}
        self._candidate: tuple[NodeSet, int] | None = None  # the set that the files make, and since when
        self._reported: tuple[Decision, str] | None = None

    @property
    def waiting(self) -> bool:
        """Whether a candidate set is waiting for confirmation."""
        return self._candidate is not None

    def update_file(self, path: str, reading: NodeList | str) -> None:
        """Record a file's list, or the problem with the file."""
        if isinstance(reading, NodeList):
            self._node_lists[path] = reading
            self._problems.pop(path, None)
        else:
            self._problems[path] = reading

    def remove_file(self, path: str) -> None:
        """Remove a file that is no longer configured."""
        self._node_lists.pop(path, None)
        self._problems.pop(path, None)

    def decide(self, now: int) -> Outcome | None:
        """Decide on the set that the files make; None if there is nothing new to report."""
        self.decide_at = None
        verdict = self._evaluate(now)
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
        assert self._candidate is not None  # it was accepted
        former, self.node_set = self.node_set, self._candidate[0]
        self.version += 1
        summary = str(difference(former, self.node_set)) if former else f"{len(self.node_set)} nodes"
        self.history.append(HistoryEntry(self.version, self.node_set.short_hash, summary))
        self._candidate = self._reported = None

    def _evaluate(self, now: int) -> Verdict | None:
        """Return the verdict on the set that the files make; None if it is in force already or there is no file."""
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

    # Persistence.

    def encode(self) -> bytes:
        """Return the bytes to store, for `decode_stored_node_set`. A set must be in force."""
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
    """Decode what `NodeSetInForce.encode` returned.

    :raises MalformedError: the data is torn or changed, or its format version is not supported.
    """
    stored = decode_checksummed(FORMAT_VERSION, data)
    node_set = NodeSet({name: ListedNode(*listed) for name, listed in stored["nodes"].items()})
    if node_set.hash != stored["hash"]:
        raise MalformedError("the hash of its nodes does not match the stored hash")
    return StoredNodeSet(node_set, stored["version"], tuple(HistoryEntry(*entry) for entry in stored["history"]))
