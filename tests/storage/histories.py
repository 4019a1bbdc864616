"""Entries, snapshots and writes that tests of a member's log are made of, and starts on what they left."""

import errno
import os

from storage.memory import MemoryLog

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import Entry, HardState, PutConfiguration, PutRecord, Snapshot
from kestrelplank.consensus.membership import Membership
from kestrelplank.storage.log_file import LogFile

STRIDE = int(os.environ.get("KESTRELPLANK_STRIDE", "7"))  # 1: each length of what was not synced
MEMBERS = Membership(3, ("a:1/first", "b:1/first", "c:1/5f2c"), ("a:1/first",), {"a:1": "north"})
CONFIGURATION = PutConfiguration(5, "d5", b'{"config_version": "00000005"}' * 3)
REFUSALS = [OSError(number, os.strerror(number)) for number in (errno.EIO, errno.ENOSPC, errno.EROFS)]


def entry(index, term=1, command=None):
    return Entry(index, term, command or PutRecord("views", b"%d of %d" % (index, term)))


def entries(first, last, term=1):
    return tuple(entry(index, term) for index in range(first, last + 1))


def persist(*new, term=None, snapshot=None):
    return Persist(0, HardState(term, f"a:{term}", "b:1") if term else None, snapshot, new)


def snapshot(index, term=1):
    return Snapshot(index, term, MEMBERS, b"state at %d" % index)


def started(folder):
    """The log in that folder after a start, and what it holds."""
    log = LogFile(folder)
    return log, log.load()


def found_in(folder):
    """What a start finds there."""
    log, loaded = started(folder)
    log.close()
    return loaded


def distinct(values):
    """Each once; memberships hold maps, so there are no sets of them."""
    found = []
    for value in values:
        if value not in found:
            found.append(value)
    return found


def filled(folder, *persists, incarnation="first"):
    log, _ = started(folder)
    log.store_incarnation(incarnation)
    for one in persists:
        log.write([one])
    return log


def restarted(log):
    """The log after a start, and what it holds."""
    log.close()
    log = log if isinstance(log, MemoryLog) else LogFile(log.folder)
    return log, log.load()


ONE, TWO, SIX = (HardState(term, f"a:{term}", "b:1") for term in (1, 2, 6))
HISTORY = [persist(*entries(1, 2), term=1), persist(entry(3)), persist(term=2), persist(entry(3, 2), entry(4, 2))]
