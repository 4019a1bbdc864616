"""The membership: which members vote in an epoch."""

import msgspec

from kestrelplank.consensus.errors import NotJointError


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The voters of one epoch.

    While `outgoing` is not empty, the change from `outgoing` to `voters` is in progress, and the membership is joint: a
    majority of each side is needed (D. Ongaro and J. Ousterhout, 2014, section 6).

    :param epoch: increases by one with each change.
    :param voters: identities of the voters; if joint, of those that vote alone once the change is complete.
    :param outgoing: identities of the voters before the change; empty if no change is in progress.
    :param zones: failure domains by identity, for members whose domain is known.
    """

    epoch: int
    voters: tuple[str, ...]
    outgoing: tuple[str, ...] = ()
    zones: dict[str, str] = {}

    @property
    def joint(self) -> bool:
        """Whether a change is in progress, so that majorities of both sides are needed."""
        return bool(self.outgoing)

    def without_outgoing(self) -> "Membership":
        """Return the membership that completes this change: only the new voters and their zones.

        :raises NotJointError: no change is in progress.
        """
        if not self.joint:
            raise NotJointError(f"membership of epoch {self.epoch} is not joint, so no change can be completed")
        zones = {voter: self.zones[voter] for voter in self.voters if voter in self.zones}
        return Membership(self.epoch + 1, self.voters, (), zones)

    def all_voters(self) -> tuple[str, ...]:
        """Return all voters, on both sides of a change, in order and without duplicates."""
        return tuple(dict.fromkeys((*self.voters, *self.outgoing)))
