"""The operator's word among three members: messages and disks are the test's, lost and delayed as it likes."""

from itertools import combinations

from configuration.test_plan import encoded

from kestrelplank.configuration.keeping import NO_MAJORITY, PATIENCE, SETTLED, Keeper
from kestrelplank.configuration.plan import NOTHING, Key, read

NAMES = ("a", "b", "c")


def word(version):
    return read(encoded(version=f"{version:08x}")).unwrap()


class Yard:
    """Three keepers. `cut`: pairs that don't hear each other; `stalled`: disks that write nothing for now."""

    def __init__(self):
        self.keepers = {name: Keeper(name, NAMES, True, None) for name in NAMES}
        self.disks = dict.fromkeys(NAMES)
        self.cut, self.stalled, self.ended, self.now = set(), set(), {}, 0

    def reaches(self, one, other):
        return frozenset((one, other)) not in self.cut

    def run(self, name, effects):
        for effect in effects:
            if effect[0] == "send" and self.reaches(name, effect[1]):
                self.run(effect[1], self.frame(name, effect[1], effect[2]))
            elif effect[0] == "keep" and name not in self.stalled:
                self.disks[name] = effect[1]
                self.run(name, self.keepers[name].stored(self.now, effect[1].key))
            elif effect[0] in ("answer", "show"):
                self.ended[effect[1]] = effect[2]

    def frame(self, sender, name, frame):
        keeper = self.keepers[name]
        if frame["t"] == "copy":
            return keeper.take(self.now, read(frame["text"]).unwrap())
        if frame["t"] == "have":
            return keeper.heard(self.now, sender, Key(*frame["key"]))
        if frame["t"] == "ask":
            return keeper.asked(sender, frame["ticket"])
        return keeper.told(self.now, sender, frame["ticket"], Key(*frame["key"]))

    def put(self, name, ticket, version, reached=3):
        self.run(name, self.keepers[name].put(self.now, ticket, word(version), reached))

    def beats(self):
        for name, keeper in self.keepers.items():
            for other in NAMES:
                if other != name and self.reaches(name, other):
                    self.run(other, self.keepers[other].heard(self.now, name, keeper.have()))

    def show(self, name, ticket):
        self.run(name, self.keepers[name].show(self.now, ticket))


def test_a_change_is_settled_once_two_disks_have_it():
    yard = Yard()
    yard.stalled = {"a", "b"}
    yard.put("a", 1, 5)
    assert 1 not in yard.ended and yard.keepers["a"].force is None
    yard.stalled = set()
    yard.run("b", yard.keepers["b"].stored(0, word(5).key))
    assert yard.ended[1] == SETTLED and yard.keepers["a"].force.key.version == 5


def test_a_member_whose_own_disk_hangs_still_acknowledges():
    yard = Yard()
    yard.stalled = {"a"}
    yard.put("a", 1, 5)
    assert yard.ended[1] == SETTLED and yard.disks["a"] is None


def test_without_a_majority_a_call_is_told_to_go_elsewhere():
    yard = Yard()
    yard.put("a", 1, 5, reached=1)
    assert yard.ended[1] == NO_MAJORITY and yard.keepers["a"].held is None
    yard.cut = {frozenset("ab"), frozenset("ac")}
    yard.put("a", 2, 5)
    yard.run("a", yard.keepers["a"].tick(PATIENCE - 1))
    assert 2 not in yard.ended
    yard.run("a", yard.keepers["a"].tick(PATIENCE))
    assert yard.ended[2] == NO_MAJORITY and yard.keepers["a"].force is None


def test_an_older_change_is_acknowledged_and_alters_nothing():
    yard = Yard()
    yard.put("a", 1, 7)
    yard.put("b", 2, 5)
    yard.put("c", 3, 7)
    assert [yard.ended[ticket] for ticket in (1, 2, 3)] == [SETTLED] * 3
    assert {keeper.force.key.version for keeper in yard.keepers.values()} == {7}


def test_two_changes_at_once_at_two_members_settle_alike():
    for first, second in ((5, 6), (6, 5)):
        yard = Yard()
        yard.cut = {frozenset("ab"), frozenset("ac"), frozenset("bc")}
        yard.put("a", 1, first)
        yard.put("b", 2, second)
        yard.cut, yard.now = set(), PATIENCE
        yard.beats()
        yard.beats()
        assert yard.ended == {1: SETTLED, 2: SETTLED}
        assert {keeper.held.key.version for keeper in yard.keepers.values()} == {6}


def test_a_member_that_was_cut_off_shows_what_a_majority_has():
    yard = Yard()
    yard.put("a", 1, 5)
    yard.cut = {frozenset("ac"), frozenset("bc")}
    yard.put("a", 2, 9)
    yard.show("c", 3)
    assert yard.ended[2] == SETTLED and 3 not in yard.ended
    yard.run("c", yard.keepers["c"].tick(PATIENCE))
    assert yard.ended[3] == NO_MAJORITY
    yard.cut, yard.now = set(), PATIENCE
    yard.beats()
    yard.show("c", 4)
    assert yard.ended[4].key.version == 9


def test_no_loss_that_is_borne_loses_an_acknowledged_change():
    """Power of all is lost at each moment between writes, and one disk besides; who comes back empty asks the others."""
    for wiped in NAMES:
        for stalled in (set(), *({name} for name in NAMES), *map(set, combinations(NAMES, 2))):
            yard = Yard()
            yard.put("a", 1, 5)
            yard.stalled = stalled
            yard.put("b", 2, 9)
            acknowledged = 9 if yard.ended.get(2) == SETTLED else 5
            yard.disks[wiped] = None
            # What the wiped member learns is what both others have: that is what `joining` hands it.
            left = [yard.disks[name] for name in NAMES if name != wiped]
            best = max((disk for disk in left if disk), key=lambda disk: disk.key, default=None)
            assert best is not None and best.key.version >= acknowledged, (wiped, stalled)


def test_a_member_with_an_empty_disk_vouches_for_nothing():
    keeper = Keeper("a", NAMES, False, None)
    assert keeper.put(0, 1, word(5), 3) == [("answer", 1, NO_MAJORITY)]
    assert keeper.show(0, 2) == [("answer", 2, NO_MAJORITY)]
    assert keeper.asked("b", 1) == [] and keeper.have() == NOTHING
    keeper.take(0, word(5))
    assert keeper.stored(0, word(5).key) == [] and keeper.have() == NOTHING
