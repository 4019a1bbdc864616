"""Nodes told by files and by discovery at once: which of the two holds.

An entry is (node, condition, zone, cell, weight, boot), node an index. Where files are the authority they say which
nodes there are, their zone and weight; discovery may only take away: a node that it lists as draining or gone is so,
and the later of two starts counts. Where discovery is the authority it is the other way round. What the authority does
not list is not told; what the other does not list is as the authority says.
"""

from collections.abc import Iterable

FILES, DISCOVERY = "files", "discovery"
WORSE = {"up": 0, "draining": 1, "removed": 2}

Entry = tuple[int, str, int | None, int | None, float, int | None]


class Blend:
    """Takes entries of either side and says what that changes of what was told."""

    def __init__(self, authority: str) -> None:
        self._authority = authority
        self._sides: dict[str, dict[int, Entry]] = {FILES: {}, DISCOVERY: {}}
        self._told: dict[int, Entry] = {}

    def take(self, side: str, how: str, entries: Iterable[Entry]) -> tuple[str, list[Entry]]:
        """A list (`how`: cached, full, delta) of one side. Returns how to tell the module, and the entries: a whole
        list of the authority is told whole, anything else as what it changes."""
        held, touched = self._sides[side], {}
        if how != "delta":  # whoever is no longer listed is gone
            for node, entry in held.items():
                touched[node] = None
                held[node] = (node, "removed", *entry[2:])
        for entry in entries:
            touched[entry[0]] = None
            held[entry[0]] = entry
        changed = []
        for node in touched:
            entry = self._entry(node)
            if entry is not None and entry != self._told.get(node):
                changed.append(entry)
                self._told[node] = entry
        if how != "delta" and side == self._authority:
            return how, [entry for entry in self._told.values() if entry[1] != "removed"]
        return "delta", changed

    def _entry(self, node: int) -> Entry | None:
        """What holds for a node; None where there is nothing to tell."""
        other = DISCOVERY if self._authority == FILES else FILES
        first, second = self._sides[self._authority].get(node), self._sides[other].get(node)
        if first is None:
            return None
        if second is None:
            return first
        condition = max(first[1], second[1], key=WORSE.__getitem__)
        boots = [boot for boot in (first[5], second[5]) if boot is not None]
        return (node, condition, first[2], first[3], first[4], max(boots, default=None))

    def forget(self, node: int) -> None:
        """Nothing is held of a node any more."""
        for held in (*self._sides.values(), self._told):
            held.pop(node, None)
