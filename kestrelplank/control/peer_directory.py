"""Which control members there are besides the voters, as far as this one knows, and where to look for others. No I/O.

Nothing here is durable or agreed: it says whom to dial and ask, and who asks to become a voter. Who counts is the log's
affair.
"""

from dataclasses import dataclass

from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.member_messages import MembershipRequest, MembershipUpdate
from kestrelplank.consensus.membership import Membership

S = 1_000_000_000
RUNNING = 3 * S  # a member that was heard within this time is told to others as running
REMEMBERED = 60 * S  # so long an address that was heard of is asked, when the others have to be looked for


@dataclass(frozen=True, slots=True)
class Standby:
    """A member that asked for membership: its last request, and when it came."""

    identity: str
    request: MembershipRequest
    heard_at: int


class PeerDirectory:
    """`address`: our own; `seeds`: control addresses that the platform named."""

    def __init__(self, address: str, seeds: tuple[str, ...]) -> None:
        self._address = address
        self._seeds = seeds
        self._heard: dict[str, int] = {}  # by identity: when it last spoke to us
        self._told_of: dict[str, int] = {}  # by address: when we last heard of it from others
        self._standbys: dict[str, Standby] = {}
        self._others: dict[str, int] = {}  # by identity: when we last heard of it as a member that is no voter
        self.news: Membership | None = None  # the newest membership that others told
        self.leader = ""  # who leads by that

    def heard(self, now: int, identity: str) -> None:
        """That member speaks to us. Of two incarnations at an address the one that speaks is the one that runs."""
        address = address_of(identity)
        if identity not in self._heard:
            for other in [other for other in self._heard if address_of(other) == address]:
                del self._heard[other]
                self._standbys.pop(other, None)
        self._heard[identity] = now

    def requested(self, now: int, identity: str, request: MembershipRequest) -> None:
        self._standbys[identity] = Standby(identity, request, now)

    def told(self, now: int, news: MembershipUpdate) -> None:
        """Another member says who counts and who else runs."""
        if self.news is None or news.membership.epoch >= self.news.epoch:
            self.news = news.membership
            self.leader = news.leader or self.leader
        for identity in (*news.membership.all_voters(), *news.standbys):
            self._told_of[address_of(identity)] = now
        for identity in news.standbys:
            self._others[identity] = now

    def standbys(self, now: int) -> list[Standby]:
        """Members that asked for membership lately, in the order in which they did first."""
        for identity in [name for name, one in self._standbys.items() if now - one.heard_at >= RUNNING]:
            del self._standbys[identity]
        return list(self._standbys.values())

    def running(self, now: int) -> tuple[str, ...]:
        """Identities of members that have spoken to us lately."""
        for identity in [name for name, at in self._heard.items() if now - at >= REMEMBERED]:
            del self._heard[identity]
        return tuple(identity for identity, at in self._heard.items() if now - at < RUNNING)

    def others_run(self, now: int) -> bool:
        """Whether members run that are no voters, as others told lately, and that might become some."""
        for identity in [name for name, at in self._others.items() if now - at >= S]:
            del self._others[identity]
        return any(address_of(identity) != self._address for identity in self._others)

    def places(self, now: int) -> list[str]:
        """Addresses at which the others may be found, ours left out: seeds, and all that were heard of."""
        for address in [name for name, at in self._told_of.items() if now - at >= REMEMBERED]:
            del self._told_of[address]
        voters = self.news.all_voters() if self.news else ()
        found = [*self._seeds, *map(address_of, voters), *self._told_of, *map(address_of, self._heard)]
        return [address for address in dict.fromkeys(found) if address != self._address]
