"""What an edge machine makes of what control members send it."""

from configuration.test_parsing import encoded

from kestrelplank.consensus.member_messages import ServerListUpdate
from kestrelplank.time_units import SECOND
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


def holding(version):
    """A view that has that configuration and a list of servers, and has heard nobody vouch."""
    view = EdgeView("edge-1", MEMBERS)
    view.receive(0, "a:1", configuration(version))
    view.receive(0, "a:1", ServerListUpdate(0, [entry("s")]))
    return view


def test_of_seeds_that_are_down_or_gone_one_that_answers_is_enough():
    view = EdgeView("edge-1", ("a:1", "gone:1", "down:1"))
    assert view.addresses_to_dial(0) == ("a:1", "gone:1", "down:1")
    assert view.receive(0, "a:1", heartbeat()) is Change.MEMBERS and view.members == MEMBERS
    assert view.addresses_to_dial(0) == MEMBERS and view.receive(0, "b:1", heartbeat()) is None


def test_ready_is_who_holds_what_a_current_member_vouches_for():
    view = holding(5)
    assert not view.ready()
    view.receive(0, "a:1", heartbeat(5, is_current=False))  # it is cut off: what it says counts for nothing
    assert not view.ready()
    view.receive(0, "b:1", heartbeat(9))
    assert not view.ready()  # a newer one is in force
    view.receive(0, "b:1", configuration(9))
    assert not view.ready()  # and is held, but by now yet a newer one may be
    view.receive(0, "b:1", heartbeat(9))
    assert view.ready()


def test_a_current_member_that_does_not_count_any_more_vouches_for_nothing():
    view = holding(5)
    view.receive(0, "a:1", heartbeat(9, voters=("d:1", "e:1", "f:1"), epoch=2))
    view.receive(0, "b:1", heartbeat(5, epoch=1))  # it is cut off from the change, and believes in the epoch before
    view.receive(0, "b:1", heartbeat(5, voters=("d:1", "e:1", "f:1"), epoch=2))  # it counts no more
    assert not view.ready() and view.members == ("d:1", "e:1", "f:1")
    view.receive(0, "e:1", heartbeat(5, voters=("d:1", "e:1", "f:1"), epoch=2))
    assert view.ready()


def test_who_was_ready_stays_so_while_it_hears_that_a_newer_configuration_comes():
    view = holding(5)
    view.receive(0, "a:1", heartbeat(5))
    assert view.ready()
    view.receive(0, "a:1", heartbeat(9))
    assert view.ready()


def test_a_vouch_that_a_freeze_or_a_cut_has_held_up_counts_for_nothing():
    view = holding(5)
    sent_at = view.heartbeat(7 * SECOND).sent_at
    view.receive(sent_at + CONFIRMATION_MAX_AGE_NS + 1, "a:1", heartbeat(5, heartbeat_sent_at=sent_at))
    assert not view.ready()
    view.receive(sent_at + CONFIRMATION_MAX_AGE_NS, "a:1", heartbeat(5, heartbeat_sent_at=sent_at))
    assert view.ready()


def test_without_a_configuration_nobody_is_ready():
    view = EdgeView("edge-1", MEMBERS)
    view.receive(0, "a:1", ServerListUpdate(0, [entry("s")]))
    view.receive(0, "a:1", heartbeat(None))
    assert not view.ready()


def test_newcomers_are_found_and_those_that_left_let_go_of():
    view = EdgeView("edge-1", MEMBERS)
    view.receive(0, "a:1", heartbeat())
    assert view.receive(0, "a:1", heartbeat(voters=("a:1", "b:1", "d:1"), epoch=2)) is Change.MEMBERS
    assert view.addresses_to_dial(0) == ("a:1", "b:1", "d:1")
    assert view.receive(0, "c:1", heartbeat(epoch=0)) is None and view.members == ("a:1", "b:1", "d:1")


def test_seeds_are_asked_again_once_all_members_are_silent_and_no_longer_when_one_speaks():
    view = EdgeView("edge-1", ("a:1", "x:1"))
    view.receive(0, "a:1", heartbeat(voters=("b:1", "c:1")))
    view.receive(0, "b:1", heartbeat(voters=("b:1", "c:1")))
    assert view.addresses_to_dial(SEED_FALLBACK_DELAY_NS - 1) == ("b:1", "c:1")
    assert view.addresses_to_dial(SEED_FALLBACK_DELAY_NS) == ("b:1", "c:1", "a:1", "x:1")
    view.receive(SEED_FALLBACK_DELAY_NS, "x:1", heartbeat(voters=("d:1", "c:1"), epoch=7))
    assert view.addresses_to_dial(SEED_FALLBACK_DELAY_NS) == ("d:1", "c:1", "a:1", "x:1")
    view.receive(SEED_FALLBACK_DELAY_NS, "d:1", heartbeat(voters=("d:1", "c:1"), epoch=7))
    assert view.addresses_to_dial(SEED_FALLBACK_DELAY_NS) == ("d:1", "c:1")


def test_reports_go_to_who_leads_by_the_newest_term():
    view = EdgeView("edge-1", MEMBERS)
    assert view.assigner_address("views") is None
    view.receive(0, "b:1", heartbeat(term=3, leader="b:1"))
    view.receive(0, "a:1", heartbeat(term=2, leader="a:1"))
    view.receive(0, "c:1", heartbeat(term=4, leader=""))
    assert view.assigner_address("views") == "b:1"


def test_a_process_never_goes_back_to_older_state():
    view = EdgeView("edge-1", MEMBERS)
    assert view.receive(0, "a:1", configuration(9)) is Change.CONFIGURATION
    assert view.receive(0, "b:1", configuration(5)) is None and view.configuration.key.version == 9
    ranges = KeyRangesUpdate("views", KeyRangesVersion(2, 1), [RangeHolder(0, 65535, "s", "s:80")])
    assert view.receive(0, "a:1", ranges) is Change.KEY_RANGES
    assert view.receive(0, "b:1", KeyRangesUpdate("views", KeyRangesVersion(1, 7), [])) is None
    assert view.key_ranges["views"].holder_of(7).server == "s"


def test_a_configuration_that_can_not_be_read_changes_nothing():
    view = EdgeView("edge-1", MEMBERS)
    assert view.receive(0, "a:1", ConfigurationUpdate(9, b"{")) is None and view.configuration is None


def test_changes_count_only_on_top_of_the_version_that_they_differ_from():
    view = EdgeView("edge-1", MEMBERS)
    ranges = [RangeHolder(0, 99, "s", "s:80"), RangeHolder(100, 65535, "t", "t:80")]
    view.receive(0, "a:1", KeyRangesUpdate("views", KeyRangesVersion(2, 1), ranges))
    leaving = KeyRangesDelta("views", KeyRangesVersion(2, 1), KeyRangesVersion(2, 1, 1), [RangeHolder(50, 99, "", "")])
    assert view.receive(0, "a:1", leaving) is Change.KEY_RANGES
    assert view.key_ranges["views"].holder_of(49).server == "s" and view.key_ranges["views"].holder_of(50) is None
    changed = KeyRangesDelta(
        "views", KeyRangesVersion(2, 1, 1), KeyRangesVersion(2, 2), [RangeHolder(50, 99, "t", "t:80")]
    )
    assert view.receive(0, "a:1", changed) is Change.KEY_RANGES and view.key_ranges["views"].holder_of(50).server == "t"
    assert view.receive(0, "b:1", changed) is None  # it comes twice
    late = KeyRangesDelta("views", KeyRangesVersion(2, 3), KeyRangesVersion(2, 4), [RangeHolder(0, 9, "u", "u:80")])
    assert view.receive(0, "a:1", late) is None and view.heartbeat(0).key_ranges["views"] == KeyRangesVersion(2, 2)


def test_who_missed_a_notice_of_leaving_ranges_takes_nothing_that_builds_on_it_until_it_is_told_all():
    view = EdgeView("edge-1", MEMBERS)
    ranges = [RangeHolder(0, 99, "s", "s:80"), RangeHolder(100, 65535, "t", "t:80")]
    view.receive(0, "a:1", KeyRangesUpdate("views", KeyRangesVersion(2, 1), ranges))
    second = KeyRangesDelta(
        "views", KeyRangesVersion(2, 1, 1), KeyRangesVersion(2, 1, 2), [RangeHolder(100, 199, "", "")]
    )
    assert view.receive(0, "a:1", second) is None and view.heartbeat(0).key_ranges["views"] == KeyRangesVersion(2, 1)
    leaving = [RangeHolder(50, 99, "", ""), RangeHolder(100, 199, "", "")]
    assert (
        view.receive(0, "a:1", KeyRangesUpdate("views", KeyRangesVersion(2, 1, 2), ranges, leaving))
        is Change.KEY_RANGES
    )
    table = view.key_ranges["views"]
    assert (
        table.holder_of(49).server == "s"
        and table.holder_of(50) is None
        and table.holder_of(199) is None
        and table.holder_of(200).server == "t"
    )
