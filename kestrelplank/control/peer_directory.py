"""The other control members that this one knows of, and the addresses to search for more. No I/O.

Nothing here is durable or agreed by consensus: it only decides which members to dial and query, and which ask to become
voters. The log alone decides who is a voter.
"""

from dataclasses import dataclass

from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.member_messages import MembershipRequest, MembershipUpdate
from kestrelplank.consensus.membership import Membership
from kestrelplank.time_units import SECOND

RUNNING_TIMEOUT_NS = 3 * SECOND
"""A member heard within this time is reported to others as running."""
ADDRESS_RETENTION_NS = 60 * SECOND
"""How long an address is used in searches after it was last reported."""
STANDBY_RETENTION_NS = SECOND
"""How long a member counts as a standby after another member reported it as one."""


@dataclass(frozen=True, slots=True)
class RequestingMember:
    """A member that asks to be a voter, with its latest request and the time when it arrived."""

    identity: str
    request: MembershipRequest
    heard_at: int


class PeerDirectory:
    """The members known to this one.

    :param address: this member's own control address.
    :param seeds: control addresses listed in the platform settings.
    """

    def __init__(self, address: str, seeds: tuple[str, ...]) -> None:
        self._address = address
        self._seeds = seeds
        self._heard_at: dict[str, int] = {}  # by identity: when its last message arrived
        self._requests: dict[str, RequestingMember] = {}  # by identity
        self._address_reported_at: dict[str, int] = {}  # by address: when another member last reported it
        self._standby_reported_at: dict[str, int] = {}  # by identity: when another member last reported it as a standby
        self._newest_membership: Membership | None = None
        self._leader = ""

    @property
    def newest_membership(self) -> Membership | None:
        """The newest committed membership received from another member; None before the first."""
        return self._newest_membership

    @property
    def leader(self) -> str:
        """The identity of the leader as reported by another member; "" if none has reported one."""
        return self._leader

    def handle_contact(self, now: int, identity: str) -> None:
        """Record a message from a member, and remove former incarnations at its address, which no longer run."""
        if identity not in self._heard_at:
            self._forget_former_incarnations(address_of(identity))
        self._heard_at[identity] = now

    def handle_membership_request(self, now: int, identity: str, request: MembershipRequest) -> None:
        """Record that a member asks to become or stay a voter."""
        self._requests[identity] = RequestingMember(identity, request, now)

    def handle_membership_update(self, now: int, update: MembershipUpdate) -> None:
        """Merge the voters, leader and standbys reported by another member."""
        if self._newest_membership is None or update.membership.epoch >= self._newest_membership.epoch:
            self._newest_membership = update.membership
            self._leader = update.leader or self._leader
        for identity in (*update.membership.all_voters(), *update.standbys):
            self._address_reported_at[address_of(identity)] = now
        for identity in update.standbys:
            self._standby_reported_at[identity] = now

    def requesting(self, now: int) -> list[RequestingMember]:
        """Return the members that recently asked to be voters, in the order of their first requests."""
        for identity, member in list(self._requests.items()):
            if now - member.heard_at >= RUNNING_TIMEOUT_NS:
                del self._requests[identity]
        return list(self._requests.values())

    def running(self, now: int) -> tuple[str, ...]:
        """Return the identities of members whose messages arrived recently."""
        forget_older(self._heard_at, now - ADDRESS_RETENTION_NS)
        return tuple(identity for identity, at in self._heard_at.items() if now - at < RUNNING_TIMEOUT_NS)

    def has_other_standbys(self, now: int) -> bool:
        """Whether others recently reported a running standby other than this member."""
        forget_older(self._standby_reported_at, now - STANDBY_RETENTION_NS)
        return any(address_of(identity) != self._address for identity in self._standby_reported_at)

    def known_addresses(self, now: int) -> list[str]:
        """Return the addresses to search: the seeds and all known members, without this member's own address."""
        forget_older(self._address_reported_at, now - ADDRESS_RETENTION_NS)
        voters = self._newest_membership.all_voters() if self._newest_membership else ()
        addresses = [
            *self._seeds,
            *map(address_of, voters),
            *self._address_reported_at,
            *map(address_of, self._heard_at),
        ]
        return [address for address in dict.fromkeys(addresses) if address != self._address]

    def _forget_former_incarnations(self, address: str) -> None:
        for identity in [identity for identity in self._heard_at if address_of(identity) == address]:
            del self._heard_at[identity]
            self._requests.pop(identity, None)


def forget_older(last_at: dict[str, int], limit: int) -> None:
    """Remove the names whose time is `limit` or earlier."""
    for name in [name for name, at in last_at.items() if at <= limit]:
        del last_at[name]
