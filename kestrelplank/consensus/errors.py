"""Errors of the consensus core: calls and messages that contradict what is agreed. None is expected in operation."""


class ConsensusError(ValueError):
    """What came in contradicts what is agreed."""


class EntryGapError(ConsensusError):
    """An entry does not follow the last one of the log."""


class CommittedEntryError(ConsensusError):
    """An entry differs from one that is committed here."""


class NotJointError(ConsensusError):
    """A change of membership is to be finished that is not under way."""
