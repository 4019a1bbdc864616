"""What an edge member makes of what it is told, and which of two lists of servers is the newer."""

from random import Random

from configuration.test_plan import encoded

from kestrelplank.transport.outlook import EdgeView, Holder, Holders
from kestrelplank.transport.roster import DRAINING, READY, ServerList

S = 1_000_000_000
MEMBERS = ("a:1", "b:1", "c:1")


def beat(key=None, members=MEMBERS, whole=True):
    return {"t": "beat", "key": key, "whole": whole, "members": members, "edges": 12}


def word(version):
    return {"t": "word", "key": (version, ""), "text": encoded(version=f"{version:08x}")}


def entry(name, state=READY):
    return (name, "views", f"{name}:80", "z", 2, state, 0)


def test_of_seeds_that_are_down_or_gone_one_that_answers_is_enough():
    outlook = EdgeView("edge-1", ("a:1", "gone:1", "down:1"))
    assert outlook.frame(0, "a:1", beat()) == "members" and outlook.members == MEMBERS
    assert outlook.frame(0, "b:1", beat()) is None


def test_ready_is_who_holds_what_a_majority_vouches_for():
    outlook = EdgeView("edge-1", MEMBERS)
    outlook.frame(0, "a:1", beat((5, "")))
    outlook.frame(0, "a:1", word(5))
    outlook.frame(0, "a:1", {"t": "roster", "age": 0, "list": [entry("s")]})
    assert not outlook.ready()
    outlook.frame(0, "b:1", beat((5, ""), whole=False))  # it lost its disk: its word counts for nothing
    assert not outlook.ready()
    outlook.frame(0, "b:1", beat((9, "")))
    assert not outlook.ready()  # a newer one is in force
    outlook.frame(0, "b:1", word(9))
    assert outlook.ready()


def test_a_life_never_goes_back():
    outlook = EdgeView("edge-1", MEMBERS)
    assert outlook.frame(0, "a:1", word(9)) == "word"
    assert outlook.frame(0, "b:1", word(5)) is None and outlook.timetable.key.version == 9
    lines = {"t": "lines", "service": "views", "at": [[2, "a:1"], 1], "lines": [[0, 65535, "s", "s:80"]]}
    assert outlook.frame(0, "a:1", lines) == "lines"
    assert outlook.frame(0, "b:1", {**lines, "at": [[1, "b:1"], 7], "lines": []}) is None
    assert outlook.holders["views"].of(7).server == "s" and outlook.decider("views") == "a:1"


def test_lines_laid_over_others_cover_what_they_say_and_nothing_else():
    random = Random(7)
    for _ in range(300):

        def some(most, name):
            ends = sorted(random.sample(range(40), random.randrange(1, most)))
            return [Holder(first, last - 1, f"{name}{first}", "") for first, last in zip([0, *ends], [*ends, 40])]

        old = Holders(((1, "a"), 1), some(9, "old"))
        changes = [line for line in some(12, "new") if random.random() < 0.4]
        new = old.under(((1, "a"), 2), changes)
        assert [line.first for line in new.lines] == [0, *(line.last + 1 for line in new.lines[:-1])]
        for key in range(40):
            over = next((line for line in changes if line.first <= key <= line.last), old.of(key))
            assert new.of(key).server == over.server


def test_changes_count_only_on_top_of_the_record_that_they_differ_from():
    outlook = EdgeView("edge-1", MEMBERS)
    lines = [[0, 99, "s", "s:80"], [100, 65535, "t", "t:80"]]
    outlook.frame(0, "a:1", {"t": "lines", "service": "views", "at": [[2, "a:1"], 1], "lines": lines})
    leaving = {
        "t": "leaving",
        "service": "views",
        "since": [[2, "a:1"], 1],
        "at": [[2, "a:1"], 1],
        "lines": [[50, 99, "", ""]],
    }
    assert outlook.frame(0, "a:1", leaving) == "lines"
    assert outlook.holders["views"].of(49).server == "s" and outlook.holders["views"].of(50) is None
    changed = {**leaving, "t": "changed", "at": [[2, "a:1"], 2], "lines": [[50, 99, "t", "t:80"]]}
    assert outlook.frame(0, "a:1", changed) == "lines" and outlook.holders["views"].of(50).server == "t"
    assert outlook.frame(0, "b:1", changed) is None  # it comes twice
    late = {**changed, "since": [[2, "a:1"], 3], "at": [[2, "a:1"], 4], "lines": [[0, 9, "u", "u:80"]]}
    assert outlook.frame(0, "a:1", late) is None and outlook.stand()["lines"]["views"] == ((2, "a:1"), 2)


def test_of_two_lists_the_one_fetched_later_holds_whenever_it_comes():
    roster = ServerList()
    assert roster.take(10 * S, 0, [entry("s"), entry("t")])
    assert not roster.take(11 * S, 3 * S, [entry("s")])  # held up on its way
    assert set(roster.entries) == {"s", "t"}
    assert roster.take(12 * S, S // 2, [entry("s")]) and set(roster.entries) == {"s"}


def test_a_drain_is_never_taken_back():
    roster = ServerList()
    roster.take(10 * S, 0, [entry("s", DRAINING)])
    assert not roster.take(11 * S, 0, [entry("s")]) and roster.entries["s"].state == DRAINING
