"""The sections of a rehearsal's script, as msgspec structs whose fields are the keys of the script.

A `Duration` is read from text with a unit and stored in ns; a `DurationRange` is the minimum and maximum of a random
draw.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct

from kestrelplank.settings.ini_fields import Count, Duration, DurationRange, Flag, Fraction, Number, Words
from kestrelplank.time_units import MILLISECOND, SECOND

AtLeastOne = Annotated[Count, Meta(ge=1)]


class Site(Struct, frozen=True, kw_only=True):
    """[site].

    :param settle: ops requested before then are run but not counted.
    :param load: requested work divided by the capacity of all nodes.
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
    """[nodes]: the properties of every node.

    :param slots: maximum number of running ops.
    :param room: maximum number of queued ops; further ops are answered "not started".
    :param speed: work done per second by one core.
    :param warm_work: if above 0, a node is warm after this much work instead of after `warm_up`.
    :param cold_from: share of its capacity that a node has when it starts.
    :param fall_multiple: a cold node that is sent more than this multiple of its present capacity over `tip_after`
        fails and stays down.
    :param connection: work that a new connection costs.
    :param keys: capacity of the key cache; a key is cached for `key_for` and reduces an op's work by `key_gain`.
    :param cancel: which ops a cancellation ends: waiting, all or none.
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
    """[op NAME]; `spread`: the standard deviation of its work, which is lognormal, divided by the mean."""

    share: Fraction
    work: Duration
    spread: Number = 0.6
    target: Duration
    timeout: Duration
    value: Number = 1.0
    effect: Literal["retryable", "deduplicated", "once-only"] = "once-only"


class ClientBehaviour(Struct, frozen=True, kw_only=True):
    """[clients].

    :param retries: by clients, of ops that were rejected or that may run again.
    :param keys: number of keys in a slice; the first ones are requested most often.
    """

    retries: Annotated[Count, Meta(le=7)] = 1
    wait: Duration = 100 * MILLISECOND
    slice_spread: Number = 0.7
    keys: AtLeastOne = 40


class ProxyBehaviour(Struct, frozen=True, kw_only=True):
    """[relays].

    :param strikes: consecutive failures after which a proxy ejects a node, for a time in the range `avoid`.
    :param hold: longest time that an op waits for a node.
    :param redial: delay until a proxy connects to an assigner after either has restarted.
    :param notice: delay until assigners are notified that a proxy has ended.
    :param apply_line: time to apply one order.
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
    """[channel] from an assigner to proxies; `backlog`: the longest queue, as time at `lines_per_s`."""

    lines_per_s: Number = 7500.0
    envelope: Count = 16
    backlog: Duration = 1_500 * MILLISECOND
    transit: DurationRange = (85 * MILLISECOND, 330 * MILLISECOND)


class Reports(Struct, frozen=True, kw_only=True):
    """[reports]: the reports on attempts and ops that assigners receive, and their delays."""

    every: Annotated[Duration, Meta(ge=10 * MILLISECOND)] = 1 * SECOND
    late: DurationRange = (530 * MILLISECOND, 1_200 * MILLISECOND)
    intake_per_s: AtLeastOne = 500
    noise: Fraction = 0.1


class DiscoveryDelays(Struct, frozen=True, kw_only=True):
    """[discovery].

    :param notice: delay until the end of a process is detected.
    :param silent: delay until an unreachable machine is detected.
    :param add: delay until the start of a process is detected.
    :param spread: further delay, drawn for each assigner.
    """

    notice: DurationRange = (1_600 * MILLISECOND, 4_400 * MILLISECOND)
    silent: DurationRange = (4_600 * MILLISECOND, 11 * SECOND)
    add: DurationRange = (1_200 * MILLISECOND, 2_500 * MILLISECOND)
    spread: DurationRange = (40 * MILLISECOND, 390 * MILLISECOND)


class NetworkDelays(Struct, frozen=True, kw_only=True):
    """[network]: the delays of a message within a zone and between zones."""

    same: DurationRange = (100_000, 320_000)
    cross: DurationRange = (1_400_000, 2_600_000)


class RuleLimits(Struct, frozen=True, kw_only=True):
    """[rules]: limits of the rules, and delays until the slices of an assigner pass to others and return."""

    grace: Duration = 1_500 * MILLISECOND
    bare: Duration = 2_500 * MILLISECOND
    takeover: DurationRange = (1 * SECOND, 3 * SECOND)
    rehome: DurationRange = (3 * SECOND, 12 * SECOND)
    tick: Duration = 4 * MILLISECOND


class NodeFileGuards(Struct, frozen=True, kw_only=True):
    """[files]: node lists in files instead of discovery, with the operator's change limits.

    :param quiet: how long a file must be unchanged before it is used.
    :param most_closed: share of the nodes that may be closed without confirmation.
    :param stand: how long a larger change must be unchanged to take effect without confirmation.
    """

    quiet: Duration = 200 * MILLISECOND
    most_closed: Fraction = 0.25
    stand: Duration = 60 * SECOND
    weight_step: Fraction = 0.1


class Load(Struct, frozen=True, kw_only=True):
    """[load NAME]: the load from time `at` on."""

    at: Duration
    load: Fraction


class Fault(Struct, frozen=True, kw_only=True):
    """[fault NAME].

    :param strength: slow: slowdown factor; fail, mute: share of ops; edit: factor for the weight.
    :param how: edit: how the saved file is changed.
    :param pause: stall: length of each pause, of which there is one in every `every`.
    :param keeps_queue: silent: the node keeps its queued ops when it returns.
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
