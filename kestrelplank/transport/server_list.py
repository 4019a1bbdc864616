"""The platform's list of servers as our processes tell it to each other, and which of two is the newer: the one that
was fetched later by our own steady clock, as each message says how old it is."""

from collections.abc import Sequence
from typing import Any, NamedTuple
from zlib import crc32

from kestrelplank.consensus.member_messages import ServerListUpdate

READY, DRAINING = "ready", "draining"


class Entry(NamedTuple):
    """A server as listed; `warm`: ns for which it was still slow when the list was fetched."""

    server: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    warm: int


class ServerList:
    """The newest list that has come. `fetched_at`: when, by our clock; `changed_at`: when it last became another."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.fetched_at: int | None = None
        self.changed_at, self._digest = 0, 0
        self._draining: dict[str, None] = {}

    def take(self, now: int, age: int, entries: Sequence[Sequence[Any]]) -> bool:
        """A whole list that is `age` ns old. Returns whether anything is other than before. A server that was listed as
        draining stays so, as lists lag and may come in another order; every start has a name of its own."""
        fetched_at = now - age
        if self.fetched_at is not None and fetched_at <= self.fetched_at:
            return False
        found = {}
        for parts in entries:
            entry = Entry(*parts)
            if entry.state == DRAINING:
                self._draining[entry.server] = None
            elif entry.server in self._draining:
                entry = entry._replace(state=DRAINING)
            found[entry.server] = entry
        self.fetched_at = fetched_at
        for name in [name for name in self._draining if name not in found]:
            del self._draining[name]
        same = found.keys() == self.entries.keys() and all(
            found[name][:6] == entry[:6] for name, entry in self.entries.items()
        )
        self.entries = found
        if not same:
            self.changed_at = now
            self._digest = crc32(repr(sorted(entry[:6] for entry in found.values())).encode())
        return not same

    def age(self, now: int) -> int | None:
        return None if self.fetched_at is None else now - self.fetched_at

    def news(self, now: int) -> ServerListUpdate:
        """The list as it is told to others. Only where one has come."""
        return ServerListUpdate(now - (self.fetched_at or 0), [tuple(entry) for entry in self.entries.values()])

    def digest(self) -> int:
        """Short for what the list says, to see whether another has the same."""
        return self._digest
