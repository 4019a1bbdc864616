"""Errors of the consensus core: calls and messages that contradict the replicated log. None should come in service."""


class ConsensusError(ValueError):
    """The root of this package's errors: a call or message contradicts the replicated log."""


class EntryGapError(ConsensusError):
    """An entry does not follow the last one of the log."""


class CommittedEntryError(ConsensusError):
    """An entry differs from one that is committed here."""


class NotJointError(ConsensusError):
    """The end of a change of membership was asked for, but the membership is not joint."""
