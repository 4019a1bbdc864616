"""The platform's list of servers, as the gateway's processes send it to each other.

The list that was fetched later is the newer one. Each message has the age of its list, from which the receiver computes
the time of the fetch on its own monotonic clock.
"""

from collections.abc import Iterable
from typing import NamedTuple
from zlib import crc32

from kestrelplank.consensus.member_messages import ServerListUpdate

ServerRow = tuple[str, str, str, str, int, str, int]  # a `ListedServer` on the wire


# States that the platform lists; a server in any other state gets no new requests. Plain strings instead of an enum, as
# they are on the wire and are compared for each server of each list.
READY = "ready"
DRAINING = "draining"


class ListedServer(NamedTuple):
    """A server in the platform's list.

    :param state: `READY`, `DRAINING`, or another state of the platform.
    :param warm_up_ns: the rest of the server's warm-up (slow start) when the list was fetched.
    """

    server: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    warm_up_ns: int


COMPARED_FIELDS = 6  # all fields before `warm_up_ns`, which decreases from list to list without being a change


class ServerList:
    """The newest list received.

    Invariants, each with its test in `tests/transport/test_server_list.py`:

    - A list that was fetched earlier never replaces one that was fetched later
      (`test_a_list_fetched_earlier_never_replaces_one_fetched_later`).
    - A server that was listed as draining stays draining while it is listed, as lists may lag; a restarted server has a
      new name (`test_a_draining_server_stays_draining_while_it_is_listed`).
    """

    def __init__(self) -> None:
        self.entries: dict[str, ListedServer] = {}  # by server
        self.fetched_at: int | None = None
        self.changed_at = 0  # when the last list that differed from the previous one was received
        self._digest = 0
        self._draining: dict[str, None] = {}

    def update(self, now: int, age_ns: int, rows: Iterable[ServerRow | ListedServer]) -> bool:
        """Apply a complete list that is `age_ns` old, unless it is outdated; return whether the entries changed."""
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
        """Return the listed servers by name, with earlier drains applied; drop the drains of unlisted servers."""
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
        """Return the time since the list was fetched; None if no list was received."""
        return None if self.fetched_at is None else now - self.fetched_at

    def update_message(self, now: int) -> ServerListUpdate:
        """Return the list as a message. To be called only after a list was received."""
        return ServerListUpdate(now - (self.fetched_at or 0), [entry[:] for entry in self.entries.values()])

    def digest(self) -> int:
        """Return a checksum of the list, by which processes detect that their lists differ."""
        return self._digest


def digest_of(entries: Iterable[ListedServer]) -> int:
    """Return the digest of a list. It is compared between processes, so its input must not change."""
    return crc32(repr(sorted(entry[:COMPARED_FIELDS] for entry in entries)).encode())
