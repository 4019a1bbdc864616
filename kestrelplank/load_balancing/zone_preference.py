"""Zone preference of a proxy that applies its own tables: its own zone first, then nearer tiers before farther ones.

Each node of another zone is used up to a configured share of its capacity. A node's capacity is its learned concurrency
limit (`load_balancing/concurrency_limits`), as the proxy is not given any other. So a tier is used when nearer ones are
full, not when they are merely loaded.
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

LOST_ZONE_CHECK_INTERVAL_NS = 1 * SECOND  # interval at which one op is let through to a lost zone


class ZonePreferenceSettings(NamedTuple):
    """When other zones are used.

    :param spill_shares: by tier, the share of a node's limit up to which spill may fill it; farther tiers use the last.
    :param tier_width_ns: zones whose distances differ by at most this form one tier.
    :param spill_begin_share: spill begins when this share of the own zone's limits is in flight; it ends below
        `spill_end_share`.
    :param panic_share: if a smaller share of the known nodes is ready, health is ignored.
    """

    spill_shares: tuple[float, ...] = (0.8, 0.5)
    tier_width_ns: float = 500_000.0
    spill_begin_share: float = 0.9
    spill_end_share: float = 0.7
    panic_share: float = 0.5


class ZoneState(Enum):
    """Whether a zone is used. The values are shown to operators."""

    USED = "fed"
    HELD = "held"  # up, but held down after repeated losses
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """The status of a zone, for display to operators; `tier` is 0 for the proxy's own zone."""

    zone: int
    tier: int
    state: ZoneState
    in_flight: int
    held_for_ns: int


class _Zone:
    """The state of a zone as observed by this proxy."""

    __slots__ = ("damping", "consecutive_unreachable", "in_flight", "checked_at")

    def __init__(self, settings: FlapDampingSettings) -> None:
        self.damping = FlapDamping(settings)
        self.consecutive_unreachable = self.in_flight = 0
        self.checked_at: int | None = None  # when an op was last let through to the zone while it was lost


class ZonePreference:
    """Restricts the candidates of a table to the nodes that an op may be sent to now.

    A zone counts as lost after a number of consecutive attempts, over all its nodes, that got no response. It counts as
    up again with the first response to an attempt that was let through as a check, and is used once its hold-down is
    over. Guards against load sent to distant zones when the own zone is merely busy, against a far zone filled up when
    a near one is lost, and against flapping zones. Drawback: the first ops after a loss wait for the attempts that
    detect it, and a zone that is held down is unused even if healthy.

    Invariant: except in panic mode, no candidate is over its limit or in a zone that may not be used (test
    `test_eligible_nodes_are_candidates_and_within_limits_except_in_panic_mode`).

    :param max_consecutive_unreachable: consecutive attempts without a response after which a zone counts as lost.
    :param usage: returns a node's limit of ops in flight and its current number of ops in flight.
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

    # State of zones.

    def set_node_zone(self, node: int, zone: int) -> None:
        """Set the zone of a node."""
        self._zone_of[node] = zone
        if zone not in self._zones:
            self._zones[zone] = _Zone(self._damping)
            self._update_tiers()

    def set_distance(self, zone: int, distance_ns: float) -> None:
        """Set the distance of a zone: its extra latency compared with the own zone."""
        self._distances[self._own_zone, zone] = distance_ns
        self._update_tiers()

    def _update_tiers(self) -> None:
        self._tiers = distance_tiers(self._own_zone, sorted(self._zones), self._distances, self._settings.tier_width_ns)

    def tiers(self) -> list[list[int]]:
        """Return the other zones in tiers, nearer ones first."""
        return self._tiers

    def attempt_started(self, node: int) -> None:
        """Count one more attempt in flight at the node."""
        self._zone_of_node(node).in_flight += 1

    def attempt_ended(self, now: int, node: int, reached: bool) -> None:
        """Record the end of an attempt at the node; `reached` is whether there was any response, even an error."""
        zone = self._zone_of_node(node)
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

    def _zone_of_node(self, node: int) -> _Zone:
        return self._zones[self._zone_of.get(node, self._own_zone)]

    def is_usable(self, now: int, zone: int) -> bool:
        """Whether ops may be sent to the zone: it is up and not held down, or it is lost and a check is due."""
        known = self._zones[zone]
        if known.damping.is_usable(now):
            return True
        checked_at = known.checked_at
        return not known.damping.is_up and (checked_at is None or now - checked_at >= LOST_ZONE_CHECK_INTERVAL_NS)

    # Selection of candidates.

    def eligible(self, now: int, candidates: WeightedNodes) -> WeightedNodes:
        """Return the candidates that an op may be sent to: of the own zone, or of the first tier that accepts spill.

        The result is empty if all are at their limits, and has all candidates in panic mode, when too few nodes are
        usable for health to be trusted.
        """
        usable = self._usable_by_zone(now, candidates)
        own = usable.get(self._own_zone, [])
        if not own and is_panic(sum(map(len, usable.values())), len(candidates), self._settings.panic_share):
            self.counts["panics"] += 1
            return candidates
        if own and not self._own_zone_spills(own):
            return self._record_check(now, self._own_zone, own)
        spill = self._spill_candidates(now, usable)
        if spill:
            self.counts["spilled"] += 1
            return spill
        with_capacity = [candidate for candidate in own if self._has_capacity(candidate[0])]
        if not with_capacity:
            self.counts["unserved"] += 1
        return self._record_check(now, self._own_zone, with_capacity)

    def _usable_by_zone(self, now: int, candidates: WeightedNodes) -> dict[int, list[tuple[int, float]]]:
        by_zone: dict[int, list[tuple[int, float]]] = {}
        for candidate in candidates:
            by_zone.setdefault(self._zone_of.get(candidate[0], self._own_zone), []).append(candidate)
        return {zone: in_zone for zone, in_zone in by_zone.items() if self.is_usable(now, zone)}

    def _spill_candidates(self, now: int, usable: dict[int, list[tuple[int, float]]]) -> WeightedNodes:
        """Return the candidates of the first tier that accepts spill; empty if none does."""
        shares = self._settings.spill_shares
        for tier, zones in enumerate(self._tiers):
            share = shares[min(tier, len(shares) - 1)] if shares else 0.0
            in_tier = [zone for zone in zones if zone in usable]
            candidates = [candidate for zone in in_tier for candidate in self._below_share(usable[zone], share)]
            if candidates:
                for zone in in_tier:
                    self._record_check(now, zone, candidates)
                return candidates
        return ()

    def _record_check(self, now: int, zone: int, candidates: WeightedNodes) -> WeightedNodes:
        """Record a check if the zone is lost and an op may be sent to it; return the candidates."""
        if candidates and not self._zones[zone].damping.is_up:
            self._zones[zone].checked_at = now
        return candidates

    def _has_capacity(self, node: int) -> bool:
        limit, in_flight = self._usage(node)
        return limit - in_flight > 0

    def _own_zone_spills(self, own: WeightedNodes) -> bool:
        """Whether the own zone is so full that ops spill to other zones, with hysteresis."""
        limit, in_flight = map(sum, zip(*(self._usage(node) for node, _ in own)))
        settings = self._settings
        self._spills = in_flight >= limit * (settings.spill_end_share if self._spills else settings.spill_begin_share)
        return self._spills

    def _below_share(self, candidates: WeightedNodes, share: float) -> list[tuple[int, float]]:
        """Return the candidates of another zone that accept spill: nodes that are below that share of their limits."""
        below = []
        for node, weight in candidates:
            limit, in_flight = self._usage(node)
            if in_flight < limit * share:
                below.append((node, weight))
        return below

    def status(self, now: int) -> list[ZoneStatus]:
        """Return the status of all zones, sorted by number."""
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
