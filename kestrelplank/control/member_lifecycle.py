"""How one member finds the others, asks to be a voter, and shuts down gracefully. No I/O.

A member that is current only repeats its `MembershipRequest` to the leader. One that is not current searches for the
others at every address it has heard of, for as long as it runs.
"""

from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.member_messages import MembershipQuery, MembershipRequest, MembershipUpdate
from kestrelplank.consensus.membership import Membership
from kestrelplank.control.effects import SendToAddress
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.control.peer_directory import PeerDirectory
from kestrelplank.control.replica import Replica
from kestrelplank.time_units import MILLISECOND, SECOND

REQUEST_INTERVAL_NS = 300 * MILLISECOND
"""From one `MembershipRequest` to the next, of a member that is no voter, searches for the others, or is stopping."""
VOTER_REQUEST_INTERVAL_NS = SECOND
"""The same of any other voter: by these the leader knows its zone, and whether it may be a voter."""
SEARCH_DELAY_NS = SECOND
"""A member that has not been current for so long searches for the others."""
STOP_MARGIN_NS = 3 * SECOND // 2
"""This member stops so long before its grace time is over, which is left for connections and requests in hand."""
STANDBY_REPLY_WAIT_NS = SECOND
"""A member that is stopping waits so long at least for the others to say which standbys run."""


class MemberLifecycle:
    """Search for the others, requests to be a voter, and the stop of one member.

    :param address: our own control address.
    """

    def __init__(
        self, now: int, address: str, profile: MemberProfile, replica: Replica, directory: PeerDirectory
    ) -> None:
        self._address = address
        self._profile = profile
        self._replica = replica
        self._directory = directory
        self._node = replica.node
        self._started_at = self._next_request_at = now
        self._last_current_at: int | None = None  # when this member was last current since its start
        self._stop_requested_at: int | None = None

    # What is known.

    @property
    def stopping(self) -> bool:
        """Whether this member was asked to stop."""
        return self._stop_requested_at is not None

    def newest_membership(self) -> Membership | None:
        """Return the newest membership known, from our log or from other members."""
        return newer(self._node.membership, self._directory.newest_membership)

    def committed_membership(self) -> Membership | None:
        """Return the newest membership known to be committed, from our log or from other members."""
        return newer(self._replica.committed_membership, self._directory.newest_membership)

    def is_voter(self) -> bool:
        """Whether this member is a voter, as far as it knows."""
        newest = self.newest_membership()
        return newest is not None and self._node.identity in newest.all_voters()

    def is_searching(self, now: int) -> bool:
        """Whether the others must be searched for at any address, as those known here do not make us current."""
        if self._last_current_at is None:
            knows_members = self._node.membership is not None
            return not knows_members or now - self._started_at >= SEARCH_DELAY_NS
        return now - self._last_current_at >= SEARCH_DELAY_NS

    def addresses_to_dial(self, now: int) -> list[str]:
        """Return the control addresses of the members that a session is wanted with."""
        newest = self.newest_membership()
        voters = [*self._replica.voters(), *(newest.all_voters() if newest else ())]
        addresses = dict.fromkeys(map(address_of, voters))
        if self.is_searching(now):
            addresses.update(dict.fromkeys(self._directory.known_addresses(now)))
        addresses.pop(self._address, None)
        return list(addresses)

    # What others ask.

    def handle_membership_request(self, now: int, sender: str, request: MembershipRequest) -> None:
        """Note that a member asks to be or to stay a voter.

        A member that does not lead answers who the voters are and who leads, so that the sender asks there.
        """
        self._directory.handle_membership_request(now, sender, request)
        if not self._node.leads(now):
            self.handle_membership_query(now, sender)

    def handle_membership_query(self, now: int, sender: str) -> None:
        """Send a member who the voters are, who leads and who else runs, as far as known here."""
        membership = self.committed_membership()
        if membership is None:
            return
        leader = self._node.leader or self._directory.leader
        self._replica.send(sender, MembershipUpdate(membership, leader, self.standbys(now)))

    def standbys(self, now: int) -> tuple[str, ...]:
        """Return the members that run and are no voters."""
        membership = self.committed_membership()
        voters = membership.all_voters() if membership else ()
        return tuple(identity for identity in self._directory.running(now) if identity not in voters)

    # What this member asks.

    def tick(self, now: int) -> None:
        """Search for the others and send our request to the leader, where that is due."""
        if self._node.current(now):
            self._last_current_at = now
        if now < self._next_request_at:
            return
        searching = self.is_searching(now)
        settled = self.is_voter() and not searching and not self.stopping
        self._next_request_at = now + (VOTER_REQUEST_INTERVAL_NS if settled else REQUEST_INTERVAL_NS)
        if searching:
            for address in self.addresses_to_dial(now):
                self._replica.emit(SendToAddress(address, MembershipQuery()))
        self._request_membership(searching)

    def _request_membership(self, searching: bool) -> None:
        """Ask to be or to stay a voter, or, when stopping, to be replaced."""
        profile, node = self._profile, self._node
        request = MembershipRequest(node.term, node.epoch, profile.zone, profile.eligible, self.stopping)
        for identity in self._likely_leaders(searching):
            self._replica.send(identity, request)
            if self.stopping:  # who else runs decides how long we stay
                self._replica.send(identity, MembershipQuery())

    def _likely_leaders(self, searching: bool) -> list[str]:
        """Return the leader as far as it is known; where none is or we are searching, all voters."""
        if self._node.leader and not searching:
            identities = [self._node.leader]
        else:
            newest = self.newest_membership()
            identities = [self._directory.leader, *(newest.all_voters() if newest else ())]
        return [identity for identity in dict.fromkeys(identities) if identity not in ("", self._node.identity)]

    # Stopping.

    def begin_stop(self, now: int) -> None:
        """Hand leadership over, and ask to be replaced. The member goes on serving until `may_stop`."""
        if self.stopping:
            return
        self._stop_requested_at = self._next_request_at = now
        self._node.stop_campaigning()
        self._replica.transfer_leadership(now)

    def may_stop(self, now: int) -> bool:
        """Whether this member may end, as waiting longer would keep nothing safer.

        It is no voter any more; or the others have all that it has, and no standby could replace it; or its time is up.
        """
        if self._stop_requested_at is None:
            return False
        if not self.is_voter() or now >= self._stop_requested_at + self._profile.stop_grace_ns - STOP_MARGIN_NS:
            return True
        if now < self._stop_requested_at + STANDBY_REPLY_WAIT_NS or self._directory.other_standbys_run(now):
            return False
        return self._node.commit_index == self._node.log.last_index and self._node.current(now)


def newer(first: Membership | None, second: Membership | None) -> Membership | None:
    """Return the membership of the higher epoch, the first of two that are equal."""
    if first is None or second is None:
        return first or second
    return second if second.epoch > first.epoch else first
