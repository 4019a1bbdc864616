"""Targets of a fault: parses the field `who` of a script."""

import re
from typing import Literal, cast

from msgspec import Struct

from kestrelplank.emulator.script_sections import Site

SELECTOR_PATTERN = re.compile(r"(zone|node|relay|conductor)s?(?: (?:of )?(\S+))?")
FULL_PERCENT = 100
SHARE_PATTERN = re.compile(r"(\d+(?:\.\d+)?)%")

TargetKind = Literal["node", "relay", "conductor"]  # names in scripts of nodes, proxies and assigners


class FaultSelector(Struct, frozen=True):
    """Targets of one kind: all, those in a zone, the one with a number, or a random share of them."""

    kind: TargetKind
    zone: int | None = None
    number: int | None = None
    share: float = 1.0

    def matches(self, number: int, zones: int) -> bool:
        """Whether the target with that number matches, at a site with that many zones."""
        return self.zone in (None, number % zones) and self.number in (None, number)


def parse_selector(text: str, site: Site) -> FaultSelector:
    """Parse `zone Z` (its nodes), or `nodes`, `relays` or `conductors` followed by `of Z`, a share or a number.

    :raises ValueError: the text names no target of the site; the message says what was expected.
    """
    match = SELECTOR_PATTERN.fullmatch(text)
    if not match:
        raise ValueError(f"expected zone, nodes, relays or conductors, got {text!r}")
    word, which = match.groups()
    names_zone = word == "zone"
    kind = cast(TargetKind, "node" if names_zone else word)
    if which is None:
        if names_zone:
            raise ValueError(f"expected the name of a zone after {text!r}")
        return FaultSelector(kind)
    if which in site.zones:
        return FaultSelector(kind, zone=site.zones.index(which))
    selector = None if names_zone else _by_share_or_number(kind, which, site)
    if selector is None:
        raise ValueError(f"there is no zone {which!r}; the site's zones are {', '.join(site.zones)}")
    return selector


def _by_share_or_number(kind: TargetKind, which: str, site: Site) -> FaultSelector | None:
    share = SHARE_PATTERN.fullmatch(which)
    if share and 0 < float(share[1]) <= FULL_PERCENT:
        return FaultSelector(kind, share=float(share[1]) / FULL_PERCENT)
    if not (which.isascii() and which.isdigit()):
        return None
    count = {"node": site.nodes, "relay": site.relays, "conductor": site.conductors}[kind]
    if int(which) >= count:
        raise ValueError(f"there is no {kind} {which}: the site has {count}, numbered from 0")
    return FaultSelector(kind, number=int(which))
