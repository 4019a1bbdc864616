"""Errors of the consensus core: a call or message contradicts the replicated log. None is expected in operation."""


class ConsensusError(ValueError):
    """Base class of this package's errors."""


class EntryGapError(ConsensusError):
    """The index of an appended entry is not the last index of the log + 1."""


class CommittedEntryError(ConsensusError):
    """An entry from the leader differs from the local entry at that index, which is committed."""


class NotJointError(ConsensusError):
    """A membership change was to be completed, but the membership is not joint."""
