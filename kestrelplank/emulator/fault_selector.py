"""Whom a fault is for, as a script's field `who` says it."""

import re
from typing import Literal, cast

from msgspec import Struct

from kestrelplank.emulator.script_sections import Site

PATTERN = re.compile(r"(zone|node|relay|conductor)s?(?: (?:of )?(\S+))?")
FULL_PERCENT = 100
SHARE = re.compile(r"(\d+(?:\.\d+)?)%")

PartyKind = Literal["node", "relay", "conductor"]  # the users' words for nodes, proxies and assigners


class FaultSelector(Struct, frozen=True):
    """Parties of one kind: all, those of a zone, the one with a number, or a share of them drawn by chance."""

    kind: PartyKind
    zone: int | None = None
    number: int | None = None
    share: float = 1.0

    def matches(self, number: int, zones: int) -> bool:
        """Whether the party with that number, in one of so many zones, may be meant."""
        return self.zone in (None, number % zones) and self.number in (None, number)


def parse_selector(text: str, site: Site) -> FaultSelector:
    """Read `zone Z` (its nodes), or `nodes`, `relays` or `conductors` followed by `of Z`, a share or a number.

    :raises ValueError: saying what is wrong.
    """
    match = PATTERN.fullmatch(text)
    if not match:
        raise ValueError(f"expected zone, nodes, relays or conductors, got {text!r}")
    word, which = match.groups()
    names_zone = word == "zone"
    kind = cast(PartyKind, "node" if names_zone else word)
    if which is None:
        if names_zone:
            raise ValueError(f"{text!r} names no zone")
        return FaultSelector(kind)
    if which in site.zones:
        return FaultSelector(kind, zone=site.zones.index(which))
    selector = None if names_zone else _by_share_or_number(kind, which, site)
    if selector is None:
        raise ValueError(f"no zone is called {which!r}; there are {', '.join(site.zones)}")
    return selector


def _by_share_or_number(kind: PartyKind, which: str, site: Site) -> FaultSelector | None:
    share = SHARE.fullmatch(which)
    if share and 0 < float(share[1]) <= FULL_PERCENT:
        return FaultSelector(kind, share=float(share[1]) / FULL_PERCENT)
    if not (which.isascii() and which.isdigit()):
        return None
    count = {"node": site.nodes, "relay": site.relays, "conductor": site.conductors}[kind]
    if int(which) >= count:
        raise ValueError(f"there is no {kind} {which}: there are {count}, counted from 0")
    return FaultSelector(kind, number=int(which))
