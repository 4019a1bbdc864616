"""Majorities of a membership. While a change is under way a majority of both its sides is needed."""

from collections.abc import Callable, Iterable

from kestrelplank.consensus.membership import Membership


def majority(count: int) -> int:
    """The least number of `count` members that meets every other such number."""
    return count // 2 + 1


def has_majority(voters: tuple[str, ...], yes: Iterable[str]) -> bool:
    """Whether more than half of `voters` are among `yes`."""
    agreed = frozenset(yes)
    return sum(voter in agreed for voter in voters) >= majority(len(voters))


def is_quorum(membership: Membership, yes: Iterable[str]) -> bool:
    """Whether `yes` may decide for this membership."""
    agreed = frozenset(yes)
    if not has_majority(membership.voters, agreed):
        return False
    return not membership.joint or has_majority(membership.outgoing, agreed)


def reached_by_quorum(membership: Membership, value: Callable[[str], int]) -> int:
    """The highest number that a quorum has reached, where `value` tells what each member has reached."""
    reached = _reached_by_majority(membership.voters, value)
    if membership.joint:
        reached = min(reached, _reached_by_majority(membership.outgoing, value))
    return reached


def _reached_by_majority(voters: tuple[str, ...], value: Callable[[str], int]) -> int:
    ordered = sorted((value(voter) for voter in voters), reverse=True)
    return ordered[majority(len(voters)) - 1]
