"""What conductors are told of a set of nodes over time: drains before nodes go, cold returns, weights in steps.

`accept` takes the set that shall hold; `advance` says what has come of it by now, as entries for the module:
(name, condition, zone, cell, weight, boot), condition up, draining or removed, boot in ns of the caller's clock.
"""

from typing import NamedTuple

from kestrelplank.state.node_set import ListedNode, NodeSet

SECOND = 1_000_000_000

Entry = tuple[str, str, str, int | None, float, int | None]


class Terms(NamedTuple):
    """`grace` (ns): a node that vanished from the files drains so long before it is gone. `weight_step`: the most by
    which a weight may change in a second, as a share of itself; 0: at once."""

    grace: int
    weight_step: float


class Told:
    """One node as it was last told, and where it is going. `gone_at`: it has vanished, and goes then."""

    __slots__ = ("listed", "condition", "weight", "boot", "gone_at")

    def __init__(self, listed: ListedNode, boot: int | None) -> None:
        self.listed, self.boot = listed, boot
        self.condition, self.weight = "up" if listed.ready else "draining", listed.weight
        self.gone_at: int | None = None

    def entry(self, name: str) -> Entry:
        # A weight of 0 would read as none given; whoever drains is given no work anyway.
        return (name, self.condition, self.listed.zone, self.listed.cell, self.weight or 1.0, self.boot)


class Roster:
    """Guards against work that is cut off (a vanished node drains first), against a cold node taken for a warm one
    (whoever was away, drained, or has moved comes back with a start of now), and against a typing error in a weight
    (it moves by a step a second, so it is seen before it has done much). Harm: a node that was only renamed away and
    back is warmed up again; a wanted change of weight takes its time."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self._told: dict[str, Told] = {}
        self._changed: dict[str, None] = {}
        self._first, self._stepped_at = True, 0

    def accept(self, now: int, new: NodeSet) -> None:
        """That set shall hold from now on."""
        if not self._stepping():
            self._stepped_at = now
        for name, listed in new.nodes.items():
            told = self._told.get(name)
            if told is None or told.condition == "removed" or self._moved(told.listed, listed):
                # The first set of all is of nodes that have long been there.
                self._told[name] = Told(listed, None if self._first else now)
                self._changed[name] = None
            elif told.listed != listed or told.gone_at is not None:
                self._follow(now, name, told, listed)
        for name, told in self._told.items():
            if name not in new.nodes and told.condition != "removed" and told.gone_at is None:
                told.condition, told.gone_at = "draining", now + self.terms.grace
                self._changed[name] = None
        self._first = False

    def _moved(self, old: ListedNode, new: ListedNode) -> bool:
        """Another process under the same name."""
        return (old.zone, old.address) != (new.zone, new.address)

    def _follow(self, now: int, name: str, told: Told, listed: ListedNode) -> None:
        back = told.condition == "draining" and listed.ready
        told.listed, told.gone_at = listed, None
        if back:
            told.boot, told.weight, told.condition = now, listed.weight, "up"
        elif not listed.ready:
            told.condition = "draining"
        elif not self.terms.weight_step:
            told.weight = listed.weight
        self._changed[name] = None

    def _stepping(self) -> bool:
        return any(told.condition == "up" and told.weight != told.listed.weight for told in self._told.values())

    def advance(self, now: int) -> list[Entry]:
        """What has changed since it was last asked, in the order of names."""
        for name, told in self._told.items():
            if told.gone_at is not None and now >= told.gone_at:
                told.condition, told.gone_at = "removed", None
                self._changed[name] = None
        while now >= self._stepped_at + SECOND and self._stepping():
            self._stepped_at += SECOND
            self._step()
        changed, self._changed = sorted(self._changed), {}
        entries = [self._told[name].entry(name) for name in changed]
        for name in changed:
            if self._told[name].condition == "removed":
                del self._told[name]
        return entries

    def _step(self) -> None:
        factor = 1 + self.terms.weight_step
        for name, told in self._told.items():
            wanted = told.listed.weight
            if told.condition == "up" and told.weight != wanted:
                told.weight = (
                    min(wanted, told.weight * factor) if wanted > told.weight else max(wanted, told.weight / factor)
                )
                self._changed[name] = None

    def due(self, now: int) -> int | None:
        """When to advance next; None while nothing is on its way."""
        times = [told.gone_at for told in self._told.values() if told.gone_at is not None]
        if self._stepping():
            times.append(self._stepped_at + SECOND)
        return now if self._changed else min(times, default=None)

    def whole(self) -> list[Entry]:
        """All that is told now, in the order of names; nothing is left to tell afterwards but what comes later."""
        self._changed.clear()
        return [self._told[name].entry(name) for name in sorted(self._told)]
