from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.returning import Damping
from kestrelplank.load_balancing.zones import Preference, Terms

MS, S = 1_000_000, 1_000_000_000
OWN, NEAR, FAR = 0, 1, 2
LINES = ((0, 1.0), (1, 1.0), (10, 1.0), (11, 1.0), (20, 1.0), (21, 1.0))  # node // 10 is its zone


class Site:
    """Two nodes in each of three zones, each with room for ten."""

    def __init__(self, out=(), most=10.0, **terms):
        self.out = dict.fromkeys((node for node, _ in LINES), 0) | dict(out)
        self.made = Preference(OWN, Terms(**terms), Damping(), 4, lambda node: (most, self.out[node]))
        for node, _ in LINES:
            self.made.placed(node, node // 10)
        self.made.far(NEAR, 1 * MS)
        self.made.far(FAR, 9 * MS)

    def zones(self, now=0, lines=LINES):
        return sorted({node // 10 for node, _ in self.made.narrow(now, lines)})

    def lose(self, now, zone):
        for _ in range(4):
            self.made.began(zone * 10)
            self.made.ended(now, zone * 10, False)

    def meet(self, now, zone):
        self.made.began(zone * 10)
        self.made.ended(now, zone * 10, True)


def filled(own=0, near=0, far=0):
    return {node: (own, near, far)[node // 10] for node, _ in LINES}


def test_the_own_zone_is_used_while_it_has_room_then_the_nearest_up_to_its_share_then_the_next():
    assert Site().zones() == [OWN] and Site(filled(8)).zones() == [OWN]
    assert Site(filled(9)).zones() == [NEAR]
    assert Site(filled(9, 8)).zones() == [FAR] and Site(filled(9, 7)).zones() == [NEAR]


def test_where_all_shares_are_used_up_the_rest_of_the_own_room_is_used_and_then_nobody_is_piled_on():
    site = Site(filled(9, 8, 5))
    assert site.zones() == [OWN]
    site.out = filled(10, 8, 5)
    assert site.zones() == [] and site.made.counts["unserved"] == 1


def test_spill_ends_at_a_lower_load_than_it_begins():
    site, found = Site(), []
    for out in (8, 9, 8, 7, 6, 8):
        site.out = filled(out)
        found.append(site.zones())
    assert found == [[OWN], [NEAR], [NEAR], [NEAR], [OWN], [OWN]]


def test_zones_about_as_far_are_one_tier():
    site = Site(filled(9))
    site.made.far(FAR, 1 * MS + 400_000)
    assert site.made.tiers() == [[NEAR, FAR]] and site.zones() == [NEAR, FAR]


def test_a_zone_that_is_lost_is_left_for_the_nearest_and_looked_at_once_a_second():
    site = Site()
    site.lose(0, OWN)
    assert site.zones(1) == [OWN]  # the first look
    assert (
        site.zones(2) == [NEAR]
        and site.zones(S) == [NEAR]
        and site.zones(S + 1) == [OWN]
        and site.zones(S + 2) == [NEAR]
    )
    site.meet(2 * S, OWN)
    assert site.zones(2 * S) == [OWN] and site.made.counts == {"zones_lost": 1, "zones_back": 1, "spilled": 3}


def test_a_zone_that_flaps_three_times_in_a_minute_is_fed_only_after_its_holds():
    site, fed = Site(), []
    for at in (0, 20, 40):
        site.lose(at * S, OWN)
        site.meet((at + 1) * S, OWN)
        fed.append([site.zones((at + wait) * S)[0] for wait in (2, 4, 6, 9, 11)])
    assert fed == [[OWN] * 5, [NEAR, NEAR, OWN, OWN, OWN], [NEAR, NEAR, NEAR, NEAR, OWN]]
    assert site.made.shown(42 * S)[0] == {"zone": OWN, "tier": 0, "state": "held", "out": 0, "held_for": 8 * S}


def test_failures_that_met_somebody_are_no_loss_of_a_zone():
    site = Site()
    for _ in range(50):
        site.meet(0, OWN)
    for _ in range(3):
        site.made.began(0)
        site.made.ended(0, 0, False)
    site.meet(0, OWN)
    assert not site.made.counts["zones_lost"]


def test_with_all_zones_lost_health_is_no_longer_asked_and_back_in_another_order_all_is_as_before():
    site = Site()
    for zone in (OWN, NEAR, FAR):
        site.lose(0, zone)
        site.zones(1)  # each is looked at once
    for zone in (OWN, NEAR, FAR):
        site.made._looked[zone] = 1
    assert site.zones(2) == [OWN, NEAR, FAR] and site.made.counts["panics"]
    for zone in (FAR, OWN, NEAR):
        site.meet(S // 2, zone)
    assert site.zones(S // 2) == [OWN]


def test_a_zone_of_one_node_and_a_table_without_the_own_zone():
    site = Site()
    assert site.zones(lines=LINES[:1]) == [OWN] and site.zones(lines=LINES[2:]) == [NEAR]
    assert site.zones(lines=()) == []


@given(
    some.lists(
        some.tuples(some.integers(0, 5), some.sampled_from(("met", "nobody", "fill")), some.integers(0, 2 * S)),
        max_size=60,
    )
)
def test_what_is_chosen_is_one_of_the_lines_and_never_past_a_limit_but_in_panic(steps):
    site, now = Site(), 0
    for place, what, wait in steps:
        now += wait
        node = LINES[place][0]
        if what == "fill":
            site.out[node] = (site.out[node] + 3) % 11
        else:
            site.made.began(node)
            site.made.ended(now, node, what == "met")
        panics = site.made.counts["panics"]
        found = site.made.narrow(now, LINES)
        assert set(found) <= set(LINES)
        if site.made.counts["panics"] == panics:
            for node, _ in found:
                assert site.out[node] < 10 * {OWN: 1.0, NEAR: 0.8, FAR: 0.5}[node // 10]
                assert site.made._zones[node // 10].flaps.feeds(now) or site.made._looked.get(node // 10) == now
