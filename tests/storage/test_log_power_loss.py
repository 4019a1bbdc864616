"""What a loss of power at any call of a log on disk leaves behind."""

import pytest
from storage.histories import SIX, TWO, distinct, entries, entry, found_in, persist, snapshot
from storage.power_loss import Disk, PowerLost, fill
from storage.scenario import BEFORE, BIG, COMPACTED, COMPACTION, HELD, WITH_BIG, Scenario

from kestrelplank.storage.log_file import LogFile
from kestrelplank.storage.records import LogContent


@pytest.mark.parametrize(
    "persists, expected, calls",
    [
        ([BIG], WITH_BIG, 2),
        ([persist(term=6)], LogContent("first", SIX, None, entries(1, 5)), 2),
        ([persist(entry(4, 2))], LogContent("first", TWO, None, (*entries(1, 3), entry(4, 2))), 2),
        ([persist(term=6), persist(BIG.entries[0]), persist(BIG.entries[1])], WITH_BIG, 2),
        ([COMPACTION], COMPACTED, 5),
        ([persist(entry(6), term=6), persist(*entries(5, 6), snapshot=snapshot(4))], LogContent("first", SIX, snapshot(4), entries(5, 6)), 5),
    ],
)  # fmt: skip
def test_power_lost_at_each_call_of_a_write_leaves_all_of_it_or_none(tmp_path, monkeypatch, persists, expected, calls):
    scenario = Scenario(tmp_path, monkeypatch, *BEFORE)

    def check(lost, loaded):
        assert loaded == expected if not lost else loaded in (HELD, expected)

    scenario.lose_power_at_each_call(lambda log: log.write(persists), check)
    assert scenario.calls == calls
    assert distinct(loaded for _, loaded in scenario.ends) in ([HELD, expected], [expected, HELD])


def test_power_lost_at_each_call_of_the_first_start_leaves_an_empty_disk_or_the_incarnation(tmp_path, monkeypatch):
    scenario = Scenario(tmp_path, monkeypatch)

    def first_start(log):
        log.load()
        log.store_incarnation("5f2c")
        log.write([persist(term=2)])

    def begin():
        fill(scenario.folder, {})
        scenario.disk = Disk(scenario.folder)
        return LogFile(scenario.folder)

    scenario.begin = begin
    kept = LogContent("5f2c", TWO)

    def check(lost, loaded):
        assert loaded == kept if not lost else loaded in (LogContent(), LogContent("5f2c"), kept)

    scenario.lose_power_at_each_call(first_start, check)
    assert distinct(loaded for _, loaded in scenario.ends) == [LogContent(), LogContent("5f2c"), kept]


def test_power_lost_again_at_each_call_of_a_start_and_the_write_after_it(tmp_path, monkeypatch):
    """The first loss left a torn batch, in each of its forms."""
    first = Scenario(tmp_path, monkeypatch, *BEFORE)
    log = first.begin()
    with monkeypatch.context() as patched:
        first.disk.install(patched)
        first.disk.arm(1)
        with pytest.raises(PowerLost):
            log.write([BIG])
    left = list(first.disk.outcomes(40))
    assert len(left) > 20
    second = Scenario(tmp_path, monkeypatch)
    for contents in left:
        fill(second.folder, contents)
        assert found_in(second.folder) in (HELD, WITH_BIG)
        at, lost = 0, True
        while lost:
            fill(second.folder, contents)
            second.disk = Disk(second.folder)
            log, loaded = LogFile(second.folder), None
            with monkeypatch.context() as patched:
                second.disk.install(patched)
                second.disk.arm(at)
                try:
                    loaded = log.load()
                    log.write([persist(entry(6, 9), term=6)])
                    lost = False
                except PowerLost:
                    lost = True
            written = LogContent("first", SIX, None, (*entries(1, 5), entry(6, 9)))
            allowed = (HELD, WITH_BIG) if loaded is None else (loaded, written) if lost else (written,)
            for found in second.after_power_loss(40):
                assert found in allowed, (at, loaded)
            at += 1
