"""Identities of control members.

A member's identity is its control address and an incarnation, as in `10.0.0.1:8544/5f2c09d1`. The incarnation is drawn
at random when a member finds its disk empty, and is stored on that disk. So a machine that lost its disk returns as a
new member, and votes and acknowledgements of its former identity do not count as its own. At the very first start
members must know each other's identities before any message is exchanged; they use `FIRST_INCARNATION`.
"""

FIRST_INCARNATION = "first"


def identity_of(address: str, incarnation: str) -> str:
    """Return the identity of the member at `address` whose disk stores `incarnation`."""
    return f"{address}/{incarnation}"


def address_of(identity: str) -> str:
    """Return the control address in a member's identity."""
    return identity.partition("/")[0]
