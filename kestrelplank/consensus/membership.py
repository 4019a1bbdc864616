"""A membership: which members vote, numbered by epochs."""

import msgspec


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The voters of one epoch.

    While `outgoing` is not empty the change from `outgoing` to `voters` is under way, and the membership is joint: a
    majority of each side is needed (D. Ongaro and J. Ousterhout, 2014, section 6).

    :param epoch: grows by one with each change.
    :param voters: identities of the members that vote, or that will vote alone once the change is over.
    :param outgoing: identities of the voters before the change; empty while no change is under way.
    :param zones: failure domain of each member, as far as known, by identity.
    """

    epoch: int
    voters: tuple[str, ...]
    outgoing: tuple[str, ...] = ()
    zones: dict[str, str] = {}

    @property
    def joint(self) -> bool:
        """Whether a change is under way, so that majorities of both sides are needed."""
        return bool(self.outgoing)

    def all_voters(self) -> tuple[str, ...]:
        """Return all who vote, on either side of a change, in order and each once."""
        return tuple(dict.fromkeys((*self.voters, *self.outgoing)))
