"""An op from the point of view of its client."""

from dataclasses import dataclass


@dataclass(slots=True)
class ClientOp:
    """One op, across all attempts of its client.

    :param work: at a node that does not have its key cached, in ns of one core at speed 1.
    :param requested_at: when the client first requested it.
    """

    op_type: int
    slice: int
    key: int
    work: float
    requested_at: int
    attempts: int = 0
