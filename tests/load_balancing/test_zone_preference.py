from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.flap_damping import FlapDampingSettings
from kestrelplank.load_balancing.zone_preference import ZonePreference, ZonePreferenceSettings, ZoneState, ZoneStatus
from kestrelplank.time_units import MILLISECOND as MS
from kestrelplank.time_units import SECOND as S

OWN, NEAR, FAR = 0, 1, 2
CANDIDATES = ((0, 1.0), (1, 1.0), (10, 1.0), (11, 1.0), (20, 1.0), (21, 1.0))  # node // 10 is its zone


class Site:
    """Two nodes in each of three zones, each node with a limit of ten."""

    def __init__(self, in_flight=(), limit=10.0, **settings):
        self.in_flight = dict.fromkeys((node for node, _ in CANDIDATES), 0) | dict(in_flight)
        self.preference = ZonePreference(
            OWN,
            ZonePreferenceSettings(**settings),
            FlapDampingSettings(),
            4,
            lambda node: (limit, self.in_flight[node]),
        )
        for node, _ in CANDIDATES:
            self.preference.set_node_zone(node, node // 10)
        self.preference.set_distance(NEAR, 1 * MS)
        self.preference.set_distance(FAR, 9 * MS)

    def zones(self, now=0, candidates=CANDIDATES):
        return sorted({node // 10 for node, _ in self.preference.eligible(now, candidates)})

    def lose(self, now, zone):
        for _ in range(4):
            self.preference.attempt_started(zone * 10)
            self.preference.attempt_ended(now, zone * 10, False)

    def reach(self, now, zone):
        self.preference.attempt_started(zone * 10)
        self.preference.attempt_ended(now, zone * 10, True)


def filled(own=0, near=0, far=0):
    return {node: (own, near, far)[node // 10] for node, _ in CANDIDATES}


def test_own_zone_is_used_first_then_nearer_zones_up_to_their_spill_share():
    assert Site().zones() == [OWN] and Site(filled(8)).zones() == [OWN]
    assert Site(filled(9)).zones() == [NEAR]
    assert Site(filled(9, 8)).zones() == [FAR] and Site(filled(9, 7)).zones() == [NEAR]


def test_own_zone_is_used_up_to_its_limit_if_other_zones_accept_no_spill():
    site = Site(filled(9, 8, 5))
    assert site.zones() == [OWN]
    site.in_flight = filled(10, 8, 5)
    assert site.zones() == [] and site.preference.counts["unserved"] == 1


def test_spill_ends_below_the_load_at_which_it_begins():
    site, used = Site(), []
    for in_flight in (8, 9, 8, 7, 6, 8):
        site.in_flight = filled(in_flight)
        used.append(site.zones())
    assert used == [[OWN], [NEAR], [NEAR], [NEAR], [OWN], [OWN]]


def test_zones_of_similar_distance_form_one_tier():
    site = Site(filled(9))
    site.preference.set_distance(FAR, 1 * MS + 400_000)
    assert site.preference.tiers() == [[NEAR, FAR]] and site.zones() == [NEAR, FAR]


def test_lost_zone_is_replaced_by_the_nearest_and_checked_once_a_second():
    site = Site()
    site.lose(0, OWN)
    assert site.zones(1) == [OWN]  # the first check
    assert (
        site.zones(2) == [NEAR]
        and site.zones(S) == [NEAR]
        and site.zones(S + 1) == [OWN]
        and site.zones(S + 2) == [NEAR]
    )
    site.reach(2 * S, OWN)
    assert site.zones(2 * S) == [OWN] and site.preference.counts == {"zones_lost": 1, "zones_back": 1, "spilled": 3}


def test_flapping_zone_is_used_only_after_its_hold_down():
    site, used = Site(), []
    for at in (0, 20, 40):
        site.lose(at * S, OWN)
        site.reach((at + 1) * S, OWN)
        used.append([site.zones((at + wait) * S)[0] for wait in (2, 4, 6, 9, 11)])
    assert used == [[OWN] * 5, [NEAR, NEAR, OWN, OWN, OWN], [NEAR, NEAR, NEAR, NEAR, OWN]]
    assert site.preference.status(42 * S)[0] == ZoneStatus(OWN, 0, ZoneState.HELD, 0, 8 * S)


def test_zone_is_not_lost_while_its_nodes_respond():
    site = Site()
    for _ in range(50):
        site.reach(0, OWN)
    for _ in range(3):
        site.preference.attempt_started(0)
        site.preference.attempt_ended(0, 0, False)
    site.reach(0, OWN)
    assert not site.preference.counts["zones_lost"]


def test_all_candidates_are_used_with_all_zones_lost_and_own_zone_after_recovery():
    site = Site()
    for zone in (OWN, NEAR, FAR):
        site.lose(0, zone)
        site.zones(1)  # checks each zone once
    for zone in (OWN, NEAR, FAR):
        site.preference._zones[zone].checked_at = 1
    assert site.zones(2) == [OWN, NEAR, FAR] and site.preference.counts["panics"]
    for zone in (FAR, OWN, NEAR):
        site.reach(S // 2, zone)
    assert site.zones(S // 2) == [OWN]


def test_table_of_one_node_uses_it_and_table_without_the_own_zone_uses_the_nearest():
    site = Site()
    assert site.zones(candidates=CANDIDATES[:1]) == [OWN] and site.zones(candidates=CANDIDATES[2:]) == [NEAR]
    assert site.zones(candidates=()) == []


@given(
    some.lists(
        some.tuples(
            some.integers(0, 5), some.sampled_from(("reached", "unreachable", "fill")), some.integers(0, 2 * S)
        ),
        max_size=60,
    )
)
def test_eligible_nodes_are_candidates_and_within_limits_except_in_panic_mode(events):
    site, now = Site(), 0
    for position, event, wait_ns in events:
        now += wait_ns
        node = CANDIDATES[position][0]
        if event == "fill":
            site.in_flight[node] = (site.in_flight[node] + 3) % 11
        else:
            site.preference.attempt_started(node)
            site.preference.attempt_ended(now, node, event == "reached")
        panics = site.preference.counts["panics"]
        eligible = site.preference.eligible(now, CANDIDATES)
        assert set(eligible) <= set(CANDIDATES)
        if site.preference.counts["panics"] == panics:
            for node, _ in eligible:
                assert site.in_flight[node] < 10 * {OWN: 1.0, NEAR: 0.8, FAR: 0.5}[node // 10]
                assert (
                    site.preference._zones[node // 10].damping.is_usable(now)
                    or site.preference._zones[node // 10].checked_at == now
                )
