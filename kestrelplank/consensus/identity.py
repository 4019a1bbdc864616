"""Identities of control members.

A member's identity is its control address and an incarnation, as in `10.0.0.1:8544/5f2c09d1`. The incarnation is drawn
when a member finds its disk empty and is kept on that disk. So a machine that lost its disk comes back as another
member, and votes and acknowledgements of the former one can't be mistaken for its own. At the very first start members
must name each other before any message was exchanged; theirs is the fixed incarnation `FIRST_INCARNATION`.
"""

FIRST_INCARNATION = "first"


def identity_of(address: str, incarnation: str) -> str:
    """Return the identity of the member at `address` whose disk keeps `incarnation`."""
    return f"{address}/{incarnation}"


def address_of(identity: str) -> str:
    """Return the control address in a member's identity."""
    return identity.partition("/")[0]
