"""What an edge machine makes of what it is told, and which of two lists of servers is the newer."""

from random import Random

from configuration.test_parsing import encoded

from kestrelplank.consensus.member_messages import ServerListUpdate
from kestrelplank.transport.edge_view import FALLBACK, VOUCHED_WITHIN, Change, EdgeView, KeyRangeTable
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    KeyRangesDelta,
    KeyRangesUpdate,
    KeyRangesVersion,
    MemberHeartbeat,
    RangeHolder,
)
from kestrelplank.transport.server_list import DRAINING, READY, ServerList

S = 1_000_000_000
MEMBERS = ("a:1", "b:1", "c:1")


def beat(version=None, voters=MEMBERS, epoch=0, term=1, leader="a:1", current=True, answers=0):
    return MemberHeartbeat(epoch, term, leader, current, version, voters, 12, answers)


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
    assert view.receive(0, "a:1", beat()) is Change.MEMBERS and view.members == MEMBERS
    assert view.addresses_to_dial(0) == MEMBERS and view.receive(0, "b:1", beat()) is None


def test_ready_is_who_holds_what_a_current_member_vouches_for():
    view = holding(5)
    assert not view.ready()
    view.receive(0, "a:1", beat(5, current=False))  # it is cut off: its word counts for nothing
    assert not view.ready()
    view.receive(0, "b:1", beat(9))
    assert not view.ready()  # a newer one is in force
    view.receive(0, "b:1", configuration(9))
    assert not view.ready()  # and is held, but by now yet a newer one may be
    view.receive(0, "b:1", beat(9))
    assert view.ready()


def test_a_current_member_that_does_not_count_any_more_vouches_for_nothing():
    view = holding(5)
    view.receive(0, "a:1", beat(9, voters=("d:1", "e:1", "f:1"), epoch=2))
    view.receive(0, "b:1", beat(5, epoch=1))  # it is cut off from the change, and believes in the epoch before
    view.receive(0, "b:1", beat(5, voters=("d:1", "e:1", "f:1"), epoch=2))  # it counts no more
    assert not view.ready() and view.members == ("d:1", "e:1", "f:1")
    view.receive(0, "e:1", beat(5, voters=("d:1", "e:1", "f:1"), epoch=2))
    assert view.ready()


def test_who_was_ready_stays_so_while_it_hears_that_a_newer_configuration_comes():
    view = holding(5)
    view.receive(0, "a:1", beat(5))
    assert view.ready()
    view.receive(0, "a:1", beat(9))
    assert view.ready()


def test_a_word_that_a_freeze_or_a_cut_has_held_up_vouches_for_nothing():
    view = holding(5)
    asked_at = view.heartbeat(7 * S).sent_at
    view.receive(asked_at + VOUCHED_WITHIN + 1, "a:1", beat(5, answers=asked_at))
    assert not view.ready()
    view.receive(asked_at + VOUCHED_WITHIN, "a:1", beat(5, answers=asked_at))
    assert view.ready()


def test_without_a_configuration_nobody_is_ready():
    view = EdgeView("edge-1", MEMBERS)
    view.receive(0, "a:1", ServerListUpdate(0, [entry("s")]))
    view.receive(0, "a:1", beat(None))
    assert not view.ready()


def test_newcomers_are_found_and_those_that_left_let_go_of():
    view = EdgeView("edge-1", MEMBERS)
    view.receive(0, "a:1", beat())
    assert view.receive(0, "a:1", beat(voters=("a:1", "b:1", "d:1"), epoch=2)) is Change.MEMBERS
    assert view.addresses_to_dial(0) == ("a:1", "b:1", "d:1")
    assert view.receive(0, "c:1", beat(epoch=0)) is None and view.members == ("a:1", "b:1", "d:1")


def test_seeds_are_asked_again_once_all_members_are_silent_and_no_longer_when_one_speaks():
    view = EdgeView("edge-1", ("a:1", "x:1"))
    view.receive(0, "a:1", beat(voters=("b:1", "c:1")))
    view.receive(0, "b:1", beat(voters=("b:1", "c:1")))
    assert view.addresses_to_dial(FALLBACK - 1) == ("b:1", "c:1")
    assert view.addresses_to_dial(FALLBACK) == ("b:1", "c:1", "a:1", "x:1")
    view.receive(FALLBACK, "x:1", beat(voters=("d:1", "c:1"), epoch=7))
    assert view.addresses_to_dial(FALLBACK) == ("d:1", "c:1", "a:1", "x:1")
    view.receive(FALLBACK, "d:1", beat(voters=("d:1", "c:1"), epoch=7))
    assert view.addresses_to_dial(FALLBACK) == ("d:1", "c:1")


def test_reports_go_to_who_leads_by_the_newest_term():
    view = EdgeView("edge-1", MEMBERS)
    assert view.decider("views") is None
    view.receive(0, "b:1", beat(term=3, leader="b:1"))
    view.receive(0, "a:1", beat(term=2, leader="a:1"))
    view.receive(0, "c:1", beat(term=4, leader=""))
    assert view.decider("views") == "b:1"


def test_a_life_never_goes_back():
    view = EdgeView("edge-1", MEMBERS)
    assert view.receive(0, "a:1", configuration(9)) is Change.CONFIGURATION
    assert view.receive(0, "b:1", configuration(5)) is None and view.configuration.key.version == 9
    lines = KeyRangesUpdate("views", KeyRangesVersion(2, 1), [RangeHolder(0, 65535, "s", "s:80")])
    assert view.receive(0, "a:1", lines) is Change.LINES
    assert view.receive(0, "b:1", KeyRangesUpdate("views", KeyRangesVersion(1, 7), [])) is None
    assert view.holders["views"].of(7).server == "s"


def test_a_configuration_that_can_not_be_read_changes_nothing():
    view = EdgeView("edge-1", MEMBERS)
    assert view.receive(0, "a:1", ConfigurationUpdate(9, b"{")) is None and view.configuration is None


def test_lines_laid_over_others_cover_what_they_say_and_nothing_else():
    random = Random(7)
    for _ in range(300):

        def some(most, name):
            ends = sorted(random.sample(range(40), random.randrange(1, most)))
            return [RangeHolder(first, last - 1, f"{name}{first}", "") for first, last in zip([0, *ends], [*ends, 40])]

        old = KeyRangeTable(KeyRangesVersion(1, 1), some(9, "old"))
        changes = [line for line in some(12, "new") if random.random() < 0.4]
        new = old.under(KeyRangesVersion(1, 2), changes)
        assert [line.first for line in new.lines] == [0, *(line.last + 1 for line in new.lines[:-1])]
        for key in range(40):
            over = next((line for line in changes if line.first <= key <= line.last), old.of(key))
            assert new.of(key).server == over.server


def test_changes_count_only_on_top_of_the_place_that_they_differ_from():
    view = EdgeView("edge-1", MEMBERS)
    lines = [RangeHolder(0, 99, "s", "s:80"), RangeHolder(100, 65535, "t", "t:80")]
    view.receive(0, "a:1", KeyRangesUpdate("views", KeyRangesVersion(2, 1), lines))
    leaving = KeyRangesDelta("views", KeyRangesVersion(2, 1), KeyRangesVersion(2, 1, 1), [RangeHolder(50, 99, "", "")])
    assert view.receive(0, "a:1", leaving) is Change.LINES
    assert view.holders["views"].of(49).server == "s" and view.holders["views"].of(50) is None
    changed = KeyRangesDelta(
        "views", KeyRangesVersion(2, 1, 1), KeyRangesVersion(2, 2), [RangeHolder(50, 99, "t", "t:80")]
    )
    assert view.receive(0, "a:1", changed) is Change.LINES and view.holders["views"].of(50).server == "t"
    assert view.receive(0, "b:1", changed) is None  # it comes twice
    late = KeyRangesDelta("views", KeyRangesVersion(2, 3), KeyRangesVersion(2, 4), [RangeHolder(0, 9, "u", "u:80")])
    assert view.receive(0, "a:1", late) is None and view.heartbeat(0).lines["views"] == KeyRangesVersion(2, 2)


def test_who_missed_a_notice_of_leaving_ranges_takes_nothing_that_builds_on_it_until_it_is_told_all():
    view = EdgeView("edge-1", MEMBERS)
    lines = [RangeHolder(0, 99, "s", "s:80"), RangeHolder(100, 65535, "t", "t:80")]
    view.receive(0, "a:1", KeyRangesUpdate("views", KeyRangesVersion(2, 1), lines))
    second = KeyRangesDelta(
        "views", KeyRangesVersion(2, 1, 1), KeyRangesVersion(2, 1, 2), [RangeHolder(100, 199, "", "")]
    )
    assert view.receive(0, "a:1", second) is None and view.heartbeat(0).lines["views"] == KeyRangesVersion(2, 1)
    leaving = [RangeHolder(50, 99, "", ""), RangeHolder(100, 199, "", "")]
    assert view.receive(0, "a:1", KeyRangesUpdate("views", KeyRangesVersion(2, 1, 2), lines, leaving)) is Change.LINES
    held = view.holders["views"]
    assert held.of(49).server == "s" and held.of(50) is None and held.of(199) is None and held.of(200).server == "t"


def test_of_two_lists_the_one_fetched_later_holds_whenever_it_comes():
    servers = ServerList()
    assert servers.take(10 * S, 0, [entry("s"), entry("t")])
    assert not servers.take(11 * S, 3 * S, [entry("s")])  # held up on its way
    assert set(servers.entries) == {"s", "t"}
    assert servers.take(12 * S, S // 2, [entry("s")]) and set(servers.entries) == {"s"}


def test_a_drain_is_never_taken_back():
    servers = ServerList()
    servers.take(10 * S, 0, [entry("s", DRAINING)])
    assert not servers.take(11 * S, 0, [entry("s")]) and servers.entries["s"].state == DRAINING
