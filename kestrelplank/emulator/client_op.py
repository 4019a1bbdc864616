"""An op as its client sees it."""

from dataclasses import dataclass


@dataclass(slots=True)
class ClientOp:
    """One op over all the client's attempts.

    :param work: what it is to a node that does not know its key, in ns of one core at speed 1.
    :param requested_at: when the client first asked for it.
    """

    op_type: int
    slice: int
    key: int
    work: float
    requested_at: int
    attempts: int = 0
