"""The platform's list of servers as our processes pass it on.

Of two lists the newer is the one that was fetched later. Each message says how old its list is, so the receiver has the
instant on its own steady clock.
"""

from collections.abc import Iterable
from typing import NamedTuple
from zlib import crc32

from kestrelplank.consensus.member_messages import ServerListUpdate

ServerRow = tuple[str, str, str, str, int, str, int]  # a `ListedServer` as it is on the wire


# A server's state as the platform lists it; one in any other state gets no new requests. Plain strings and no enum:
# they are compared for each server of each list, and are on the wire.
READY = "ready"
DRAINING = "draining"


class ListedServer(NamedTuple):
    """A server as listed.

    :param state: `READY`, `DRAINING`, or another state of the platform's.
    :param warm_up_ns: what was left of the server's warm-up when the list was fetched.
    """

    server: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    warm_up_ns: int


COMPARED_FIELDS = 6  # all before `warm_up_ns`, which shrinks from list to list without being a change


class ServerList:
    """The newest list that has come.

    Invariants, each with the test in `tests/transport/test_server_list.py` that holds it:

    - A list that was fetched earlier never replaces one that was fetched later
      (`test_of_two_lists_the_one_fetched_later_holds_whenever_it_comes`).
    - A server that was listed as draining stays so as long as it is listed, as lists lag: every start of a server has a
      name of its own (`test_a_drain_is_never_taken_back`).
    """

    def __init__(self) -> None:
        self.entries: dict[str, ListedServer] = {}  # by server
        self.fetched_at: int | None = None
        self.changed_at = 0  # when the last list came that differed from the one before
        self._digest = 0
        self._draining: dict[str, None] = {}

    def update(self, now: int, age_ns: int, rows: Iterable[ServerRow | ListedServer]) -> bool:
        """Take a complete list that is `age_ns` old; return whether it differs from the one before."""
        fetched_at = now - age_ns
        if self.fetched_at is not None and fetched_at <= self.fetched_at:
            return False
        self.fetched_at = fetched_at
        listed = self._with_drains(rows)
        changed = listed.keys() != self.entries.keys() or any(
            listed[name][:COMPARED_FIELDS] != entry[:COMPARED_FIELDS] for name, entry in self.entries.items()
        )
        self.entries = listed
        if changed:
            self.changed_at = now
            self._digest = digest_of(listed.values())
        return changed

    def _with_drains(self, rows: Iterable[ServerRow | ListedServer]) -> dict[str, ListedServer]:
        """Return the listed servers by name, those draining that were before; forget the drains of those not listed."""
        listed: dict[str, ListedServer] = {}
        for row in rows:
            entry = ListedServer(*row)
            if entry.state == DRAINING:
                self._draining[entry.server] = None
            elif entry.server in self._draining:
                entry = entry._replace(state=DRAINING)
            listed[entry.server] = entry
        for name in [name for name in self._draining if name not in listed]:
            del self._draining[name]
        return listed

    def age_ns(self, now: int) -> int | None:
        """Return how long ago the list was fetched, None where none has come."""
        return None if self.fetched_at is None else now - self.fetched_at

    def update_message(self, now: int) -> ServerListUpdate:
        """Return the list as it is sent to others. To be called only once one has come."""
        return ServerListUpdate(now - (self.fetched_at or 0), [entry[:] for entry in self.entries.values()])

    def digest(self) -> int:
        """Return a checksum of the list, by which one process knows whether another has the same list."""
        return self._digest


def digest_of(entries: Iterable[ListedServer]) -> int:
    """Return the digest of a list. Processes compare it over the wire, so its input must not change."""
    return crc32(repr(sorted(entry[:COMPARED_FIELDS] for entry in entries)).encode())
