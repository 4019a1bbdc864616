"""Orders that an assigner sends to change a proxy's tables."""

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
    """Withdraw a node from all of the assigner's tables, or make it available again."""

    node: int
    withdrawn: bool


class SetAdmission(msgspec.Struct, frozen=True):
    """Set the share of ops to admit, and the retry mode.

    :param table: one table, or `kestrelplank.interface.ALL_TABLES` for all tables that the assigner owns.
    :param op_types: bit mask of op types; 0 for all.
    """

    table: int
    op_types: int
    share: float
    retry_mode: int


class RequestAcknowledgement(msgspec.Struct, frozen=True):
    """Ask the proxy to acknowledge that it has applied everything up to a watermark."""

    watermark: int


TableOrder = SetEndpoint | ClearTable | SetWithdrawn | SetAdmission | RequestAcknowledgement
