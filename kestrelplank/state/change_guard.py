"""Whether one set of nodes may follow another.

Decided from the two sets, what their writer confirms, and for how long the new content has stayed the same. Each limit
is the operator's, with the default that `settings/operator.py` documents.
"""

from enum import StrEnum
from typing import NamedTuple

from kestrelplank.state.node_set import SHORT_HASH_DIGITS, Difference, NodeSet, difference

NS_PER_S = 1e9  # the program in service has no module for units of time


class Decision(StrEnum):
    """What becomes of a set; the values are in log lines and in the output of commands."""

    ACCEPTED = "accepted"
    WAITING = "waiting"
    REFUSED = "refused"


class ChangeLimits(NamedTuple):
    """What a set may change without a second word.

    :param max_closed_fraction: of the ready nodes, that one set may take away or drain.
    :param confirmation_period_ns: content that stays the same for so long counts as confirmed; 0: time confirms
        nothing.
    :param zone_may_empty: whether a zone may be left without a ready node, which then counts as any other removal.
    """

    max_closed_fraction: float
    confirmation_period_ns: int
    zone_may_empty: bool


class Verdict(NamedTuple):
    """What becomes of a set, and why.

    :param remaining_ns: for one that waits, until time confirms it; None: time will not.
    """

    decision: Decision
    reason: str
    remaining_ns: int | None = None


def evaluate_change(
    in_force: NodeSet | None, new: NodeSet, confirmed_hashes: tuple[str, ...], unchanged_ns: int, limits: ChangeLimits
) -> Verdict:
    """Decide whether `new` may take the place of the set in force.

    Guards against half a list, a list emptied by mistake, and a zone or the whole fleet closed by one edit. Harm: a
    large release is held up until it is confirmed, which its refusal says how to do.

    :param in_force: None where there is none yet.
    :param unchanged_ns: for which the new content has been the same.
    """
    if not new.ready_nodes():
        return Verdict(Decision.REFUSED, "it lists no node that is ready" if len(new) else "it lists no node")
    if in_force is None:
        return Verdict(Decision.ACCEPTED, "there was none")
    emptied = [zone for zone, ready in in_force.zones.items() if ready and not new.zones.get(zone)]
    if emptied and not limits.zone_may_empty:
        more = f", and {len(emptied) - 1} more" if len(emptied) > 1 else ""
        return Verdict(Decision.REFUSED, f"zone {emptied[0]} would be left without a ready node{more}")
    found = difference(in_force, new)
    closed, ready = len(closed_nodes(in_force, found)), len(in_force.ready_nodes())
    if closed <= limits.max_closed_fraction * ready:
        return Verdict(Decision.ACCEPTED, str(found))
    if any(len(given) >= SHORT_HASH_DIGITS and in_force.hash.startswith(given) for given in confirmed_hashes):
        return Verdict(Decision.ACCEPTED, f"{found}; confirmed")
    if limits.confirmation_period_ns and unchanged_ns >= limits.confirmation_period_ns:
        return Verdict(Decision.ACCEPTED, f"{found}; it has stood for {unchanged_ns / NS_PER_S:g} s")
    reason = f"it would close {closed} of {ready} ready nodes, over {limits.max_closed_fraction:.0%}"
    return _waiting(in_force, reason, unchanged_ns, limits)


def _waiting(in_force: NodeSet, reason: str, unchanged_ns: int, limits: ChangeLimits) -> Verdict:
    """Return the verdict on a set that needs a second word, and how to give it."""
    period_ns = limits.confirmation_period_ns
    reason = f"{reason}; to confirm, put `confirm = {in_force.short_hash}` into [list]"
    if not period_ns:
        return Verdict(Decision.WAITING, reason)
    reason = f"{reason}, or let it stand for {period_ns / NS_PER_S:g} s"
    return Verdict(Decision.WAITING, reason, period_ns - unchanged_ns)


def closed_nodes(in_force: NodeSet, found: Difference) -> list[str]:
    """Return the ready nodes of the set in force that the difference takes away or closes."""
    return [name for name in found.gone if in_force.nodes[name].ready] + list(found.closed)
