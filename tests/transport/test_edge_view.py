"""How an edge machine's view changes with the messages of control members."""

from configuration.test_parsing import encoded

from kestrelplank.consensus.member_messages import ServerListUpdate
from kestrelplank.time_units import SECOND
from kestrelplank.transport.configuration_arrival import ConfigurationArrival, Delivery
from kestrelplank.transport.edge_view import CONFIRMATION_MAX_AGE_NS, SEED_FALLBACK_DELAY_NS, Change, EdgeView
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    KeyRangesDelta,
    KeyRangesUpdate,
    KeyRangesVersion,
    MemberHeartbeat,
    RangeHolder,
)
from kestrelplank.transport.server_list import READY

MEMBERS = ("a:1", "b:1", "c:1")


def heartbeat(version=None, voters=MEMBERS, epoch=0, term=1, leader="a:1", is_current=True, heartbeat_sent_at=0):
    return MemberHeartbeat(epoch, term, leader, is_current, version, voters, 12, heartbeat_sent_at)


def configuration(version):
    return ConfigurationUpdate(version, encoded(version=f"{version:08x}"))


def entry(name, state=READY):
    return (name, "views", f"{name}:80", "z", 2, state, 0)


def view_with_configuration(version):
    """Return a view with that configuration, not confirmed yet, and a server list."""
    view = EdgeView("edge-1", MEMBERS)
    view.receive(0, "a:1", configuration(version))
    view.receive(0, "a:1", ServerListUpdate(0, [entry("s")]))
    return view


def test_one_reachable_seed_is_enough_to_find_the_members():
    view = EdgeView("edge-1", ("a:1", "gone:1", "down:1"))
    assert view.addresses_to_dial(0) == ("a:1", "gone:1", "down:1")
    assert view.receive(0, "a:1", heartbeat()) is Change.MEMBERS and view.members == MEMBERS
    assert view.addresses_to_dial(0) == MEMBERS and view.receive(0, "b:1", heartbeat()) is None


def test_an_edge_is_ready_once_a_current_member_confirms_its_configuration():
    view = view_with_configuration(5)
    assert not view.ready()
    view.receive(0, "a:1", heartbeat(5, is_current=False))  # a member that is cut off can't confirm
    assert not view.ready()
    view.receive(0, "b:1", heartbeat(9))
    assert not view.ready()  # a newer configuration is in force
    view.receive(0, "b:1", configuration(9))
    assert not view.ready()  # received, but a still newer one may be in force by now
    view.receive(0, "b:1", heartbeat(9))
    assert view.ready()


def test_a_former_member_can_not_confirm_a_configuration():
    view = view_with_configuration(5)
    view.receive(0, "a:1", heartbeat(9, voters=("d:1", "e:1", "f:1"), epoch=2))
    view.receive(0, "b:1", heartbeat(5, epoch=1))  # a member that missed the change
    view.receive(0, "b:1", heartbeat(5, voters=("d:1", "e:1", "f:1"), epoch=2))  # no longer a voter
    assert not view.ready() and view.members == ("d:1", "e:1", "f:1")
    view.receive(0, "e:1", heartbeat(5, voters=("d:1", "e:1", "f:1"), epoch=2))
    assert view.ready()


def test_a_ready_edge_stays_ready_when_a_newer_configuration_is_announced():
    view = view_with_configuration(5)
    view.receive(0, "a:1", heartbeat(5))
    assert view.ready()
    view.receive(0, "a:1", heartbeat(9))
    assert view.ready()


def test_a_delayed_confirmation_is_ignored():
    view = view_with_configuration(5)
    sent_at = view.heartbeat(7 * SECOND).sent_at
    view.receive(sent_at + CONFIRMATION_MAX_AGE_NS + 1, "a:1", heartbeat(5, heartbeat_sent_at=sent_at))
    assert not view.ready()
    view.receive(sent_at + CONFIRMATION_MAX_AGE_NS, "a:1", heartbeat(5, heartbeat_sent_at=sent_at))
    assert view.ready()


def test_a_confirmation_ages_from_the_heartbeat_that_it_answers():
    view = view_with_configuration(5)
    assert not view.is_confirmed(0, SECOND)
    view.receive(SECOND, "a:1", heartbeat(5, heartbeat_sent_at=SECOND // 2))
    view.receive(SECOND, "b:1", heartbeat(5, heartbeat_sent_at=0))  # a slower answer to an earlier heartbeat
    view.receive(SECOND, "a:1", configuration(9))  # newer than what was confirmed
    assert view.is_confirmed(3 * SECOND // 2, SECOND) and not view.is_confirmed(3 * SECOND // 2 + 1, SECOND)
    view.receive(2 * SECOND, "a:1", heartbeat(10, heartbeat_sent_at=2 * SECOND))  # names a newer one in force
    view.receive(2 * SECOND, "a:1", heartbeat(9, is_current=False, heartbeat_sent_at=2 * SECOND))
    assert not view.is_confirmed(2 * SECOND, SECOND)


def test_an_edge_without_a_configuration_is_not_ready():
    view = EdgeView("edge-1", MEMBERS)
    view.receive(0, "a:1", ServerListUpdate(0, [entry("s")]))
    view.receive(0, "a:1", heartbeat(None))
    assert not view.ready()


def test_the_members_follow_the_newest_membership():
    view = EdgeView("edge-1", MEMBERS)
    view.receive(0, "a:1", heartbeat())
    assert view.receive(0, "a:1", heartbeat(voters=("a:1", "b:1", "d:1"), epoch=2)) is Change.MEMBERS
    assert view.addresses_to_dial(0) == ("a:1", "b:1", "d:1")
    assert view.receive(0, "c:1", heartbeat(epoch=0)) is None and view.members == ("a:1", "b:1", "d:1")


def test_seeds_are_dialled_again_only_while_no_member_sends_messages():
    view = EdgeView("edge-1", ("a:1", "x:1"))
    view.receive(0, "a:1", heartbeat(voters=("b:1", "c:1")))
    view.receive(0, "b:1", heartbeat(voters=("b:1", "c:1")))
    assert view.addresses_to_dial(SEED_FALLBACK_DELAY_NS - 1) == ("b:1", "c:1")
    assert view.addresses_to_dial(SEED_FALLBACK_DELAY_NS) == ("b:1", "c:1", "a:1", "x:1")
    view.receive(SEED_FALLBACK_DELAY_NS, "x:1", heartbeat(voters=("d:1", "c:1"), epoch=7))
    assert view.addresses_to_dial(SEED_FALLBACK_DELAY_NS) == ("d:1", "c:1", "a:1", "x:1")
    view.receive(SEED_FALLBACK_DELAY_NS, "d:1", heartbeat(voters=("d:1", "c:1"), epoch=7))
    assert view.addresses_to_dial(SEED_FALLBACK_DELAY_NS) == ("d:1", "c:1")


# Guards against an edge that keeps an older configuration: the only member that it talks to is cut off from the others,
# and it never dials the seeds, which know the voters that have replaced them.
def test_a_member_that_is_not_current_does_not_keep_an_edge_from_the_seeds():
    view, cut_off, replaced = EdgeView("edge-1", ("a:1", "d:1")), "a:1", ("b:1", "c:1")
    for now in range(0, 4 * SEED_FALLBACK_DELAY_NS, SEED_FALLBACK_DELAY_NS // 4):
        view.receive(now, cut_off, heartbeat(5, is_current=False, heartbeat_sent_at=now))
        view.receive(now, cut_off, configuration(5))
        assert view.addresses_to_dial(now) == (cut_off, *replaced, "d:1")
    view.receive(now, "d:1", heartbeat(9, voters=("d:1", "e:1"), epoch=3))
    assert view.addresses_to_dial(now) == ("d:1", "e:1")


def test_reports_are_sent_to_the_leader_of_the_newest_term():
    view = EdgeView("edge-1", MEMBERS)
    assert view.assigner_address("views") is None
    view.receive(0, "b:1", heartbeat(term=3, leader="b:1"))
    view.receive(0, "a:1", heartbeat(term=2, leader="a:1"))
    view.receive(0, "c:1", heartbeat(term=4, leader=""))
    assert view.assigner_address("views") == "b:1"


def test_updates_with_an_older_version_are_ignored():
    view = EdgeView("edge-1", MEMBERS)
    assert view.receive(0, "a:1", configuration(9)) is Change.CONFIGURATION
    assert view.receive(0, "b:1", configuration(5)) is None and view.configuration.key.version == 9
    ranges = KeyRangesUpdate("views", KeyRangesVersion(2, 1), [RangeHolder(0, 65535, "s", "s:80")])
    assert view.receive(0, "a:1", ranges) is Change.KEY_RANGES
    assert view.receive(0, "b:1", KeyRangesUpdate("views", KeyRangesVersion(1, 7), [])) is None
    assert view.key_ranges["views"].holder_of(7).server == "s"


def test_an_invalid_configuration_is_ignored_and_counted():
    view = EdgeView("edge-1", MEMBERS)
    assert view.receive(0, "a:1", ConfigurationUpdate(9, b"{")) is None and view.configuration is None
    assert view.rejected_configurations == 1 and view.configuration_arrival is None


def test_the_arrival_of_a_configuration_says_who_sent_it_why_and_how_late_it_may_be():
    view = view_with_configuration(5)
    assert view.configuration_arrival == ConfigurationArrival(5, "a:1", Delivery.PUSH, None)
    view.receive(SECOND, "a:1", heartbeat(5, heartbeat_sent_at=SECOND - 3))
    view.receive(SECOND, "b:1", heartbeat(5, heartbeat_sent_at=SECOND - 9))
    view.receive(2 * SECOND, "b:1", heartbeat(6))  # names it, but the update of another member comes first
    view.receive(2 * SECOND, "a:1", configuration(6))
    assert view.configuration_arrival == ConfigurationArrival(6, "a:1", Delivery.PUSH, SECOND + 3)
    view.receive(3 * SECOND, "b:1", heartbeat(7, heartbeat_sent_at=3 * SECOND))
    view.receive(3 * SECOND, "b:1", configuration(7))
    assert view.configuration_arrival == ConfigurationArrival(7, "b:1", Delivery.ANSWER, 2 * SECOND + 3)


def test_a_key_range_delta_is_applied_only_to_its_base_version():
    view = EdgeView("edge-1", MEMBERS)
    ranges = [RangeHolder(0, 99, "s", "s:80"), RangeHolder(100, 65535, "t", "t:80")]
    view.receive(0, "a:1", KeyRangesUpdate("views", KeyRangesVersion(2, 1), ranges))
    releasing = KeyRangesDelta(
        "views", KeyRangesVersion(2, 1), KeyRangesVersion(2, 1, 1), [RangeHolder(50, 99, "", "")]
    )
    assert view.receive(0, "a:1", releasing) is Change.KEY_RANGES
    assert view.key_ranges["views"].holder_of(49).server == "s" and view.key_ranges["views"].holder_of(50) is None
    moved = KeyRangesDelta(
        "views", KeyRangesVersion(2, 1, 1), KeyRangesVersion(2, 2), [RangeHolder(50, 99, "t", "t:80")]
    )
    assert view.receive(0, "a:1", moved) is Change.KEY_RANGES and view.key_ranges["views"].holder_of(50).server == "t"
    assert view.receive(0, "b:1", moved) is None  # a duplicate
    skipping = KeyRangesDelta("views", KeyRangesVersion(2, 3), KeyRangesVersion(2, 4), [RangeHolder(0, 9, "u", "u:80")])
    assert view.receive(0, "a:1", skipping) is None and view.heartbeat(0).key_ranges["views"] == KeyRangesVersion(2, 2)


def test_an_edge_that_missed_a_key_range_delta_ignores_later_ones_until_a_full_update():
    view = EdgeView("edge-1", MEMBERS)
    ranges = [RangeHolder(0, 99, "s", "s:80"), RangeHolder(100, 65535, "t", "t:80")]
    view.receive(0, "a:1", KeyRangesUpdate("views", KeyRangesVersion(2, 1), ranges))
    later = KeyRangesDelta(
        "views", KeyRangesVersion(2, 1, 1), KeyRangesVersion(2, 1, 2), [RangeHolder(100, 199, "", "")]
    )
    assert view.receive(0, "a:1", later) is None and view.heartbeat(0).key_ranges["views"] == KeyRangesVersion(2, 1)
    releasing = [RangeHolder(50, 99, "", ""), RangeHolder(100, 199, "", "")]
    assert (
        view.receive(0, "a:1", KeyRangesUpdate("views", KeyRangesVersion(2, 1, 2), ranges, releasing))
        is Change.KEY_RANGES
    )
    table = view.key_ranges["views"]
    assert (
        table.holder_of(49).server == "s"
        and table.holder_of(50) is None
        and table.holder_of(199) is None
        and table.holder_of(200).server == "t"
    )
