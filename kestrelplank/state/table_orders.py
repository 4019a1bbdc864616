"""What an assigner may order of a proxy's tables."""

import msgspec


class SetEndpoint(msgspec.Struct, frozen=True):
    """Set a node's weight in a table; weight 0 removes the node."""

    table: int
    node: int
    weight: float


class ClearTable(msgspec.Struct, frozen=True):
    """Remove all nodes, admission shares and the retry mode of a table."""

    table: int


class SetWithdrawn(msgspec.Struct, frozen=True):
    """Keep the proxy from a node whatever its tables say, or let it send there again."""

    node: int
    withdrawn: bool


class SetAdmission(msgspec.Struct, frozen=True):
    """Set the share of ops to let in, and the retry mode.

    :param table: one table, or `kestrelplank.interface.ALL_TABLES` for all that the assigner owns.
    :param op_types: a bit mask; 0 for all.
    """

    table: int
    op_types: int
    share: float
    retry_mode: int


class RequestAcknowledgement(msgspec.Struct, frozen=True):
    """Ask the proxy to acknowledge that it has applied everything up to a watermark."""

    watermark: int


TableOrder = SetEndpoint | ClearTable | SetWithdrawn | SetAdmission | RequestAcknowledgement
