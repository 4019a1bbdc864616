"""Decides whether a new node set may replace the one in force.

The decision depends on both sets, on the confirmations in the files and on how long the new content has been unchanged.
The operator sets the limits; `settings/operator.py` documents their defaults.
"""

from enum import StrEnum
from typing import NamedTuple

from kestrelplank.state.node_set import SHORT_HASH_DIGITS, Difference, NodeSet, difference

NS_PER_S = 1e9


class Decision(StrEnum):
    """The decision on a node set; the values appear in log lines and in the output of commands."""

    ACCEPTED = "accepted"
    WAITING = "waiting"
    REFUSED = "refused"


class ChangeLimits(NamedTuple):
    """Limits on what a new set may change without confirmation.

    :param max_closed_fraction: the largest fraction of the ready nodes that one set may remove or drain.
    :param confirmation_period_ns: content that is unchanged for this long counts as confirmed; 0 disables this.
    :param zone_may_empty: whether a zone may be left without a ready node; if so, it counts as any other removal.
    """

    max_closed_fraction: float
    confirmation_period_ns: int
    zone_may_empty: bool


class Verdict(NamedTuple):
    """A decision and its reason.

    :param remaining_ns: for a waiting set, the time until it counts as confirmed; None if it needs a confirmation.
    """

    decision: Decision
    reason: str
    remaining_ns: int | None = None


def evaluate_change(
    in_force: NodeSet | None, new: NodeSet, confirmed_hashes: tuple[str, ...], unchanged_ns: int, limits: ChangeLimits
) -> Verdict:
    """Decide whether `new` may replace the set in force.

    Guards against a truncated or accidentally emptied list, and against one edit that closes a zone or all nodes. A
    large intended change is delayed until it is confirmed; the reason says how to confirm it.

    :param in_force: None before the first set.
    :param unchanged_ns: how long the new content has been unchanged.
    """
    if not new.ready_nodes():
        return Verdict(Decision.REFUSED, "it lists no node that is ready" if len(new) else "it lists no node")
    if in_force is None:
        return Verdict(Decision.ACCEPTED, "no set was in force")
    emptied = [zone for zone, ready in in_force.zones.items() if ready and not new.zones.get(zone)]
    if emptied and not limits.zone_may_empty:
        more = f", and {len(emptied) - 1} more" if len(emptied) > 1 else ""
        return Verdict(Decision.REFUSED, f"zone {emptied[0]} would be left without a ready node{more}")
    changes = difference(in_force, new)
    closed, ready = len(closed_nodes(in_force, changes)), len(in_force.ready_nodes())
    if closed <= limits.max_closed_fraction * ready:
        return Verdict(Decision.ACCEPTED, str(changes))
    if any(len(given) >= SHORT_HASH_DIGITS and in_force.hash.startswith(given) for given in confirmed_hashes):
        return Verdict(Decision.ACCEPTED, f"{changes}; confirmed")
    if limits.confirmation_period_ns and unchanged_ns >= limits.confirmation_period_ns:
        return Verdict(Decision.ACCEPTED, f"{changes}; unchanged for {unchanged_ns / NS_PER_S:g} s")
    reason = f"it would close {closed} of {ready} ready nodes, over {limits.max_closed_fraction:.0%}"
    return _waiting(in_force, reason, unchanged_ns, limits)


def _waiting(in_force: NodeSet, reason: str, unchanged_ns: int, limits: ChangeLimits) -> Verdict:
    """Return the verdict on a set that needs a confirmation; its reason says how to confirm."""
    period_ns = limits.confirmation_period_ns
    reason = f"{reason}; to confirm, put `confirm = {in_force.short_hash}` into [list]"
    if not period_ns:
        return Verdict(Decision.WAITING, reason)
    reason = f"{reason}, or let it stand for {period_ns / NS_PER_S:g} s"
    return Verdict(Decision.WAITING, reason, period_ns - unchanged_ns)


def closed_nodes(in_force: NodeSet, changes: Difference) -> list[str]:
    """Return the ready nodes of the set in force that the changes remove or close."""
    return [name for name in changes.gone if in_force.nodes[name].ready] + list(changes.closed)
