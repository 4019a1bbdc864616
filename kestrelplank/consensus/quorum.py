"""Majorities and quorums of a membership. A joint membership needs a majority of both its sides.

Source: D. Ongaro and J. Ousterhout, *In Search of an Understandable Consensus Algorithm* (2014), section 6.
"""

from collections.abc import Callable, Iterable

from kestrelplank.consensus.membership import Membership


def majority(count: int) -> int:
    """Return the size of a majority of `count` voters: the smallest for which any two majorities share a voter."""
    return count // 2 + 1


def has_majority(voters: tuple[str, ...], agreeing: Iterable[str]) -> bool:
    """Whether more than half of `voters` are among `agreeing`."""
    agreed = frozenset(agreeing)
    return sum(voter in agreed for voter in voters) >= majority(len(voters))


def is_quorum(membership: Membership, agreeing: Iterable[str]) -> bool:
    """Whether the members `agreeing` are a quorum: a majority of the voters and, if joint, of the outgoing voters."""
    agreed = frozenset(agreeing)
    if not has_majority(membership.voters, agreed):
        return False
    return not membership.joint or has_majority(membership.outgoing, agreed)


def reached_by_quorum(membership: Membership, reached_by: Callable[[str], int]) -> int:
    """Return the highest value (a log index, a time) that every member of some quorum has reached.

    :param reached_by: returns the value that the member with that identity has reached.
    """
    reached = _reached_by_majority(membership.voters, reached_by)
    if membership.joint:
        reached = min(reached, _reached_by_majority(membership.outgoing, reached_by))
    return reached


def _reached_by_majority(voters: tuple[str, ...], reached_by: Callable[[str], int]) -> int:
    # In descending order, a majority has reached the value at this position, and later values are lower.
    descending = sorted((reached_by(voter) for voter in voters), reverse=True)
    return descending[majority(len(voters)) - 1]
