"""Runs a log on a simulated disk that loses power, or fails, at each of its calls in turn."""

import os

from storage.histories import (
    CONFIGURATION,
    HARD_STATE_2,
    HARD_STATE_6,
    MEMBERS,
    STRIDE,
    create_log,
    entries,
    entry,
    load_content,
    load_log,
    persist,
    snapshot,
)
from storage.power_loss import Disk, PowerLostError, fill

from kestrelplank.consensus.log_entries import ChangeMembership
from kestrelplank.storage.records import LogContent


class Scenario:
    """A disk that may lose power at any call, and a second folder to check what it left."""

    def __init__(self, tmp_path, monkeypatch, *persists):
        self.folder, self.crashed_folder = str(tmp_path / "member"), str(tmp_path / "left")
        self.monkeypatch = monkeypatch
        self.persists = persists
        self.run = 0
        self.results = []

    def begin(self):
        """Return a log on a new disk, with the initial writes durable."""
        self.run += 1
        fill(self.folder, {})
        log = create_log(self.folder, *self.persists)
        self.disk = Disk(self.folder)
        return log

    def after_power_loss(self, stride=STRIDE):
        """Yield the content that a start loads from each folder that a power loss may leave; a second start loads it too."""
        for number, contents in enumerate(self.disk.outcomes(stride)):
            fill(self.crashed_folder, contents)
            log, loaded = load_log(self.crashed_folder)
            assert not [name for name in os.listdir(self.crashed_folder) if name.startswith(".")]
            log.close()
            assert load_content(self.crashed_folder) == loaded
            yield loaded

    def lose_power_at_each_call(self, write, check):
        """Call `write(log)` on new disks, with power lost before each of its calls in turn, and after the last one."""
        at, lost = 0, True
        while lost:
            log = self.begin()
            with self.monkeypatch.context() as patched:
                self.disk.install(patched)
                self.disk.arm(at)
                try:
                    write(log)
                    lost = False
                except PowerLostError:
                    lost = True
            for loaded in self.after_power_loss():
                check(lost, loaded)
                self.results.append((at, loaded))
            at += 1
        self.calls = at - 1
        print(f"{self.calls} calls, {len(self.results)} power losses")


WRITES_BEFORE = [persist(*entries(1, 4), term=1), persist(entry(5), term=2)]
CONTENT_BEFORE = LogContent("first", HARD_STATE_2, None, entries(1, 5))
LARGE_WRITE = persist(entry(6, 2, CONFIGURATION), entry(7, 2, ChangeMembership(MEMBERS)), term=6)
CONTENT_WITH_LARGE_WRITE = LogContent("first", HARD_STATE_6, None, CONTENT_BEFORE.entries + LARGE_WRITE.entries)
COMPACTION = persist(entry(5), snapshot=snapshot(4))
COMPACTED_CONTENT = LogContent("first", HARD_STATE_2, snapshot(4), (entry(5),))


def fail_each_call(scenario, write, error, persistent=False):
    """Run `write(log)` on new disks, with each of its calls in turn failing, or all from that one on.

    Yields the log after each error, while the disk is still patched but no longer fails.
    """
    at, failed = 0, True
    while failed:
        log = scenario.begin()
        with scenario.monkeypatch.context() as patched:
            scenario.disk.install(patched)
            scenario.disk.arm(at, error, persistent)
            try:
                write(log)
                failed = False
            except OSError as err:
                assert err is error
                scenario.disk.arm()
                yield log
        at += 1
    assert at > 2


WRITES = [([LARGE_WRITE], CONTENT_WITH_LARGE_WRITE), ([COMPACTION], COMPACTED_CONTENT)]
