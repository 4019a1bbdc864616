"""A checked, immutable set of nodes, put together from the readings of several files, and what two sets differ in.

A set that exists is valid: `assemble` makes one whole or says all that speaks against it, each with its place.
"""

import hashlib
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import msgspec

MOST_SAID = 3  # conflicts told in one line; the rest is counted
SHORT = 8  # digits of a hash that a person compares or writes down


class Listed(NamedTuple):
    """A node as it is listed. Weight 0 asks for no work, and is a drain by another name."""

    zone: str
    address: str
    weight: float = 1.0
    draining: bool = False
    cell: int | None = None

    @property
    def ready(self) -> bool:
        return not self.draining and self.weight > 0


class Line(NamedTuple):
    """One node as one file has it, with the line."""

    name: str
    listed: Listed
    line: int


class Part(NamedTuple):
    """What one file says, read whole. `confirms`: the hash of the set that its writer means to replace."""

    path: str
    lines: tuple[Line, ...]
    confirms: str = ""


class Conflict(NamedTuple):
    path: str
    line: int
    why: str

    def __str__(self) -> str:
        return f"{self.path}, line {self.line}: {self.why}" if self.path else self.why


class Refused(ValueError):
    """No set can be made; the text names the first conflicts with file and line."""

    def __init__(self, conflicts: list[Conflict]) -> None:
        self.conflicts = conflicts
        more = len(conflicts) - MOST_SAID
        super().__init__("; ".join(map(str, conflicts[:MOST_SAID])) + (f"; and {more} more" if more > 0 else ""))


class NodeSet:
    """Name to what is listed, in the order of names, and a hash of the whole content: equal sets have equal hashes,
    in whatever files and order they were written."""

    __slots__ = ("nodes", "hash", "zones")

    def __init__(self, nodes: Mapping[str, Listed]) -> None:
        self.nodes = MappingProxyType({name: nodes[name] for name in sorted(nodes)})
        digest = hashlib.blake2b(digest_size=16)
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
    def short(self) -> str:
        return self.hash[:SHORT]

    def __eq__(self, other: object) -> bool:
        return isinstance(other, NodeSet) and self.hash == other.hash

    def __hash__(self) -> int:
        return hash(self.hash)

    def __len__(self) -> int:
        return len(self.nodes)

    def ready(self) -> list[str]:
        return [name for name, listed in self.nodes.items() if listed.ready]


def assemble(parts: Iterable[Part]) -> NodeSet:
    """One set out of all parts. Raises Refused where a node stands twice, differently or not, where two nodes have
    one address, or where a zone's nodes that do not drain weigh nothing together."""
    where: dict[str, tuple[str, int, Listed]] = {}
    addresses: dict[str, tuple[str, int, str]] = {}
    weights: dict[str, list[float]] = {}
    conflicts: list[Conflict] = []
    for part in parts:
        for name, listed, line in part.lines:
            if name in where:
                path, at, other = where[name]
                what = (
                    f"in zone {listed.zone} and in zone {other.zone}"
                    if listed.zone != other.zone
                    else f"at {listed.address} and at {other.address}"
                    if listed.address != other.address
                    else "twice"
                )
                conflicts.append(Conflict(part.path, line, f"{name} stands {what} ({path}, line {at})"))
                continue
            where[name] = part.path, line, listed
            if listed.address in addresses:
                path, at, other_name = addresses[listed.address]
                conflicts.append(
                    Conflict(
                        part.path, line, f"{name} has the address of {other_name}, {listed.address} ({path}, line {at})"
                    )
                )
            else:
                addresses[listed.address] = part.path, line, name
            if not listed.draining:
                weights.setdefault(listed.zone, []).append(listed.weight)
    conflicts += [
        Conflict("", 0, f"zone {zone}: the weights of its {len(some)} open nodes sum to nothing")
        for zone, some in weights.items()
        if not sum(some)
    ]
    if conflicts:
        raise Refused(conflicts)
    return NodeSet({name: listed for name, (_, _, listed) in where.items()})


class Difference(NamedTuple):
    """Names, in order: added, gone, changed in any way, and of those left the ones that no longer are ready."""

    added: tuple[str, ...]
    gone: tuple[str, ...]
    changed: tuple[str, ...]
    closed: tuple[str, ...]

    def __str__(self) -> str:
        return f"{len(self.added)} added, {len(self.gone)} gone, {len(self.changed)} changed, {len(self.closed)} closed"


def difference(old: NodeSet, new: NodeSet) -> Difference:
    """What `new` changes of `old`."""
    both = [name for name in new.nodes if name in old.nodes]
    return Difference(
        tuple(name for name in new.nodes if name not in old.nodes),
        tuple(name for name in old.nodes if name not in new.nodes),
        tuple(name for name in both if old.nodes[name] != new.nodes[name]),
        tuple(name for name in both if old.nodes[name].ready and not new.nodes[name].ready),
    )
