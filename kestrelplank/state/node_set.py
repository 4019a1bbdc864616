"""A checked, immutable set of nodes, put together from the readings of several files, and what two sets differ in.

A set that exists is valid: `assemble` makes one completely, or says all that speaks against it with file and line.
"""

import hashlib
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import msgspec

MAX_CONFLICTS_NAMED = 3  # in an error's text; the rest is counted
SHORT_HASH_DIGITS = 8  # that a person compares or writes down
HASH_BYTES = 16


class ListedNode(NamedTuple):
    """A node as it is listed. Weight 0 asks for no work, and is a drain by another name."""

    zone: str
    address: str
    weight: float = 1.0
    draining: bool = False
    cell: int | None = None

    @property
    def ready(self) -> bool:
        """Whether it may be given work."""
        return not self.draining and self.weight > 0


class NodeListEntry(NamedTuple):
    """One node as one file has it, and the number of its line."""

    name: str
    listed: ListedNode
    line_number: int


class NodeList(NamedTuple):
    """What one file says.

    :param confirmed_hash: of the set that the file's writer means to replace, "" where they name none.
    """

    path: str
    entries: tuple[NodeListEntry, ...]
    confirmed_hash: str = ""


class Conflict(NamedTuple):
    """What speaks against a set, and where it stands; `path` "": in no one place."""

    path: str
    line_number: int
    reason: str

    def __str__(self) -> str:
        return f"{self.path}, line {self.line_number}: {self.reason}" if self.path else self.reason


class InvalidNodeSetError(ValueError):
    """No set can be made; the text names the first conflicts with file and line."""

    def __init__(self, conflicts: list[Conflict]) -> None:
        self.conflicts = conflicts
        more = len(conflicts) - MAX_CONFLICTS_NAMED
        named = "; ".join(map(str, conflicts[:MAX_CONFLICTS_NAMED]))
        super().__init__(named + (f"; and {more} more" if more > 0 else ""))


class NodeSet:
    """Name to what is listed, in the order of names, and a hash of the whole content.

    Equal sets have equal hashes, in whatever files and order they were written
    (`tests/state/test_node_set.py::test_a_set_is_the_same_in_whatever_files_and_order_it_was_written`).
    """

    __slots__ = ("nodes", "hash", "zones")

    def __init__(self, nodes: Mapping[str, ListedNode]) -> None:
        self.nodes = MappingProxyType({name: nodes[name] for name in sorted(nodes)})
        digest = hashlib.blake2b(digest_size=HASH_BYTES)
        for name, listed in self.nodes.items():
            digest.update(msgspec.json.encode((name, *listed)) + b"\n")
        self.hash = digest.hexdigest()
        self.zones: dict[str, list[str]] = {}  # zone to its ready nodes, zones in the order of names
        for zone in sorted({listed.zone for listed in self.nodes.values()}):
            self.zones[zone] = []
        for name, listed in self.nodes.items():
            if listed.ready:
                self.zones[listed.zone].append(name)

    @property
    def short_hash(self) -> str:
        """The digits of the hash that a person compares."""
        return self.hash[:SHORT_HASH_DIGITS]

    def __eq__(self, other: object) -> bool:
        return isinstance(other, NodeSet) and self.hash == other.hash

    def __hash__(self) -> int:
        return hash(self.hash)

    def __len__(self) -> int:
        return len(self.nodes)

    def ready_nodes(self) -> list[str]:
        """Return the names of the nodes that may be given work."""
        return [name for name, listed in self.nodes.items() if listed.ready]


def assemble(node_lists: Iterable[NodeList]) -> NodeSet:
    """Return one set out of all lists.

    :raises InvalidNodeSetError: a node is listed twice, differently or not, two nodes have one address, or the nodes of
        a zone that do not drain weigh nothing together.
    """
    assembly = _Assembly()
    for node_list in node_lists:
        for entry in node_list.entries:
            assembly.add(node_list.path, entry)
    conflicts = [*assembly.conflicts, *assembly.weightless_zones()]
    if conflicts:
        raise InvalidNodeSetError(conflicts)
    return NodeSet({name: entry.listed for name, (_, entry) in assembly.by_name.items()})


class _Assembly:
    """What has been gathered of the lists so far."""

    def __init__(self) -> None:
        self.by_name: dict[str, tuple[str, NodeListEntry]] = {}  # with the path of the list
        self.conflicts: list[Conflict] = []
        self._by_address: dict[str, tuple[str, NodeListEntry]] = {}
        self._weights: dict[str, list[float]] = {}  # of nodes that do not drain, by zone

    def add(self, path: str, entry: NodeListEntry) -> None:
        """Add a node, or what speaks against it."""
        listed = entry.listed
        if entry.name in self.by_name:
            self._add_conflict(path, entry, f"{entry.name} stands {_how_twice(listed, self.by_name[entry.name])}")
            return
        self.by_name[entry.name] = path, entry
        if listed.address in self._by_address:
            other_path, other = self._by_address[listed.address]
            reason = f"{entry.name} has the address of {other.name}, {listed.address}"
            self._add_conflict(path, entry, f"{reason} ({other_path}, line {other.line_number})")
        else:
            self._by_address[listed.address] = path, entry
        if not listed.draining:
            self._weights.setdefault(listed.zone, []).append(listed.weight)

    def weightless_zones(self) -> list[Conflict]:
        """Return a conflict for each zone whose nodes would get no work."""
        return [
            Conflict("", 0, f"zone {zone}: the weights of its {len(weights)} open nodes sum to nothing")
            for zone, weights in self._weights.items()
            if not sum(weights)
        ]

    def _add_conflict(self, path: str, entry: NodeListEntry, reason: str) -> None:
        self.conflicts.append(Conflict(path, entry.line_number, reason))


def _how_twice(listed: ListedNode, former: tuple[str, NodeListEntry]) -> str:
    """Return how a node that is listed twice differs, and where it was listed first."""
    path, other = former
    if listed.zone != other.listed.zone:
        how = f"in zone {listed.zone} and in zone {other.listed.zone}"
    elif listed.address != other.listed.address:
        how = f"at {listed.address} and at {other.listed.address}"
    else:
        how = "twice"
    return f"{how} ({path}, line {other.line_number})"


class Difference(NamedTuple):
    """Names, in order; the fields have their names in the output of `kestrelplank nodes diff` too.

    :param changed: in any way.
    :param closed: of those left, the ones that no longer are ready.
    """

    added: tuple[str, ...]
    gone: tuple[str, ...]
    changed: tuple[str, ...]
    closed: tuple[str, ...]

    def __str__(self) -> str:
        return f"{len(self.added)} added, {len(self.gone)} gone, {len(self.changed)} changed, {len(self.closed)} closed"


def difference(old: NodeSet, new: NodeSet) -> Difference:
    """Return what `new` changes of `old`."""
    both = [name for name in new.nodes if name in old.nodes]
    return Difference(
        tuple(name for name in new.nodes if name not in old.nodes),
        tuple(name for name in old.nodes if name not in new.nodes),
        tuple(name for name in both if old.nodes[name] != new.nodes[name]),
        tuple(name for name in both if old.nodes[name].ready and not new.nodes[name].ready),
    )
