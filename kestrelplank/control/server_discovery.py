"""The platform's list of servers at one control member, and when this member has to fetch it. No I/O.

One member fetches the list and sends it to the other voters: normally the leader; if the list gets too old, the next
voter in order.
"""

from collections.abc import Sequence

from kestrelplank.consensus.member_messages import ServerListUpdate
from kestrelplank.control.effects import PushToEdges
from kestrelplank.control.replica import Replica
from kestrelplank.control.shard_assigners import ShardAssigners
from kestrelplank.time_units import SECOND
from kestrelplank.transport.server_list import ListedServer, ServerList

FETCH_INTERVAL_NS = SECOND // 2
"""Age of the list at which the leader fetches it."""
FETCH_STAGGER_NS = SECOND // 2
"""The n-th voter after the leader fetches the list at an age that is n times this higher, if no other has."""


class ServerDiscovery:
    """Keeps `servers` up to date and notifies the shard assigners of changes."""

    def __init__(self, replica: Replica, servers: ServerList, assigners: ShardAssigners) -> None:
        self._replica = replica
        self._node = replica.node
        self._servers = servers
        self._assigners = assigners

    def fetch_due_in_ns(self, now: int) -> int | None:
        """Return the time until this member should fetch the list, unless a newer list arrives before.

        None if it is not a voter, as only voters fetch the list.
        """
        own_identity, leader = self._node.identity, self._node.leader
        other_voters = [voter for voter in self._replica.voters() if voter != leader]
        if own_identity != leader and own_identity not in other_voters:
            return None
        rank = 0 if own_identity == leader else other_voters.index(own_identity) + 1
        age = self._servers.age_ns(now)
        return 0 if age is None else max(0, FETCH_INTERVAL_NS + rank * FETCH_STAGGER_NS - age)

    def handle_fetched(self, now: int, entries: list[ListedServer]) -> None:
        """Store the list that this member fetched; send it to the other voters and, if changed, to edge machines."""
        changed = self._store(now, 0, entries)
        update = self._servers.update_message(now)
        for voter in self._replica.voters():
            if voter != self._node.identity:
                self._replica.send(voter, update)
        if changed:
            self._replica.emit(PushToEdges(update))

    def handle_server_list_update(self, now: int, update: ServerListUpdate) -> None:
        """Store the list that another member fetched, if it is newer than the one known here."""
        self._store(now, update.age_ns, update.entries)

    def _store(self, now: int, age_ns: int, entries: Sequence[tuple[str, str, str, str, int, str, int]]) -> bool:
        """Store a list if it is newer than the one known here. Return whether any entry changed."""
        changed = self._servers.update(now, age_ns, entries)
        if changed:
            self._assigners.handle_server_list(now)
        return changed
