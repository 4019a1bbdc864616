"""Table tests of the policy that decides which members are voters.

A member is written `name@zone:state`: `c@z:silent`. A name's first letter is its address, so `c` and `c2` are the same
machine before and after it lost its disk. States: `silent` (no reply for 2 s), `fading` (for 1 s), `leaving`, `behind`
(not caught up), `barred` (not eligible); several are joined by `+`. The leader is `a` by default.
"""

from itertools import permutations

import pytest

from kestrelplank.consensus.identity import identity_of
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.membership_planning import (
    STANDBY_TIMEOUT_NS,
    VOTER_TIMEOUT_NS,
    KnownMember,
    plan_membership,
    should_hand_over,
    unsuitable_leaders,
)
from kestrelplank.time_units import SECOND

NOW = 100 * SECOND
RECENTLY = 50_000_000  # ns since the last reply of a reachable member
HEARD_BEFORE = {"silent": VOTER_TIMEOUT_NS, "fading": STANDBY_TIMEOUT_NS}


def identity(name):
    return identity_of(name[0], name)


def names(identities):
    return " ".join(sorted(identity.partition("/")[2] for identity in identities))


def known_members(text, now=NOW):
    known = []
    for notation in text.split():
        member, _, states = notation.partition(":")
        name, _, zone = member.partition("@")
        states = states.split("+") if states else []
        age = max([HEARD_BEFORE.get(state, 0) for state in states] + [RECENTLY])
        known.append(
            KnownMember(
                identity=identity(name),
                zone=zone,
                eligible="barred" not in states,
                leaving="leaving" in states,
                heard_at=now - age - 9 + len(name),  # a second incarnation replied after the first
                caught_up="behind" not in states,
            )
        )
    return known


def group(text, epoch=7, outgoing=""):
    return Membership(epoch, tuple(map(identity, text.split())), tuple(map(identity, outgoing.split())))


def plan(voters, known, target=3, leader="a"):
    return plan_membership(NOW, group(voters), known_members(known), identity(leader), target)


# case, voters, members known to the leader, target, proposed voters (None: no change)
UNPLANNED = [
    ("all voters are healthy", "a b c", "a@x b@y c@z", 3, None),
    ("a standby is not needed", "a b c", "a@x b@y c@z d@z", 3, None),
    ("a silent voter without a standby stays", "a b c", "a@x b@y c@z:silent", 3, None),
    ("a silent voter is replaced", "a b c", "a@x b@y c@z:silent d@z", 3, "a b d"),
    ("a standby of the same zone is preferred", "a b c", "a@x b@y c@z:silent d@w e@z", 3, "a b e"),
    (
        "without one of the same zone, one of the zone with fewest voters",
        "a b c",
        "a@x b@y c@z:silent d@x e@w",
        3,
        "a b e",
    ),
    ("the only standby is used whatever its zone", "a b c", "a@x b@y c@z:silent d@x", 3, "a b d"),
    ("a fading voter is not silent", "a b c", "a@x b@y c@z:fading d@z", 3, None),
    ("a voter that the leader does not know stays", "a b c", "a@x b@y d@z", 3, None),
    ("a flapping voter that is back stays", "a b c", "a@x b@y c@z d@z", 3, None),
    ("a replaced voter that is back is a standby", "a b d", "a@x b@y c@z d@z", 3, None),
    ("a replaced voter can replace another one", "a b d", "a@x b@y c@z d@z:silent", 3, "a b c"),
    ("a standby must be eligible", "a b c", "a@x b@y c@z:silent d@z:barred", 3, None),
    ("a standby must be caught up", "a b c", "a@x b@y c@z:silent d@z:behind", 3, None),
    ("a standby must not be leaving", "a b c", "a@x b@y c@z:silent d@z:leaving", 3, None),
    ("a standby must have replied recently", "a b c", "a@x b@y c@z:silent d@z:fading", 3, None),
    ("one of two standbys replaces one voter", "a b c", "a@x b@y c@z:silent e@z d@z", 3, "a b d"),
    ("both standbys replace two voters", "a b d", "a@x b@y:silent c@z:silent d@z e@z", 3, "a d e"),
    ("no majority of the voters is reachable", "a b c", "a@x b@y:silent c@z:silent d@y e@z", 3, None),
    (
        "two silent voters are replaced at once, two tolerated losses",
        "a b c d e",
        "a@x b@y c@z d@x:silent e@y:silent f@y g@x",
        5,
        "a b c f g",
    ),
    ("two silent voters, one standby", "a b c d e", "a@x b@y c@z d@x:silent e@y:silent f@y", 5, "a b c e f"),
    ("one silent voter of four", "a b c d", "a@x b@y c@z d@w:silent e@w", 5, "a b c e"),
    ("seven voters, three silent", "a b c d e f g", "a b c d e:silent f:silent g:silent h i", 7, "a b c d g h i"),
    ("seven voters, four silent", "a b c d e f g", "a b c d:silent e:silent f:silent g:silent h i", 7, None),
]

WIPED = [
    ("a new identity replaces its former one at once", "a b c", "a@x b@y c@z c2@z", 3, "a b c2"),
    ("a new identity replaces a former one that the leader does not know", "a b c", "a@x b@y c2@z", 3, "a b c2"),
    ("a new identity is preferred to a standby of its zone", "a b c", "a@x b@y c@z c2@z d@z", 3, "a b c2"),
    ("a new identity must be caught up", "a b c", "a@x b@y c@z c2@z:behind", 3, None),
    ("a standby replaces a voter whose new identity is behind", "a b c", "a@x b@y c@z c2@z:behind d@z", 3, "a b d"),
    ("a new identity must be eligible", "a b c", "a@x b@y c@z c2@z:barred", 3, None),
    ("two lost disks: the newest identity is used", "a b c", "a@x b@y c@z c2@z c22@z", 3, "a b c22"),
    ("a former identity is not added again", "a b c2", "a@x b@y c@z c2@z", 3, None),
    ("a lost disk while another member joins", "a b c", "a@x b2@y c:silent d@z:behind", 3, None),
    ("a lost disk and further standbys", "a b c", "a@x b@y b2@y c@z d@z e@z", 3, "a b2 c"),
    (
        "lost disk and silent voter are replaced, two tolerated losses",
        "a b c d e",
        "a@x b@y b2@y c@z d@w e@v:silent f@v",
        5,
        "a b2 c d f",
    ),
    ("lost disk and silent voter, one tolerated loss: no majority", "a b c", "a@x b@y b2@y c@z:silent d@z", 3, None),
    ("a former identity of a standby is not added", "a b c", "a@x b@y c@z:silent d@z d2@z:behind", 3, None),
]

PLANNED = [
    ("a leaving voter is replaced at once", "a b c", "a@x b@y c@z:leaving d@z", 3, "a b d"),
    ("a standby waits while all voters stay", "a b c", "a@x b@y c@z d@z", 3, None),
    ("a leaving voter without a standby stays", "a b c", "a@x b@y c@z:leaving", 3, None),
    ("a leaving voter stays while the standby is behind", "a b c", "a@x b@y c@z:leaving d@z:behind", 3, None),
    (
        "a silent voter is replaced before a leaving one",
        "a b c d e",
        "a b c d@x:leaving e@y:silent f@x",
        5,
        "a b c d f",
    ),
    ("a leaving voter is replaced before a barred one", "a b c", "a b@y:barred c@z:leaving d@y", 3, "a b d"),
    ("a barred voter is replaced", "a b c", "a b@y:barred c@z d@y", 3, "a c d"),
    ("a barred voter stays without an eligible standby", "a b c", "a b@y:barred c@z d@y:barred", 3, None),
    ("two leaving voters, two standbys", "a b c", "a@x b@y:leaving c@z:leaving d@z e@y", 3, "a d e"),
    ("two leaving voters, one standby", "a b c", "a@x b@y:leaving c@z:leaving d@z", 3, "a c d"),
    ("the leader is not removed", "a b c", "a@x:leaving b@y c@z d@x", 3, None),
    ("a leader that is the only voter is replaced", "a", "a@x:leaving b@y", 1, "b"),
    ("a leader that is the only voter stays without a standby", "a", "a@x:leaving", 1, None),
]

SIZES = [
    ("one voter grows to three", "a", "a@x b@y c@z", 3, "a b c"),
    ("one voter does not grow to two", "a", "a@x b@y", 3, None),
    ("two voters grow to three", "a b", "a@x b@y c@z", 3, "a b c"),
    ("three voters grow to five in one change", "a b c", "a@x b@y c@z d@x e@y f@z", 5, "a b c d e"),
    ("three voters do not grow to four", "a b c", "a@x b@y c@z d@x", 5, None),
    ("four voters grow to five", "a b c d", "a@x b@y c@z d@x e@y", 5, "a b c d e"),
    ("eleven machines, two losses", "a b c", "a@x b@y c@z d@x e@y f@z g@x h@y i@z j@x k@y", 5, "a b c d e"),
    ("additions are spread over zones", "a b c", "a@x b@x c@y d@x e@x f@y g@z", 5, "a b c f g"),
    ("three voters grow to seven with four standbys", "a b c", "a b c d e f g h", 7, "a b c d e f g"),
    ("three voters grow to five with three standbys", "a b c", "a b c d e f", 7, "a b c d e"),
    ("only suitable standbys are added", "a b c", "a b c d:behind e f:barred g:leaving", 5, None),
    ("a silent voter is replaced before voters are added", "a b c", "a b c:silent d e", 5, "a b d"),
    ("replacement and growth in one change", "a b c", "a b c:silent d e f", 5, "a b d e f"),
    ("surplus voters: a silent one is removed first", "a b c d e", "a b c:silent d e", 3, "a b d"),
    ("surplus voters: after silent ones a leaving one is removed", "a b c d e", "a b:leaving c d e:silent", 3, "a c d"),
    (
        "surplus voters: if all are healthy, those of the zone with most voters are removed",
        "a b c d e",
        "a@x b@x c@x d@y e@z",
        3,
        "a d e",
    ),
    ("surplus voters: the leader stays", "a b c d", "a@x b@y c@z d@w", 1, "a"),
    ("four voters, two silent: no majority", "a b c d", "a b c:silent d:silent e", 3, None),
    ("removal and replacement in one change", "a b c d e f g", "a b c d e:silent f:silent g:silent h", 5, "a b c d h"),
    ("seven voters, two losses, three silent", "a b c d e f g", "a b c d e:silent f:silent g:silent", 5, "a b c d e"),
    ("voters are not removed below the target", "a b c", "a b c:silent", 3, None),
    ("eleven voters shrink to five", "a b c d e f g h i j k", "a b c d e f g h i j k", 5, "a b c d e"),
]


@pytest.mark.parametrize(
    "voters, known, target, expected",
    [pytest.param(*row, id=name) for name, *row in (*UNPLANNED, *WIPED, *PLANNED, *SIZES)],
)
def test_next_membership(voters, known, target, expected):
    planned = plan(voters, known, target)
    assert (planned and names(planned.voters)) == expected
    if planned is not None:
        assert planned.epoch == 8 and planned.outgoing == group(voters).voters


@pytest.mark.parametrize("rows", [UNPLANNED, WIPED, PLANNED, SIZES])
def test_plan_does_not_depend_on_the_order_of_known_members(rows):
    for _, voters, known, target, _ in rows:
        words = known.split()
        orders = list(permutations(words)) if len(words) <= 5 else [words, words[::-1]]
        for order in orders:
            assert plan(voters, " ".join(order), target) == plan(voters, known, target)


def test_voters_are_ordered_by_zone_then_identity():
    planned = plan("c a b", "a@y b@x c@z:silent d@z e@z")
    assert names(planned.voters) == "a b d"
    assert planned.voters == (identity("b"), identity("a"), identity("d"))


def test_plan_keeps_the_zones_of_all_voters():
    membership = Membership(3, (identity("a"), identity("b"), identity("c")), (), {identity("b"): "y"})
    planned = plan_membership(NOW, membership, known_members("a@x b c@z:silent d@z"), identity("a"), 3)
    assert planned.zones == {identity("b"): "y", identity("a"): "x", identity("c"): "z", identity("d"): "z"}
    assert planned.without_outgoing().zones == {identity("b"): "y", identity("a"): "x", identity("d"): "z"}


def test_no_change_is_planned_while_one_is_in_progress():
    joint = group("a b d", outgoing="a b c")
    assert plan_membership(NOW, joint, known_members("a b c:silent d:silent e"), identity("a"), 3) is None


def test_no_change_is_planned_by_a_leader_that_is_not_a_voter():
    assert plan("b c d", "a b c d:silent e", leader="a") is None


def test_completed_change_has_only_the_new_voters():
    final = group("a b d", epoch=8, outgoing="a b c").without_outgoing()
    assert final == group("a b d", epoch=9)
    with pytest.raises(ValueError, match="epoch 9 is not joint"):
        final.without_outgoing()


def test_standby_is_added_only_if_it_replied_within_the_standby_timeout():
    a, b, c, d = known_members("a b c:silent d")
    fresh = KnownMember(d.identity, "", True, False, NOW - STANDBY_TIMEOUT_NS + 1, True)
    stale = KnownMember(d.identity, "", True, False, NOW - STANDBY_TIMEOUT_NS, True)
    assert plan_membership(NOW, group("a b c"), [a, b, c, fresh], identity("a"), 3) is not None
    assert plan_membership(NOW, group("a b c"), [a, b, c, stale], identity("a"), 3) is None


def test_voter_is_replaced_once_the_voter_timeout_has_passed():
    a, b, c, d = known_members("a b c d")
    for silence, expected in ((VOTER_TIMEOUT_NS - 1, None), (VOTER_TIMEOUT_NS, "a b d")):
        quiet = KnownMember(c.identity, "", True, False, NOW - silence, True)
        planned = plan_membership(NOW, group("a b c"), [a, b, quiet, d], identity("a"), 3)
        assert (planned and names(planned.voters)) == expected


def test_second_replacement_stays_a_voter_when_the_first_voter_returns():
    """d replaces c, e replaces d; then c returns, and e stays."""
    membership = group("a b c")
    for known, expected in (("a b c:silent d", "a b d"), ("a b c:silent d:silent e", "a b e"), ("a b c d e", None)):
        planned = plan_membership(NOW, membership, known_members(known), identity("a"), 3)
        assert (planned and names(planned.voters)) == expected
        membership = planned.without_outgoing() if planned else membership
    assert membership.epoch == 11


def test_voter_with_a_lost_disk_is_replaced_while_another_member_joins():
    """b lost its disk while d joins for the silent c: with one tolerated loss, b is replaced first, and c in a later change."""
    voters, target = "a b c", 3
    assert plan(voters, "a b2:behind c:silent d", target) is None  # a alone is not a majority of a, b, c
    assert names(plan(voters, "a b2 c d:behind", target).voters) == "a b2 c"
    assert (
        plan_membership(NOW, group("a b2 c", outgoing="a b c"), known_members("a b2 c:silent d"), identity("a"), 3)
        is None
    )
    assert names(plan("a b2 c", "a b2 c:silent d", target).voters) == "a b2 d"


def test_leaving_voter_is_replaced_by_a_caught_up_standby():
    assert plan("a b c", "a b c d@z:behind") is None
    assert plan("a b c", "a b c d@z") is None
    assert names(plan("a b c", "a b c:leaving d@z").voters) == "a b d"


@pytest.mark.parametrize(
    "voters, outgoing, known, expected",
    [
        pytest.param("a b c", "", "a b c", None, id="a healthy leader stays"),
        pytest.param("a b c", "", "a:leaving b c", "b", id="a leaving leader hands over"),
        pytest.param("a b c", "", "a:leaving b@z c@y", "c", id="a leaving leader hands over among zones"),
        pytest.param("a b c", "", "a:leaving b:behind c", "c", id="only a caught-up voter can take over"),
        pytest.param("a b c", "", "a:leaving b:fading c", "c", id="only a voter that replied recently can take over"),
        pytest.param(
            "a b c", "", "a:leaving b:leaving c:silent", None, id="a leaving leader stays if no other voter can lead"
        ),
        pytest.param("a b c", "", "a:leaving b:leaving c:silent d", None, id="a standby cannot take over"),
        pytest.param("a b c", "", "a:leaving b b2 c", "c", id="a voter that lost its disk cannot take over"),
        pytest.param("a", "", "a:leaving b", None, id="a leader that is the only voter stays"),
        pytest.param("b", "a", "a:leaving b", "b", id="a leader that is replaced as the only voter hands over"),
        pytest.param("b c d", "a b c", "a b c d", "b", id="a leader that is not a new voter hands over"),
        pytest.param("a b c", "", "a:barred b c d", "b", id="a barred leader with a standby hands over"),
        pytest.param("a b c", "", "a:barred b c", None, id="a barred leader without a standby stays"),
        pytest.param(
            "a b c", "", "a:barred b:barred c:barred d", None, id="a barred leader without an eligible voter stays"
        ),
    ],
)
def test_should_hand_over(voters, outgoing, known, expected):
    """Which voter takes over depends on their logs: see `test_leadership_goes_to_...` in `test_consensus_node.py`."""
    found = should_hand_over(NOW, group(voters, outgoing=outgoing), known_members(known), identity("a"))
    assert found == (expected is not None)


def test_leaving_leader_is_replaced_after_the_transfer():
    known = "a@x:leaving b@y c@z d@x"
    assert plan("a b c", known) is None
    assert should_hand_over(NOW, group("a b c"), known_members(known), identity("a"))
    assert unsuitable_leaders(known_members(known)) == {identity("a")}
    assert names(plan("a b c", known, leader="b").voters) == "b c d"


@pytest.mark.parametrize("count, losses", [(3, 1), (4, 1), (5, 1), (5, 2), (6, 2), (7, 2), (7, 3), (11, 2), (11, 5)])
def test_every_set_of_tolerated_losses_is_replaced(count, losses):
    """Of `count` machines the first 2 * losses + 1 are voters. For each set of `losses` silent ones, as many are replaced as
    there are standbys."""
    machines = "abcdefghijk"[:count]
    voters, standbys = machines[: 2 * losses + 1], machines[2 * losses + 1 :]
    for lost in permutations(voters[1:], losses):
        known = " ".join(f"{name}:silent" if name in lost else name for name in machines)
        planned = plan(" ".join(voters), known, 2 * losses + 1)
        replaced = min(losses, len(standbys))
        if replaced == 0:
            assert planned is None
            continue
        kept = [voter for voter in names(planned.voters).split() if voter in voters]
        assert len(planned.voters) == len(voters)
        assert len([voter for voter in kept if voter in lost]) == losses - replaced
        assert len(kept) == len(voters) - replaced
