"""Discovery of the other members, requests to be a voter, and graceful shutdown of one member. No I/O.

A member that is current only repeats its `MembershipRequest` to the leader. One that is not current searches for the
other members at every known address until it is.
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
"""Between `MembershipRequest` messages of a member that is not a voter, is searching, or is stopping."""
VOTER_REQUEST_INTERVAL_NS = SECOND
"""The same for any other voter; its requests tell the leader its zone and whether it is eligible."""
SEARCH_DELAY_NS = SECOND
"""A member that has not been current for this time searches for the others."""
STOP_MARGIN_NS = 3 * SECOND // 2
"""Part of the grace period that is reserved for closing connections and finishing calls in flight."""
STANDBY_REPLY_WAIT_NS = SECOND
"""Minimum time that a stopping member waits for other members to report which standbys run."""


class MemberLifecycle:
    """Searches for other members, requests voter status, and shuts one member down.

    :param address: this member's own control address.
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
        self._last_current_at: int | None = None  # None if not current since the start
        self._stop_requested_at: int | None = None

    # Known membership.

    @property
    def stopping(self) -> bool:
        """Whether this member was asked to stop."""
        return self._stop_requested_at is not None

    def newest_membership(self) -> Membership | None:
        """Return the newest membership known, from this member's log or from other members."""
        return newer(self._node.membership, self._directory.newest_membership)

    def committed_membership(self) -> Membership | None:
        """Return the newest membership known to be committed, from this member's log or from other members."""
        return newer(self._replica.committed_membership, self._directory.newest_membership)

    def is_voter(self) -> bool:
        """Whether this member is a voter, as far as it knows."""
        newest = self.newest_membership()
        return newest is not None and self._node.identity in newest.all_voters()

    def is_searching(self, now: int) -> bool:
        """Whether to search all known addresses: without a membership at once, otherwise after `SEARCH_DELAY_NS`."""
        if self._last_current_at is None:
            knows_members = self._node.membership is not None
            return not knows_members or now - self._started_at >= SEARCH_DELAY_NS
        return now - self._last_current_at >= SEARCH_DELAY_NS

    def addresses_to_dial(self, now: int) -> list[str]:
        """Return the control addresses of the members to keep sessions with."""
        newest = self.newest_membership()
        voters = [*self._replica.voters(), *(newest.all_voters() if newest else ())]
        addresses = dict.fromkeys(map(address_of, voters))
        if self.is_searching(now):
            addresses.update(dict.fromkeys(self._directory.known_addresses(now)))
        addresses.pop(self._address, None)
        return list(addresses)

    # Requests of other members.

    def handle_membership_request(self, now: int, sender: str, request: MembershipRequest) -> None:
        """Record that a member asks to become or stay a voter.

        If this member does not lead, it replies with the voters and the leader, so that the sender asks the leader.
        """
        self._directory.handle_membership_request(now, sender, request)
        if not self._node.leads(now):
            self.handle_membership_query(now, sender)

    def handle_membership_query(self, now: int, sender: str) -> None:
        """Send a member the voters, the leader and the standbys that this member knows."""
        membership = self.committed_membership()
        if membership is None:
            return
        leader = self._node.leader or self._directory.leader
        self._replica.send(sender, MembershipUpdate(membership, leader, self.standbys(now)))

    def standbys(self, now: int) -> tuple[str, ...]:
        """Return the running members that are not voters."""
        membership = self.committed_membership()
        voters = membership.all_voters() if membership else ()
        return tuple(identity for identity in self._directory.running(now) if identity not in voters)

    # Requests of this member.

    def tick(self, now: int) -> None:
        """Search for other members and send a membership request to the leader, if due."""
        if self._node.current(now):
            self._last_current_at = now
        if now < self._next_request_at:
            return
        searching = self.is_searching(now)
        steady_voter = self.is_voter() and not searching and not self.stopping
        self._next_request_at = now + (VOTER_REQUEST_INTERVAL_NS if steady_voter else REQUEST_INTERVAL_NS)
        if searching:
            for address in self.addresses_to_dial(now):
                self._replica.emit(SendToAddress(address, MembershipQuery()))
        self._request_membership(searching)

    def _request_membership(self, searching: bool) -> None:
        """Ask to become or stay a voter, or, when stopping, to be replaced."""
        profile, node = self._profile, self._node
        request = MembershipRequest(node.term, node.epoch, profile.zone, profile.eligible, self.stopping)
        for identity in self._likely_leaders(searching):
            self._replica.send(identity, request)
            if self.stopping:  # which standbys run decides how long this member waits
                self._replica.send(identity, MembershipQuery())

    def _likely_leaders(self, searching: bool) -> list[str]:
        """Return the known leader; without one, or while searching, the leader last reported and all voters."""
        if self._node.leader and not searching:
            identities = [self._node.leader]
        else:
            newest = self.newest_membership()
            identities = [self._directory.leader, *(newest.all_voters() if newest else ())]
        return [identity for identity in dict.fromkeys(identities) if identity not in ("", self._node.identity)]

    # Shutdown.

    def begin_stop(self, now: int) -> None:
        """Transfer leadership and ask to be replaced as a voter. The member keeps serving until `may_stop`."""
        if self.stopping:
            return
        self._stop_requested_at = self._next_request_at = now
        self._node.stop_campaigning()
        self._replica.transfer_leadership(now)

    def may_stop(self, now: int) -> bool:
        """Whether this member may exit, as waiting longer would make no data safer.

        True if it is not a voter any more, if its grace period is over, or if its log is committed and no standby
        could replace it.
        """
        if self._stop_requested_at is None:
            return False
        if not self.is_voter() or now >= self._stop_requested_at + self._profile.stop_grace_ns - STOP_MARGIN_NS:
            return True
        if now < self._stop_requested_at + STANDBY_REPLY_WAIT_NS or self._directory.has_other_standbys(now):
            return False
        return self._node.commit_index == self._node.log.last_index and self._node.current(now)


def newer(first: Membership | None, second: Membership | None) -> Membership | None:
    """Return the membership with the higher epoch, or `first` if the epochs are equal."""
    if first is None or second is None:
        return first or second
    return second if second.epoch > first.epoch else first
