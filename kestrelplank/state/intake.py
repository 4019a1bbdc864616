"""From readings of several files to the one set in force: when a reading counts, what all of them make, and whether
that may follow. The files' adapter calls in; the answers say what to do, and why.
"""

from collections import deque
from typing import NamedTuple

from kestrelplank.decode import Malformed
from kestrelplank.state.guards import ACCEPTED, REFUSED, WAITING, Terms, judge
from kestrelplank.state.nodeset import Listed, NodeSet, Part, Refused, assemble, difference
from kestrelplank.state.sealed import sealed, unsealed

MOST_HISTORY = 64
FORM = 1  # of what is stored

PATIENCE = 10  # quiet times that a file that has settled waits for one that is still written
SAME, SETTLED = "same", "settled"


class Debounce:
    """When the content of a file counts: once two readings at least `quiet` (ns) apart found the same, by digest
    (None: no such file). Guards against a write that is under way. Also catches a file that is gone for a moment, as
    editors rename. Harm: a change counts that much later, and one that never rests never does."""

    def __init__(self, quiet: int) -> None:
        self._quiet = quiet
        self._settled: dict[str, str | None] = {}
        self._pending: dict[str, tuple[str | None, int]] = {}
        self._busy_since = 0

    def see(self, now: int, path: str, digest: str | None) -> str | int:
        """What a reading means: `same` as what counts already, `settled` (it counts from now on), or the time at
        which to read again."""
        if path in self._settled and self._settled[path] == digest:
            self._pending.pop(path, None)
            return SAME
        seen = self._pending.get(path)
        if not self._pending:
            self._busy_since = now
        if seen is None or seen[0] != digest:
            seen = self._pending[path] = digest, now
        if now - seen[1] < self._quiet:
            return seen[1] + self._quiet
        del self._pending[path]
        self._settled[path] = digest
        return SETTLED

    def forget(self, path: str) -> None:
        """Whatever is found there next counts as new."""
        self._settled.pop(path, None)
        self._pending.pop(path, None)

    def at_rest(self, now: int) -> bool:
        """Whether to decide now: no file is being written, or some file has been for so long that the others shall
        not wait for it. Guards against deciding between two writes that only make sense together."""
        return not self._pending or now - self._busy_since >= PATIENCE * self._quiet


class Outcome(NamedTuple):
    """What has become of a change: how, why, the version now in force and its short hash."""

    how: str
    why: str
    version: int
    short: str


class Intake:
    """`force` and `version`: what stood before a restart, if anything did. A problem with any file keeps the set in
    force: from the others alone nothing is made, as two files may make sense only together."""

    def __init__(
        self, terms: Terms, force: NodeSet | None = None, version: int = 0, history: tuple[tuple, ...] = ()
    ) -> None:
        self.terms, self.force, self.version = terms, force, version
        self.history: deque[tuple] = deque(history, MOST_HISTORY)  # (version, short, summary)
        self._parts: dict[str, Part] = {}
        self._problems: dict[str, str] = {}
        self._candidate: tuple[NodeSet, int] | None = None  # what the files make, and since when
        self._said: tuple | None = None
        self.due: int | None = None  # when to decide again though no file changes

    @property
    def waiting(self) -> bool:
        """Whether the files make a set that waits for a second word."""
        return self._candidate is not None

    def take(self, path: str, found: Part | str) -> None:
        """A file's reading counts: its part, or what is wrong with it."""
        if isinstance(found, Part):
            self._parts[path] = found
            self._problems.pop(path, None)
        else:
            self._problems[path] = found

    def drop(self, path: str) -> None:
        """That file is no longer one of ours, by the operator's word."""
        self._parts.pop(path, None)
        self._problems.pop(path, None)

    def decide(self, now: int) -> Outcome | None:
        """What the readings that count come to; None where that has been said already."""
        self.due = None
        how, why = self._judge(now)
        if how == ACCEPTED:
            old, self.force = self.force, self._candidate[0]
            self.version += 1
            summary = str(difference(old, self.force)) if old else f"{len(self.force)} nodes"
            self.history.append((self.version, self.force.short, summary))
            self._candidate = self._said = None
        elif (how, why) == self._said:
            return None
        else:
            self._said = (how, why) if how else None
        return Outcome(how, why, self.version, self.force.short if self.force else "") if how else None

    def _judge(self, now: int) -> tuple[str, str]:
        if self._problems or not self._parts:
            self._candidate = None
            return (REFUSED, next(iter(self._problems.values()))) if self._problems else ("", "")
        try:
            new = assemble(self._parts[path] for path in sorted(self._parts))
        except Refused as err:
            self._candidate = None
            return REFUSED, str(err)
        if new == self.force:
            self._candidate = None
            return "", ""
        if self._candidate is None or self._candidate[0] != new:
            self._candidate = new, now
        since = self._candidate[1]
        confirms = tuple(part.confirms for part in self._parts.values() if part.confirms)
        verdict = judge(self.force, new, confirms, max(0, now - since), self.terms)
        if verdict.how == WAITING and verdict.left is not None:
            self.due = now + verdict.left
        return verdict.how, verdict.why

    # What survives a restart.

    def stored(self) -> bytes:
        """The set in force, to be kept in a file: read back by `restored`."""
        return sealed(
            FORM,
            {
                "version": self.version,
                "hash": self.force.hash,
                "nodes": {name: list(listed) for name, listed in self.force.nodes.items()},
                "history": list(self.history),
            },
        )


def restored(data: bytes) -> tuple[NodeSet, int, tuple[tuple, ...]]:
    """Set, version and history out of what `stored` made; raises Malformed as `unsealed` does."""
    found = unsealed(FORM, data)
    nodes = NodeSet({name: Listed(*listed) for name, listed in found["nodes"].items()})
    if nodes.hash != found["hash"]:
        raise Malformed("its nodes do not make the set that it names")
    return nodes, found["version"], tuple(tuple(entry) for entry in found["history"])
