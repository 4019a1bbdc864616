"""Which zones a relay of its own tables sends to: its own first, then nearer tiers before farther ones, each up to a
stated share of the room that it has to spare. Times are whole ns.

What a node has room for is what its learned limit says (`load_balancing/limits`); that stands here for capacity, as
nobody tells a relay what a node can do. So a tier is entered when nearer ones are full, not when they are merely
loaded.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from kestrelplank.load_balancing.returning import Damping, Flaps
from kestrelplank.load_balancing.tiers import by_distance, panics

Lines = Sequence[tuple[int, float]]


class Terms(NamedTuple):
    """`spill`: by tier, the share of a node's room that spill may take; beyond the last, that one's. `near` (ns): zones
    about as far as each other are one tier. `begins`, `ends`: the shares of own room out at which spill begins and
    ends. `panic`: with fewer ready than that share of the known nodes, health is no longer asked."""

    spill: tuple[float, ...] = (0.8, 0.5)
    near: float = 500_000.0
    begins: float = 0.9
    ends: float = 0.7
    panic: float = 0.5


class Zone:
    """One zone as this relay finds it: whether it is there, whether it flaps, and what is out in it."""

    def __init__(self, damping: Damping) -> None:
        self.flaps = Flaps(damping)
        self.row, self.out = 0, 0


class Preference:
    """Narrows the lines of a table to those that an op may take now.

    `room(node)` tells how many ops a node may have out and how many it has. A zone counts as lost after `strikes` tries
    in a row that met nobody there, over all its nodes, and as back with the first good answer from a try that was let
    through to see; it is fed once its hold is over. Guards against work that is spread over the world when a zone is
    merely busy, against a far zone filled by a near one's loss, and against a zone that comes and goes. Harm: the first
    ops after a loss wait for the strikes; a zone that is held stands idle though it might serve."""

    LOOKS = 1_000_000_000  # a zone that is lost is looked at so often, by one op

    def __init__(
        self, own: int, terms: Terms, damping: Damping, strikes: int, room: Callable[[int], tuple[float, int]]
    ) -> None:
        self._own, self._terms, self._damping, self._strikes = own, terms, damping, strikes
        self._room = room
        self._zones: dict[int, Zone] = {own: Zone(damping)}
        self._zone_of: dict[int, int] = {}
        self._tiers: list[list[int]] = []
        self._distances: dict[tuple[int, int], float] = {}
        self._spills = False
        self._looked: dict[int, int] = {}
        self.counts: Counter[str] = Counter()

    # What is known.

    def placed(self, node: int, zone: int) -> None:
        """A node stands in that zone."""
        self._zone_of[node] = zone
        if zone not in self._zones:
            self._zones[zone] = Zone(self._damping)
            self._order()

    def far(self, zone: int, distance: float) -> None:
        """How much longer an answer takes from there than from here (ns)."""
        self._distances[self._own, zone] = distance
        self._order()

    def _order(self) -> None:
        self._tiers = by_distance(self._own, sorted(self._zones), self._distances, self._terms.near)

    def tiers(self) -> list[list[int]]:
        return self._tiers

    def began(self, node: int) -> None:
        self._zone(node).out += 1

    def ended(self, now: int, node: int, met: bool) -> None:
        """A try there has ended; `met`: somebody answered, whatever was said."""
        zone = self._zone(node)
        zone.out -= 1
        if met:
            zone.row = 0
            if not zone.flaps.up:
                zone.flaps.back(now)
                self.counts["zones_back"] += 1
            return
        zone.row += 1
        if zone.row == self._strikes and zone.flaps.up:
            zone.flaps.lost(now)
            self.counts["zones_lost"] += 1

    def _zone(self, node: int) -> Zone:
        return self._zones[self._zone_of.get(node, self._own)]

    def feeds(self, now: int, zone: int) -> bool:
        """Whether ops may go there: it is there and not held down, or it is time to look."""
        held = self._zones[zone].flaps
        if held.feeds(now):
            return True
        return not held.up and now - self._looked.get(zone, -self.LOOKS) >= self.LOOKS

    # What is decided.

    def narrow(self, now: int, lines: Lines) -> Lines:
        """The lines that an op may take: of the own zone while it has room, else of the first tier that may take spill.
        Empty where all that is open is full by its limit: the op waits or is turned away, and nobody is piled on. Where
        so few nodes are to be had that health can't be trusted, all lines as they are."""
        by_zone: dict[int, list[tuple[int, float]]] = {}
        for line in lines:
            by_zone.setdefault(self._zone_of.get(line[0], self._own), []).append(line)
        fed = {zone: found for zone, found in by_zone.items() if self.feeds(now, zone)}
        ready, known = sum(map(len, fed.values())), len(lines)
        if panics(ready, known, self._terms.panic) and not fed.get(self._own):
            self.counts["panics"] += 1
            return lines
        own = fed.get(self._own, [])
        if own and not self._over(own):
            return self._chosen(now, self._own, own)
        for tier, zones in enumerate(self._tiers):
            limit = self._terms.spill[min(tier, len(self._terms.spill) - 1)] if self._terms.spill else 0.0
            found = [line for zone in zones if zone in fed for line in self._within(fed[zone], limit)]
            if found:
                self.counts["spilled"] += 1
                for zone in zones:
                    if zone in fed:
                        self._chosen(now, zone, found)
                return found
        with_room = [line for line in own if self._free(line[0]) > 0]
        if not with_room:
            self.counts["unserved"] += 1
        return self._chosen(now, self._own, with_room)

    def _chosen(self, now: int, zone: int, lines: Lines) -> Lines:
        if lines and not self._zones[zone].flaps.up:
            self._looked[zone] = now
        return lines

    def _free(self, node: int) -> float:
        most, out = self._room(node)
        return most - out

    def _over(self, own: Lines) -> bool:
        """Whether the own zone is so full that work goes elsewhere, with hysteresis."""
        most, out = map(sum, zip(*(self._room(node) for node, _ in own)))
        self._spills = out >= most * (self._terms.ends if self._spills else self._terms.begins)
        return self._spills

    def _within(self, lines: Lines, limit: float) -> Lines:
        """Of another zone's lines those that may take spill: each node up to that share of its room."""
        found = []
        for node, weight in lines:
            most, out = self._room(node)
            if out < most * limit:
                found.append((node, weight))
        return found

    def shown(self, now: int) -> list[dict]:
        """Each zone for an operator: state, tier, what is out, held until."""
        rows = []
        for zone in sorted(self._zones):
            held = self._zones[zone]
            tier = next((place for place, zones in enumerate(self._tiers, 1) if zone in zones), 0)
            state = "lost" if not held.flaps.up else "held" if not held.flaps.feeds(now) else "fed"
            rows.append(
                {
                    "zone": zone,
                    "tier": tier,
                    "state": state,
                    "out": held.out,
                    "held_for": max(0, held.flaps.held_until - now),
                }
            )
        return rows
