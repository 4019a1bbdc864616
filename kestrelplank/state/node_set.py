"""A validated, immutable set of nodes, assembled from the lists of several files, and the difference of two sets.

Every `NodeSet` returned by `assemble` is valid; otherwise it raises an error with the file and line of each conflict.
"""

import hashlib
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import msgspec

MAX_CONFLICTS_NAMED = 3  # in an error's text; the others are only counted
SHORT_HASH_DIGITS = 8  # hash prefix that operators compare or write down
HASH_BYTES = 16


class ListedNode(NamedTuple):
    """A node's attributes in a list. Weight 0 has the same effect as draining."""

    zone: str
    address: str
    weight: float = 1.0
    draining: bool = False
    cell: int | None = None

    @property
    def ready(self) -> bool:
        """Whether the node may receive requests."""
        return not self.draining and self.weight > 0


class NodeListEntry(NamedTuple):
    """One node in a file, and the number of its line."""

    name: str
    listed: ListedNode
    line_number: int


class NodeList(NamedTuple):
    """The content of one file.

    :param confirmed_hash: hash of the node set that the file's author confirms to replace, "" if there is none.
    """

    path: str
    entries: tuple[NodeListEntry, ...]
    confirmed_hash: str = ""


class Conflict(NamedTuple):
    """A reason why a set is invalid, and its file and line; `path` is "" if it has no single location."""

    path: str
    line_number: int
    reason: str

    def __str__(self) -> str:
        return f"{self.path}, line {self.line_number}: {self.reason}" if self.path else self.reason


class InvalidNodeSetError(ValueError):
    """The lists do not make a valid set; the text names the first conflicts with file and line."""

    def __init__(self, conflicts: list[Conflict]) -> None:
        self.conflicts = conflicts
        more = len(conflicts) - MAX_CONFLICTS_NAMED
        named = "; ".join(map(str, conflicts[:MAX_CONFLICTS_NAMED]))
        super().__init__(named + (f"; and {more} more" if more > 0 else ""))


class NodeSet:
    """Nodes by name, in the order of names, and a hash of the complete content.

    Equal sets have equal hashes, however the nodes are split into files and ordered
    (`tests/state/test_node_set.py::test_set_and_hash_do_not_depend_on_files_or_order`).
    """

    __slots__ = ("nodes", "hash", "zones")

    def __init__(self, nodes: Mapping[str, ListedNode]) -> None:
        self.nodes = MappingProxyType({name: nodes[name] for name in sorted(nodes)})
        digest = hashlib.blake2b(digest_size=HASH_BYTES)
        for name, listed in self.nodes.items():
            digest.update(msgspec.json.encode((name, *listed)) + b"\n")
        self.hash = digest.hexdigest()
        self.zones: dict[str, list[str]] = {}  # ready nodes by zone; zones in the order of names
        for zone in sorted({listed.zone for listed in self.nodes.values()}):
            self.zones[zone] = []
        for name, listed in self.nodes.items():
            if listed.ready:
                self.zones[listed.zone].append(name)

    @property
    def short_hash(self) -> str:
        """The first digits of the hash, for operators."""
        return self.hash[:SHORT_HASH_DIGITS]

    def __eq__(self, other: object) -> bool:
        return isinstance(other, NodeSet) and self.hash == other.hash

    def __hash__(self) -> int:
        return hash(self.hash)

    def __len__(self) -> int:
        return len(self.nodes)

    def ready_nodes(self) -> list[str]:
        """Return the names of the nodes that may receive requests."""
        return [name for name, listed in self.nodes.items() if listed.ready]


def assemble(node_lists: Iterable[NodeList]) -> NodeSet:
    """Return the set of all listed nodes.

    :raises InvalidNodeSetError: a node is listed more than once, two nodes have the same address, or the weights of a
        zone's nodes that do not drain sum to 0.
    """
    assembly = _Assembly()
    for node_list in node_lists:
        for entry in node_list.entries:
            assembly.add(node_list.path, entry)
    conflicts = [*assembly.conflicts, *assembly.zero_weight_zones()]
    if conflicts:
        raise InvalidNodeSetError(conflicts)
    return NodeSet({name: entry.listed for name, (_, entry) in assembly.by_name.items()})


class _Assembly:
    """The nodes and conflicts found in the lists so far."""

    def __init__(self) -> None:
        self.by_name: dict[str, tuple[str, NodeListEntry]] = {}  # path of the list, and the entry
        self.conflicts: list[Conflict] = []
        self._by_address: dict[str, tuple[str, NodeListEntry]] = {}
        self._weights: dict[str, list[float]] = {}  # of nodes that do not drain, by zone

    def add(self, path: str, entry: NodeListEntry) -> None:
        """Add a node, or the conflict that it causes."""
        listed = entry.listed
        if entry.name in self.by_name:
            self._add_conflict(
                path, entry, f"{entry.name} stands {_describe_duplicate(listed, self.by_name[entry.name])}"
            )
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

    def zero_weight_zones(self) -> list[Conflict]:
        """Return a conflict for each zone whose nodes that do not drain have a total weight of 0."""
        return [
            Conflict("", 0, f"zone {zone}: the weights of its {len(weights)} nodes that do not drain sum to 0")
            for zone, weights in self._weights.items()
            if not sum(weights)
        ]

    def _add_conflict(self, path: str, entry: NodeListEntry, reason: str) -> None:
        self.conflicts.append(Conflict(path, entry.line_number, reason))


def _describe_duplicate(listed: ListedNode, former: tuple[str, NodeListEntry]) -> str:
    """Return how the entries of a node that is listed twice differ, and the location of the first one."""
    path, other = former
    if listed.zone != other.listed.zone:
        how = f"in zone {listed.zone} and in zone {other.listed.zone}"
    elif listed.address != other.listed.address:
        how = f"at {listed.address} and at {other.listed.address}"
    else:
        how = "in the lists twice"
    return f"{how} ({path}, line {other.line_number})"


class Difference(NamedTuple):
    """Node names in order, by kind of change; the field names appear in the output of `kestrelplank nodes diff`.

    :param changed: nodes with any changed attribute.
    :param closed: nodes in both sets that were ready and are not any more.
    """

    added: tuple[str, ...]
    gone: tuple[str, ...]
    changed: tuple[str, ...]
    closed: tuple[str, ...]

    def __str__(self) -> str:
        return f"{len(self.added)} added, {len(self.gone)} gone, {len(self.changed)} changed, {len(self.closed)} closed"


def difference(old: NodeSet, new: NodeSet) -> Difference:
    """Return the difference from `old` to `new`."""
    both = [name for name in new.nodes if name in old.nodes]
    return Difference(
        tuple(name for name in new.nodes if name not in old.nodes),
        tuple(name for name in old.nodes if name not in new.nodes),
        tuple(name for name in both if old.nodes[name] != new.nodes[name]),
        tuple(name for name in both if old.nodes[name].ready and not new.nodes[name].ready),
    )
