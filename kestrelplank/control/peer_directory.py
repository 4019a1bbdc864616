"""Which other control members there are as far as this one knows, and where to look for more. No I/O.

Nothing here is durable or agreed: it says whom to dial and to ask, and who asks to become a voter. Who is a voter is
decided in the log.
"""

from dataclasses import dataclass

from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.member_messages import MembershipRequest, MembershipUpdate
from kestrelplank.consensus.membership import Membership
from kestrelplank.time_units import SECOND

RUNNING_TIMEOUT_NS = 3 * SECOND
"""A member that was heard within this time is named to others as running."""
ADDRESS_RETENTION_NS = 60 * SECOND
"""For so long an address is tried in a search after it was last heard of."""
STANDBY_RETENTION_NS = SECOND
"""For so long a member counts as a standby after another member named it as one."""


@dataclass(frozen=True, slots=True)
class RequestingMember:
    """A member that asks to be a voter: its last request, and when that came."""

    identity: str
    request: MembershipRequest
    heard_at: int


class PeerDirectory:
    """The members that this one has heard of.

    :param address: our own control address.
    :param seeds: control addresses that the platform named.
    """

    def __init__(self, address: str, seeds: tuple[str, ...]) -> None:
        self._address = address
        self._seeds = seeds
        self._heard_at: dict[str, int] = {}  # by identity: when it last spoke to us
        self._requests: dict[str, RequestingMember] = {}  # by identity
        self._address_named_at: dict[str, int] = {}  # by address: when another member last named it
        self._standby_named_at: dict[str, int] = {}  # by identity: when another member last named it as no voter
        self._newest_membership: Membership | None = None
        self._leader = ""

    @property
    def newest_membership(self) -> Membership | None:
        """The newest committed membership that another member sent us; None before any has."""
        return self._newest_membership

    @property
    def leader(self) -> str:
        """The identity of the leader as another member sent it; "" where none has."""
        return self._leader

    def handle_contact(self, now: int, identity: str) -> None:
        """Note that a member speaks to us, and forget former incarnations at its address: they run no more."""
        if identity not in self._heard_at:
            self._forget_former_incarnations(address_of(identity))
        self._heard_at[identity] = now

    def handle_membership_request(self, now: int, identity: str, request: MembershipRequest) -> None:
        """Note that a member runs, and asks to be or to stay a voter."""
        self._requests[identity] = RequestingMember(identity, request, now)

    def handle_membership_update(self, now: int, update: MembershipUpdate) -> None:
        """Take who the voters are, who leads and who else runs, as another member says."""
        if self._newest_membership is None or update.membership.epoch >= self._newest_membership.epoch:
            self._newest_membership = update.membership
            self._leader = update.leader or self._leader
        for identity in (*update.membership.all_voters(), *update.standbys):
            self._address_named_at[address_of(identity)] = now
        for identity in update.standbys:
            self._standby_named_at[identity] = now

    def requesting(self, now: int) -> list[RequestingMember]:
        """Return the members that lately asked to be voters, in the order in which they did first."""
        for identity, member in list(self._requests.items()):
            if now - member.heard_at >= RUNNING_TIMEOUT_NS:
                del self._requests[identity]
        return list(self._requests.values())

    def running(self, now: int) -> tuple[str, ...]:
        """Return the identities of members that have spoken to us lately."""
        forget_older(self._heard_at, now - ADDRESS_RETENTION_NS)
        return tuple(identity for identity, at in self._heard_at.items() if now - at < RUNNING_TIMEOUT_NS)

    def other_standbys_run(self, now: int) -> bool:
        """Whether another member runs that is no voter and might become one, as others said lately."""
        forget_older(self._standby_named_at, now - STANDBY_RETENTION_NS)
        return any(address_of(identity) != self._address for identity in self._standby_named_at)

    def known_addresses(self, now: int) -> list[str]:
        """Return the addresses at which others may be found: the seeds, and all that were heard of; not our own."""
        forget_older(self._address_named_at, now - ADDRESS_RETENTION_NS)
        voters = self._newest_membership.all_voters() if self._newest_membership else ()
        addresses = [
            *self._seeds,
            *map(address_of, voters),
            *self._address_named_at,
            *map(address_of, self._heard_at),
        ]
        return [address for address in dict.fromkeys(addresses) if address != self._address]

    def _forget_former_incarnations(self, address: str) -> None:
        for identity in [identity for identity in self._heard_at if address_of(identity) == address]:
            del self._heard_at[identity]
            self._requests.pop(identity, None)


def forget_older(last_at: dict[str, int], limit: int) -> None:
    """Remove what was last seen at the instant `limit` or before."""
    for name in [name for name, at in last_at.items() if at <= limit]:
        del last_at[name]
