"""A log file on a disk that loses its power, or refuses, at each of its calls in turn."""

import os

from storage.histories import (
    CONFIGURATION,
    MEMBERS,
    SIX,
    STRIDE,
    TWO,
    entries,
    entry,
    filled,
    found_in,
    persist,
    snapshot,
    started,
)
from storage.power_loss import Disk, PowerLost, fill

from kestrelplank.consensus.log_entries import ChangeMembership
from kestrelplank.storage.records import LogContent


class Scenario:
    """A disk that power may leave at any call, and a second folder in which what is left is looked at."""

    def __init__(self, tmp_path, monkeypatch, *persists):
        self.folder, self.left = str(tmp_path / "member"), str(tmp_path / "left")
        self.monkeypatch = monkeypatch
        self.persists = persists
        self.run = 0
        self.ends = []

    def begin(self):
        """A fresh disk on which all before is durable."""
        self.run += 1
        fill(self.folder, {})
        log = filled(self.folder, *self.persists)
        self.disk = Disk(self.folder)
        return log

    def after_power_loss(self, stride=STRIDE):
        """What a start finds, for each folder that may be left; a start that loses its power too finds the same."""
        for number, contents in enumerate(self.disk.outcomes(stride)):
            fill(self.left, contents)
            log, loaded = started(self.left)
            assert not [name for name in os.listdir(self.left) if name.startswith(".")]
            log.close()
            assert found_in(self.left) == loaded
            yield loaded

    def lose_power_at_each_call(self, write, check):
        """Calls `write(log)` on a fresh disk, with the power lost before each of its calls in turn, and at its end."""
        at, lost = 0, True
        while lost:
            log = self.begin()
            with self.monkeypatch.context() as patched:
                self.disk.install(patched)
                self.disk.arm(at)
                try:
                    write(log)
                    lost = False
                except PowerLost:
                    lost = True
            for loaded in self.after_power_loss():
                check(lost, loaded)
                self.ends.append((at, loaded))
            at += 1
        self.calls = at - 1
        print(f"{self.calls} calls, {len(self.ends)} losses of power")


BEFORE = [persist(*entries(1, 4), term=1), persist(entry(5), term=2)]
HELD = LogContent("first", TWO, None, entries(1, 5))
BIG = persist(entry(6, 2, CONFIGURATION), entry(7, 2, ChangeMembership(MEMBERS)), term=6)
WITH_BIG = LogContent("first", SIX, None, HELD.entries + BIG.entries)
COMPACTION = persist(entry(5), snapshot=snapshot(4))
COMPACTED = LogContent("first", TWO, snapshot(4), (entry(5),))


def refuse_each_call(scenario, write, refusal, lasting=False):
    """Runs `write(log)` on fresh disks with one of its calls refused, or all from that one on; yields the log after
    each refusal, while the disk is still patched and refuses nothing any more."""
    at, refused = 0, True
    while refused:
        log = scenario.begin()
        with scenario.monkeypatch.context() as patched:
            scenario.disk.install(patched)
            scenario.disk.arm(at, refusal, lasting)
            try:
                write(log)
                refused = False
            except OSError as err:
                assert err is refusal
                scenario.disk.arm()
                yield log
        at += 1
    assert at > 2


WRITES = [([BIG], WITH_BIG), ([COMPACTION], COMPACTED)]
