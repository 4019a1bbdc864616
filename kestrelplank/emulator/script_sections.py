"""The sections of a rehearsal's script, as msgspec structs whose fields are the users' keys.

Each `Duration` is read from text with a unit and is whole ns; each `DurationRange` is a least and a most, between which
is drawn.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct

from kestrelplank.settings.ini_fields import Count, Duration, DurationRange, Flag, Fraction, Number, Words
from kestrelplank.time_units import MILLISECOND, SECOND

AtLeastOne = Annotated[Count, Meta(ge=1)]


class Site(Struct, frozen=True, kw_only=True):
    """[site].

    :param settle: ops before that are played and not counted.
    :param load: work asked for over what all nodes can do.
    """

    zones: Words
    nodes: AtLeastOne = 30
    slices: AtLeastOne = 180
    relays: AtLeastOne = 60
    conductors: Annotated[Count, Meta(ge=1, le=40)] = 2
    length: Duration = 60 * SECOND
    settle: Duration = 6 * SECOND
    load: Fraction = 0.45


class NodeKind(Struct, frozen=True, kw_only=True):
    """[nodes]: what a node is.

    :param slots: ops that run at once.
    :param room: ops that wait; one more is answered "not started".
    :param speed: work done in a second by one core.
    :param warm_work: above 0, a node is warm by so much work done instead of by time.
    :param fall_multiple: sent more than so many times its present capacity over `tip_after`, a cold node falls and
        stays down.
    :param connection: work that a new connection costs.
    :param keys: how many are remembered, each for `key_for`; an op with a remembered key is less work by `key_gain`.
    :param cancel: what an op's cancellation ends: waiting, all or none.
    """

    cores: Count = 3
    slots: Count = 6
    room: Count = 36
    speed: Number = 1.0
    warm_up: Duration = 10 * SECOND
    warm_work: Duration = 0
    cold_from: Fraction = 0.3
    fall_multiple: Number = 3.0
    tip_after: Duration = 3 * SECOND
    connection: Duration = 2_500_000
    keys: Count = 600
    key_for: Duration = 16 * SECOND
    key_gain: Fraction = 0.5
    cancel: str = "waiting"


class OpType(Struct, frozen=True, kw_only=True):
    """[op NAME]; `spread` is the deviation of its work over the mean, drawn lognormal."""

    share: Fraction
    work: Duration
    spread: Number = 0.6
    target: Duration
    timeout: Duration
    value: Number = 1.0
    effect: Literal["retryable", "deduplicated", "once-only"] = "once-only"


class ClientBehaviour(Struct, frozen=True, kw_only=True):
    """[clients].

    :param retries: by clients themselves, of what was rejected, or may run again.
    :param keys: of a slice; the first are the most asked for.
    """

    retries: Annotated[Count, Meta(le=7)] = 1
    wait: Duration = 100 * MILLISECOND
    slice_spread: Number = 0.7
    keys: AtLeastOne = 40


class ProxyBehaviour(Struct, frozen=True, kw_only=True):
    """[relays].

    :param notice: until the end of a proxy or assigner is known where nothing was reset.
    :param apply_line: to apply one order.
    """

    pick: Literal["random", "rotate", "two"] = "random"
    strikes: Count = 5
    avoid: DurationRange = (4 * SECOND, 7 * SECOND)
    hold: Duration = 500 * MILLISECOND
    dial: Duration = 250 * MILLISECOND
    redial: DurationRange = (200 * MILLISECOND, 2_300 * MILLISECOND)
    notice: DurationRange = (370 * MILLISECOND, 1_900 * MILLISECOND)
    apply_line: Duration = 25_000


class Channel(Struct, frozen=True, kw_only=True):
    """[channel] from an assigner to proxies; `backlog`: orders at that pace may wait."""

    lines_per_s: Number = 7500.0
    envelope: Count = 16
    backlog: Duration = 1_500 * MILLISECOND
    transit: DurationRange = (85 * MILLISECOND, 330 * MILLISECOND)


class Reports(Struct, frozen=True, kw_only=True):
    """[reports]: what assigners learn of attempts and ops, and how late."""

    every: Annotated[Duration, Meta(ge=10 * MILLISECOND)] = 1 * SECOND
    late: DurationRange = (530 * MILLISECOND, 1_200 * MILLISECOND)
    intake_per_s: AtLeastOne = 500
    noise: Fraction = 0.1


class DiscoveryDelays(Struct, frozen=True, kw_only=True):
    """[discovery].

    :param notice: until it is known that a process has ended.
    :param silent: until it is known that a machine is out of reach.
    :param spread: between assigners.
    """

    notice: DurationRange = (1_600 * MILLISECOND, 4_400 * MILLISECOND)
    silent: DurationRange = (4_600 * MILLISECOND, 11 * SECOND)
    add: DurationRange = (1_200 * MILLISECOND, 2_500 * MILLISECOND)
    spread: DurationRange = (40 * MILLISECOND, 390 * MILLISECOND)


class NetworkDelays(Struct, frozen=True, kw_only=True):
    """[network]: the time of a message within a zone and between two."""

    same: DurationRange = (100_000, 320_000)
    cross: DurationRange = (1_400_000, 2_600_000)


class RuleLimits(Struct, frozen=True, kw_only=True):
    """[rules]: limits that the rules set, and how slices pass to another assigner."""

    grace: Duration = 1_500 * MILLISECOND
    bare: Duration = 2_500 * MILLISECOND
    takeover: DurationRange = (1 * SECOND, 3 * SECOND)
    rehome: DurationRange = (3 * SECOND, 12 * SECOND)
    tick: Duration = 4 * MILLISECOND


class NodeFileGuards(Struct, frozen=True, kw_only=True):
    """[files]: node lists in files in place of discovery, with the operator's guards."""

    quiet: Duration = 200 * MILLISECOND
    most_closed: Fraction = 0.25
    stand: Duration = 60 * SECOND
    weight_step: Fraction = 0.1


class Load(Struct, frozen=True, kw_only=True):
    """[load NAME]: the load from that time on."""

    at: Duration
    load: Fraction


class Fault(Struct, frozen=True, kw_only=True):
    """[fault NAME].

    :param strength: slow: times slower; fail, mute: a share; edit: times the weight.
    :param how: edit: what is saved.
    :param pause: stall: the process is paused for that long, once in `every`.
    :param keeps_queue: silent: what waited is still there when the node comes back.
    """

    kind: Literal["stall", "slow", "silent", "fail", "mute", "lost", "drain", "edit"]
    who: Words
    start: Duration
    length: Duration | None = None
    end: Duration | None = None
    strength: Number | None = None
    how: Literal["torn", "twice", "gone", "empty", "remove", "drain", "weight"] = "torn"
    pause: Duration = 300 * MILLISECOND
    every: Duration = 2 * SECOND
    keeps_queue: Flag = False
