"""Helpers for tests of a member's log: entries, snapshots and writes, and loading a log after a restart."""

import errno
import os

from storage.memory import MemoryLog

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import Entry, HardState, PutConfiguration, PutRecord, Snapshot
from kestrelplank.consensus.membership import Membership
from kestrelplank.storage.log_file import LogFile

STRIDE = int(os.environ.get("KESTRELPLANK_STRIDE", "7"))  # bytes between tested prefixes of unsynced data
MEMBERS = Membership(3, ("a:1/first", "b:1/first", "c:1/5f2c"), ("a:1/first",), {"a:1": "north"})
CONFIGURATION = PutConfiguration(5, "d5", b'{"config_version": "00000005"}' * 3)
DISK_ERRORS = [OSError(number, os.strerror(number)) for number in (errno.EIO, errno.ENOSPC, errno.EROFS)]


def entry(index, term=1, command=None):
    return Entry(index, term, command or PutRecord("views", b"%d of %d" % (index, term)))


def entries(first, last, term=1):
    return tuple(entry(index, term) for index in range(first, last + 1))


def persist(*new, term=None, snapshot=None):
    return Persist(0, HardState(term, f"a:{term}", "b:1") if term else None, snapshot, new)


def snapshot(index, term=1):
    return Snapshot(index, term, MEMBERS, b"state at %d" % index)


def load_log(folder):
    """Return a new log of the folder, and the content that it loads."""
    log = LogFile(folder)
    return log, log.load()


def load_content(folder):
    """Return the content that a start loads from the folder."""
    log, loaded = load_log(folder)
    log.close()
    return loaded


def distinct(values):
    """Return the values without duplicates; a set does not work, as memberships are not hashable."""
    result = []
    for value in values:
        if value not in result:
            result.append(value)
    return result


def create_log(folder, *persists, incarnation="first"):
    log, _ = load_log(folder)
    log.store_incarnation(incarnation)
    for write in persists:
        log.write([write])
    return log


def reload(log):
    """Return the log after a restart, and the content that it loads."""
    log.close()
    log = log if isinstance(log, MemoryLog) else LogFile(log.folder)
    return log, log.load()


HARD_STATE_1, HARD_STATE_2, HARD_STATE_6 = (HardState(term, f"a:{term}", "b:1") for term in (1, 2, 6))
HISTORY = [persist(*entries(1, 2), term=1), persist(entry(3)), persist(term=2), persist(entry(3, 2), entry(4, 2))]
