"""How one member finds the others, asks to count, and stops in order. No I/O.

A member that the others know and that is current asks little: it tells the leader where it is. One that is not current
looks for the others at every address it has heard of, for as long as it runs.
"""

from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.member_messages import MembershipQuery, MembershipRequest, MembershipUpdate
from kestrelplank.consensus.membership import Membership
from kestrelplank.control.effects import SendToAddress
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.control.peer_directory import PeerDirectory
from kestrelplank.control.replica import Replica

S = 1_000_000_000
ASK = 300_000_000  # ns between requests of a member that does not count, looks for the others, or is about to stop
TELL = S  # ns between a voter's words to the leader on where it is
SEARCH_AFTER = S  # a member that has not been current for so long looks for the others anywhere
STOP_MARGIN = 3 * S // 2  # of the grace, for what is in hand when a member stops
STOP_CALM = S  # a member that stops waits so long for what might be done for its place


class MemberLifecycle:
    """`address`: our own control address."""

    def __init__(
        self, now: int, address: str, place: MemberProfile, replica: Replica, directory: PeerDirectory
    ) -> None:
        self._address, self._place, self._replica, self._directory = address, place, replica, directory
        self._node = replica.node
        self._current_at: int | None = None  # when this member last was current in this life
        self._started_at = self._ask_at = now
        self._stop_at: int | None = None

    # What is known.

    @property
    def stopping(self) -> bool:
        return self._stop_at is not None

    def newest(self) -> Membership | None:
        """The newest membership known, in our log or by what others told."""
        return newer(self._node.membership, self._directory.news)

    def committed(self) -> Membership | None:
        """The newest membership that is known to be committed, by our log or by what others told."""
        return newer(self._replica.committed, self._directory.news)

    def is_voter(self) -> bool:
        """Whether this member counts, as far as it knows."""
        newest = self.newest()
        return newest is not None and self._node.identity in newest.all_voters()

    def searching(self, now: int) -> bool:
        """Whether the others have to be looked for anywhere, as those known here do not make this member current."""
        if self._current_at is None:
            known = self._node.membership is not None
            return not known or now - self._started_at >= SEARCH_AFTER
        return now - self._current_at >= SEARCH_AFTER

    def addresses_to_dial(self, now: int) -> list[str]:
        """Control addresses of the members that a session is wanted with."""
        newest = self.newest()
        known = [*self._replica.voters(), *(newest.all_voters() if newest else ())]
        addresses = dict.fromkeys(map(address_of, known))
        if self.searching(now):
            addresses.update(dict.fromkeys(self._directory.places(now)))
        addresses.pop(self._address, None)
        return list(addresses)

    # What others ask.

    def on_request(self, now: int, sender: str, request: MembershipRequest) -> None:
        """A member says that it runs, and asks to count; the leader takes it from there."""
        self._directory.requested(now, sender, request)
        if not self._node.leads(now):
            self.tell_members(now, sender)

    def tell_members(self, now: int, to: str) -> None:
        """Who counts and who leads, for a member that asks."""
        counts = self.committed()
        if counts is None:
            return
        voters = counts.all_voters()
        standbys = tuple(one for one in self._directory.running(now) if one not in voters)
        self._replica.send(to, MembershipUpdate(counts, self._node.leader or self._directory.leader, standbys))

    # What this member asks.

    def tick(self, now: int) -> None:
        """Looks for the others where that is due, and tells the leader that we run."""
        if self._node.current(now):
            self._current_at = now
        if now < self._ask_at:
            return
        searching = self.searching(now)
        self._ask_at = now + (TELL if self.is_voter() and not searching and not self.stopping else ASK)
        if searching:
            for address in self.addresses_to_dial(now):
                self._replica.emit(SendToAddress(address, MembershipQuery()))
        self._request_membership(searching)

    def _request_membership(self, searching: bool) -> None:
        place, node = self._place, self._node
        request = MembershipRequest(node.term, node.epoch, place.zone, place.eligible, self.stopping)
        for identity in self._leaders(searching):
            self._replica.send(identity, request)
            if self.stopping:  # who else runs decides how long we stay
                self._replica.send(identity, MembershipQuery())

    def _leaders(self, searching: bool) -> list[str]:
        """Who leads as far as is known; while that is doubtful, all that may."""
        if self._node.leader and not searching:
            found = [self._node.leader]
        else:
            newest = self.newest()
            found = [self._directory.leader, *(newest.all_voters() if newest else ())]
        return [identity for identity in dict.fromkeys(found) if identity not in ("", self._node.identity)]

    # Stopping.

    def stop(self, now: int) -> None:
        """This member is told to stop: a leader hands over, and another is asked to take its place. It goes on serving
        until `may_stop`."""
        if self.stopping:
            return
        self._stop_at = self._ask_at = now
        self._node.stop_campaigning()
        self._replica.add(self._node.transfer_leadership(now))

    def may_stop(self, now: int) -> bool:
        """Whether nothing more can be done for what this member holds: it does not count any more, or the others have
        it and nobody could take its place, or its time is up."""
        if self._stop_at is None:
            return False
        if not self.is_voter() or now >= self._stop_at + self._place.grace - STOP_MARGIN:
            return True
        if now < self._stop_at + STOP_CALM or self._directory.others_run(now):
            return False
        return self._node.commit_index == self._node.log.last_index and self._node.current(now)


def newer(one: Membership | None, other: Membership | None) -> Membership | None:
    """The one of the higher epoch."""
    if one is None or other is None:
        return one or other
    return other if other.epoch > one.epoch else one
