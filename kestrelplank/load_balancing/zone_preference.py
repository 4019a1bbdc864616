"""Which zones a proxy of its own tables sends to: its own first, then nearer tiers before farther ones.

Each other zone is used up to a stated share of its spare capacity. What a node has capacity for is what its learned
limit says (`load_balancing/concurrency_limits`), as nobody tells a proxy what a node can do. So a tier is entered when
nearer ones are full, not when they are merely loaded.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from kestrelplank.load_balancing.flap_damping import FlapDamping, FlapDampingSettings
from kestrelplank.load_balancing.spillover import is_panic
from kestrelplank.load_balancing.weights import WeightedNodes
from kestrelplank.load_balancing.zone_distances import distance_tiers
from kestrelplank.time_units import SECOND

LOST_ZONE_CHECK_INTERVAL_NS = 1 * SECOND  # a zone that is lost is tried that often, by one op


class ZonePreferenceSettings(NamedTuple):
    """When other zones are used.

    :param spill_shares: by tier, the share of a node's limit up to which spill may fill it; beyond the last, that one.
    :param tier_width_ns: zones whose distances differ by no more than that are one tier.
    :param spill_begin_share: of the own zone's limits, from which on its ops spill; they end at `spill_end_share`.
    :param panic_share: with fewer ready than that share of the known nodes, health is no longer asked.
    """

    spill_shares: tuple[float, ...] = (0.8, 0.5)
    tier_width_ns: float = 500_000.0
    spill_begin_share: float = 0.9
    spill_end_share: float = 0.7
    panic_share: float = 0.5


class ZoneState(Enum):
    """Whether a zone is used."""

    USED = "fed"
    HELD = "held"  # back, but not for long enough after several losses
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """One zone for an operator; `tier` is 0 for the proxy's own."""

    zone: int
    tier: int
    state: ZoneState
    in_flight: int
    held_for_ns: int


class _Zone:
    """One zone as this proxy finds it."""

    __slots__ = ("damping", "consecutive_unreachable", "in_flight", "checked_at")

    def __init__(self, settings: FlapDampingSettings) -> None:
        self.damping = FlapDamping(settings)
        self.consecutive_unreachable = self.in_flight = 0
        self.checked_at: int | None = None  # when an op was last let through though it is lost


class ZonePreference:
    """Narrows the candidates of a table to those that an op may go to now.

    A zone counts as lost after so many attempts in a row that reached nobody there, over all its nodes, and as back
    with the first answer to an attempt that was let through to check; it is used once its hold is over. Guards against
    work that is spread over the world when a zone is merely busy, against a far zone filled by a near one's loss, and
    against a zone that comes and goes. Harm: the first ops after a loss wait for the attempts that show it; a zone that
    is held is unused though it might serve.

    Invariant: but in panic, no candidate is past its limit, nor in a zone that may not be used (test
    `test_what_is_eligible_is_a_candidate_and_never_past_a_limit_but_in_panic`).

    :param max_consecutive_unreachable: attempts in a row that reached nobody, with which a zone is lost.
    :param usage: tells how many ops a node may have in flight and how many it has.
    """

    def __init__(
        self,
        own_zone: int,
        settings: ZonePreferenceSettings,
        damping: FlapDampingSettings,
        max_consecutive_unreachable: int,
        usage: Callable[[int], tuple[float, int]],
    ) -> None:
        self._own_zone, self._settings, self._damping = own_zone, settings, damping
        self._max_consecutive_unreachable, self._usage = max_consecutive_unreachable, usage
        self._zones: dict[int, _Zone] = {own_zone: _Zone(damping)}
        self._zone_of: dict[int, int] = {}
        self._tiers: list[list[int]] = []
        self._distances: dict[tuple[int, int], float] = {}
        self._spills = False
        self.counts: Counter[str] = Counter()

    # What is known.

    def set_node_zone(self, node: int, zone: int) -> None:
        """Take note that a node is in that zone."""
        self._zone_of[node] = zone
        if zone not in self._zones:
            self._zones[zone] = _Zone(self._damping)
            self._update_tiers()

    def set_distance(self, zone: int, distance_ns: float) -> None:
        """Take note of how much longer an answer takes from that zone than from the own one."""
        self._distances[self._own_zone, zone] = distance_ns
        self._update_tiers()

    def _update_tiers(self) -> None:
        self._tiers = distance_tiers(self._own_zone, sorted(self._zones), self._distances, self._settings.tier_width_ns)

    def tiers(self) -> list[list[int]]:
        """Return the other zones in tiers, nearer ones first."""
        return self._tiers

    def attempt_started(self, node: int) -> None:
        """Take note of one more attempt in flight at the node."""
        self._zone_with(node).in_flight += 1

    def attempt_ended(self, now: int, node: int, reached: bool) -> None:
        """Take note that an attempt at the node has ended; `reached`: somebody answered, whatever the answer."""
        zone = self._zone_with(node)
        zone.in_flight -= 1
        if reached:
            zone.consecutive_unreachable = 0
            if not zone.damping.is_up:
                zone.damping.recovered(now)
                self.counts["zones_back"] += 1
            return
        zone.consecutive_unreachable += 1
        if zone.consecutive_unreachable == self._max_consecutive_unreachable and zone.damping.is_up:
            zone.damping.lost(now)
            self.counts["zones_lost"] += 1

    def _zone_with(self, node: int) -> _Zone:
        return self._zones[self._zone_of.get(node, self._own_zone)]

    def is_usable(self, now: int, zone: int) -> bool:
        """Whether ops may go there: it is up and not held, or it is lost and time to check."""
        known = self._zones[zone]
        if known.damping.is_usable(now):
            return True
        checked_at = known.checked_at
        return not known.damping.is_up and (checked_at is None or now - checked_at >= LOST_ZONE_CHECK_INTERVAL_NS)

    # What is decided.

    def eligible(self, now: int, candidates: WeightedNodes) -> WeightedNodes:
        """Return the candidates that an op may go to: of the own zone, else of the first tier that may take spill.

        Empty where all are full by their limits: the op waits or is rejected, and no node is overloaded. Where so few
        nodes are usable that health can't be trusted, all candidates.
        """
        usable = self._usable_by_zone(now, candidates)
        own = usable.get(self._own_zone, [])
        if not own and is_panic(sum(map(len, usable.values())), len(candidates), self._settings.panic_share):
            self.counts["panics"] += 1
            return candidates
        if own and not self._own_zone_spills(own):
            return self._checked(now, self._own_zone, own)
        spill = self._spill_candidates(now, usable)
        if spill:
            self.counts["spilled"] += 1
            return spill
        with_capacity = [candidate for candidate in own if self._has_capacity(candidate[0])]
        if not with_capacity:
            self.counts["unserved"] += 1
        return self._checked(now, self._own_zone, with_capacity)

    def _usable_by_zone(self, now: int, candidates: WeightedNodes) -> dict[int, list[tuple[int, float]]]:
        by_zone: dict[int, list[tuple[int, float]]] = {}
        for candidate in candidates:
            by_zone.setdefault(self._zone_of.get(candidate[0], self._own_zone), []).append(candidate)
        return {zone: in_zone for zone, in_zone in by_zone.items() if self.is_usable(now, zone)}

    def _spill_candidates(self, now: int, usable: dict[int, list[tuple[int, float]]]) -> WeightedNodes:
        """Return the candidates of the first tier that may take spill, empty where none may."""
        shares = self._settings.spill_shares
        for tier, zones in enumerate(self._tiers):
            share = shares[min(tier, len(shares) - 1)] if shares else 0.0
            in_tier = [zone for zone in zones if zone in usable]
            candidates = [candidate for zone in in_tier for candidate in self._below_share(usable[zone], share)]
            if candidates:
                for zone in in_tier:
                    self._checked(now, zone, candidates)
                return candidates
        return ()

    def _checked(self, now: int, zone: int, candidates: WeightedNodes) -> WeightedNodes:
        """Take note that a lost zone is being checked, where an op may go there; return the candidates."""
        if candidates and not self._zones[zone].damping.is_up:
            self._zones[zone].checked_at = now
        return candidates

    def _has_capacity(self, node: int) -> bool:
        limit, in_flight = self._usage(node)
        return limit - in_flight > 0

    def _own_zone_spills(self, own: WeightedNodes) -> bool:
        """Whether the own zone is so full that ops go elsewhere, with hysteresis."""
        limit, in_flight = map(sum, zip(*(self._usage(node) for node, _ in own)))
        settings = self._settings
        self._spills = in_flight >= limit * (settings.spill_end_share if self._spills else settings.spill_begin_share)
        return self._spills

    def _below_share(self, candidates: WeightedNodes, share: float) -> list[tuple[int, float]]:
        """Return the candidates of another zone that may take spill: each node up to that share of its limit."""
        below = []
        for node, weight in candidates:
            limit, in_flight = self._usage(node)
            if in_flight < limit * share:
                below.append((node, weight))
        return below

    def status(self, now: int) -> list[ZoneStatus]:
        """Return each zone for an operator, by number."""
        return [self._status_of(now, zone) for zone in sorted(self._zones)]

    def _status_of(self, now: int, zone: int) -> ZoneStatus:
        known = self._zones[zone]
        state = ZoneState.USED
        if not known.damping.is_up:
            state = ZoneState.LOST
        elif not known.damping.is_usable(now):
            state = ZoneState.HELD
        tier = next((number for number, zones in enumerate(self._tiers, 1) if zone in zones), 0)
        return ZoneStatus(zone, tier, state, known.in_flight, max(0, known.damping.held_until - now))
