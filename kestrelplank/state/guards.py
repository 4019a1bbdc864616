"""May this set of nodes follow that one? Decided from the two sets, what their writer confirms, and how long the new
content has stood. Each term is the operator's, with the default that `settings/operator.py` documents."""

from typing import NamedTuple

from kestrelplank.state.nodeset import SHORT, Difference, NodeSet, difference

ACCEPTED, WAITING, REFUSED = "accepted", "waiting", "refused"


class Terms(NamedTuple):
    """`most_closed`: the share of the ready nodes that one set may take away or drain without a second word. `stand`:
    for so long (ns) the same content must stand to count as confirmed; 0: standing confirms nothing. `zone_may_empty`:
    whether a zone may be left without a ready node, which then counts as any other removal."""

    most_closed: float
    stand: int
    zone_may_empty: bool


class Verdict(NamedTuple):
    """How it is, why, and for one that waits, for how long yet (ns; None: standing will not help)."""

    how: str
    why: str
    left: int | None = None


def judge(force: NodeSet | None, new: NodeSet, confirms: tuple[str, ...], stood: int, terms: Terms) -> Verdict:
    """Whether `new` may take the place of `force`, the set in force (None: there is none yet).

    Guards against half a list, a list emptied by mistake, and a zone or the whole fleet closed by one edit. Harm: a
    large release is held up until it is confirmed, which its refusal says how to do."""
    if not new.ready():
        return Verdict(REFUSED, "it lists no node that is ready" if len(new) else "it lists no node")
    if force is None:
        return Verdict(ACCEPTED, "there was none")
    bare = [zone for zone, ready in force.zones.items() if ready and not new.zones.get(zone)]
    if bare and not terms.zone_may_empty:
        return Verdict(
            REFUSED,
            f"zone {bare[0]} would be left without a ready node"
            + (f", and {len(bare) - 1} more" if len(bare) > 1 else ""),
        )
    found = difference(force, new)
    closed, ready = len(closing(force, found)), len(force.ready())
    if closed <= terms.most_closed * ready:
        return Verdict(ACCEPTED, str(found))
    if any(len(word) >= SHORT and force.hash.startswith(word) for word in confirms):
        return Verdict(ACCEPTED, f"{found}; confirmed")
    why = f"it would close {closed} of {ready} ready nodes, over {terms.most_closed:.0%}"
    if terms.stand and stood >= terms.stand:
        return Verdict(ACCEPTED, f"{found}; it has stood for {stood / 1e9:g} s")
    how = f"to confirm, put `confirm = {force.short}` into [list]"
    if terms.stand:
        return Verdict(WAITING, f"{why}; {how}, or let it stand for {terms.stand / 1e9:g} s", terms.stand - stood)
    return Verdict(WAITING, f"{why}; {how}")


def closing(force: NodeSet, found: Difference) -> list[str]:
    """The ready nodes of the set in force that the difference takes away or closes."""
    return [name for name in found.gone if force.nodes[name].ready] + list(found.closed)
