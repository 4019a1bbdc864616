"""The reference relay's file: its place, its op types, and the terms of what it decides."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

from kestrelplank.settings.ini import Count, Flag, Ini, Number, Share, Span, Spans, Words, share
from kestrelplank.sockets.connection import address

MS = 1_000_000
Some = Annotated[Count, Meta(ge=1)]


class Place(Struct, frozen=True, kw_only=True):
    """[relay]"""

    listen: str
    hub: str = ""  # where tables come from; without one it serves from the tables that were kept
    number: Count = 0
    zone: str
    slices: Some
    block_by: str = "path"  # a header's name, or the path: what is hashed into a slice
    seed: Count = 1
    state: str = ""  # a file that keeps the tables; none: nothing is kept
    state_every: Annotated[Span, Meta(ge=10 * MS)] = 1_000 * MS  # it is written no more often
    successor: str = ""  # a Unix socket over which a new process takes the listening socket over
    stop_within: Span = 30_000 * MS  # on SIGTERM, requests in hand may take so long


class Tries(Struct, frozen=True, kw_only=True):
    """[tries]"""

    pick: Literal["random", "rotate", "two", "key"] = "random"
    strikes: Count = 5
    avoid: Spans = (4_000 * MS, 7_000 * MS)
    hold: Span = 500 * MS
    dial: Annotated[Span, Meta(ge=1 * MS)] = 250 * MS
    again: Flag = True  # a second try, with proof that the first never ran
    budget: Share = 0.2  # second tries as a share of first ones, by op type
    budget_saved: Number = 10.0
    limited: Flag = True  # limits on what is out at a node, learned from how long it takes
    first: Some = 20
    least: Some = 2
    most: Some = 1000
    tolerance: Annotated[Number, Meta(ge=1)] = 2.0
    queue: Count = 100  # ops that wait for room at a node
    queue_part: Share = 0.5  # of the target latency that an op may wait so


class Clients(Struct, frozen=True, kw_only=True):
    """[clients]"""

    most: Some = 1000
    each: Some = 100
    head: Annotated[Span, Meta(ge=1 * MS)] = 5_000 * MS
    idle: Annotated[Span, Meta(ge=1 * MS)] = 60_000 * MS
    head_bytes: Some = 1 << 15
    body_bytes: Some = 64 << 20
    kept_bytes: Count = 1 << 16  # of a request's body, to be sent again
    key: str = "Idempotency-Key"
    answers: Some = 10_000  # kept for deduplicated ops
    answers_bytes: Count = 16 << 20
    answers_age: Span = 60_000 * MS


class Nodes(Struct, frozen=True, kw_only=True):
    """[nodes]"""

    most: Some = 64  # connections to one
    idle: Span = 15_000 * MS
    uses: Count = 0
    grace: Span = 1_500 * MS
    warm_up: Span = 0
    cold_from: Share = 0.2


class Zones(Struct, frozen=True, kw_only=True):
    """[zones]"""

    prefer: Flag = False  # own zone first, then nearer ones; needs `limited` in [tries]
    spill: Words = ("80%", "50%")  # by tier, the share of a node's room that spill may take
    near: Span = 500_000  # zones whose distance differs by no more are one tier
    begins: Share = 0.9  # of own room out, from which work goes elsewhere
    ends: Share = 0.7
    panic: Share = 0.5  # with fewer ready than that share of the nodes, zones are no longer asked
    strikes: Some = 8  # tries in a row that met nobody, after which a zone counts as lost
    window: Span = 60_000 * MS
    free: Count = 1  # losses within the window that cost nothing
    first: Span = 5_000 * MS  # the first hold, doubled with each loss,
    longest: Span = 120_000 * MS  # up to that
    quiet: Span = 180_000 * MS  # without a loss, after which all is forgotten


class OpType(Struct, frozen=True, kw_only=True):
    """[op NAME]; the first that fits a request's method and path is its type."""

    method: str = ""  # any
    prefix: str = "/"
    target: Annotated[Span, Meta(ge=1 * MS)] = 500 * MS
    timeout: Annotated[Span, Meta(ge=1 * MS)] = 2_000 * MS
    value: Number = 1.0
    effect: Literal["retryable", "deduplicated", "once-only"] = "once-only"


class RelayFile(Struct, frozen=True, kw_only=True):
    place: Place
    tries: Tries
    clients: Clients
    nodes: Nodes
    zones: Zones
    op_types: dict[str, OpType]


def read(ini: Ini) -> RelayFile:
    """What a relay's file says; InvalidSettings where any of it can't be used."""
    made = RelayFile(
        place=ini.one("relay", Place),
        tries=ini.one("tries", Tries),
        clients=ini.one("clients", Clients),
        nodes=ini.one("nodes", Nodes),
        zones=ini.one("zones", Zones),
        op_types={section.name: op for section, op in ini.each("op", OpType)},
    )
    ini.finish()
    for field in ("listen", "hub"):
        value = getattr(made.place, field)
        try:
            if value or field == "listen":
                address(value)
        except ValueError as err:
            raise ini.fail(ini.find("relay"), field, str(err)) from None
    if not (made.place.hub or made.place.state):
        raise ini.fail(ini.find("relay"), None, "neither a hub nor kept tables: nothing to serve from")
    here = ini.find("zones")
    try:
        for word in made.zones.spill:
            share(word)
    except ValueError as err:
        raise ini.fail(here, "spill", str(err)) from None
    if made.zones.ends > made.zones.begins:
        raise ini.fail(here, "ends", "spill ends at no more than where it begins")
    if made.zones.prefer and not made.tries.limited:
        raise ini.fail(here, "prefer", "zones need `limited` in [tries], as its limits tell when one is full")
    if not made.op_types:
        raise ini.fail(None, None, "no section [op NAME]")
    for section in ini.sections:
        if section.kind == "op" and made.op_types[section.name].target > made.op_types[section.name].timeout:
            raise ini.fail(section, "target", "expected within the op timeout")
    return made
