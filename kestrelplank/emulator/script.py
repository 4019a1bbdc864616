"""A rehearsal's script: the site, its load over time, and faults, from an INI file, checked."""

import re
from typing import Annotated, Literal

from msgspec import Meta, Struct

from kestrelplank.emulator.node import Kind
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.ini_fields import Count, Duration, DurationRange, Flag, Fraction, Number, Words
from kestrelplank.settings.ini_syntax import Section

MS = 1_000_000
Some = Annotated[Count, Meta(ge=1)]


class Site(Struct, frozen=True, kw_only=True):
    zones: Words
    nodes: Some = 30
    slices: Some = 180
    relays: Some = 60
    conductors: Annotated[Count, Meta(ge=1, le=40)] = 2
    length: Duration = 60_000 * MS
    settle: Duration = 6_000 * MS  # ops before that are played and not counted
    load: Fraction = 0.45  # work asked for over what all nodes can do


class OpType(Struct, frozen=True, kw_only=True):
    share: Fraction
    work: Duration
    spread: Number = 0.6  # deviation over mean; drawn lognormal
    target: Duration
    timeout: Duration
    value: Number = 1.0
    effect: Literal["retryable", "deduplicated", "once-only"] = "once-only"


class Clients(Struct, frozen=True, kw_only=True):
    retries: Annotated[Count, Meta(le=7)] = 1  # by themselves, of what was rejected, or may run again
    wait: Duration = 100 * MS
    slice_spread: Number = 0.7
    keys: Some = 40  # of a slice; the first are the most asked for


class Relays(Struct, frozen=True, kw_only=True):
    pick: Literal["random", "rotate", "two"] = "random"
    strikes: Count = 5
    avoid: DurationRange = (4_000 * MS, 7_000 * MS)
    hold: Duration = 500 * MS
    dial: Duration = 250 * MS
    redial: DurationRange = (200 * MS, 2_300 * MS)
    notice: DurationRange = (
        370 * MS,
        1_900 * MS,
    )  # until a conductor's or relay's end is known where nothing was reset
    apply_line: Duration = 25_000


class Channel(Struct, frozen=True, kw_only=True):
    lines_per_s: Number = 7500.0
    envelope: Count = 16
    backlog: Duration = 1_500 * MS  # of lines at that pace may wait
    transit: DurationRange = (85 * MS, 330 * MS)


class Reports(Struct, frozen=True, kw_only=True):
    every: Annotated[Duration, Meta(ge=10 * MS)] = 1_000 * MS
    late: DurationRange = (530 * MS, 1_200 * MS)
    intake_per_s: Some = 500
    noise: Fraction = 0.1


class Discovery(Struct, frozen=True, kw_only=True):
    notice: DurationRange = (1_600 * MS, 4_400 * MS)  # that a process has ended
    silent: DurationRange = (4_600 * MS, 11_000 * MS)  # that a machine is out of reach
    add: DurationRange = (1_200 * MS, 2_500 * MS)
    spread: DurationRange = (40 * MS, 390 * MS)  # among conductors


class Network(Struct, frozen=True, kw_only=True):
    same: DurationRange = (100_000, 320_000)
    cross: DurationRange = (1_400_000, 2_600_000)


class Rules(Struct, frozen=True, kw_only=True):
    grace: Duration = 1_500 * MS
    bare: Duration = 2_500 * MS
    takeover: DurationRange = (1_000 * MS, 3_000 * MS)
    rehome: DurationRange = (3_000 * MS, 12_000 * MS)
    tick: Duration = 4 * MS


class Files(Struct, frozen=True, kw_only=True):
    """[files]: node lists in files in place of discovery, with the operator's terms."""

    quiet: Duration = 200 * MS
    most_closed: Fraction = 0.25
    stand: Duration = 60_000 * MS
    weight_step: Fraction = 0.1


class Load(Struct, frozen=True, kw_only=True):
    at: Duration
    load: Fraction


class Fault(Struct, frozen=True, kw_only=True):
    kind: Literal["stall", "slow", "silent", "fail", "mute", "lost", "drain", "edit"]
    who: Words
    start: Duration
    length: Duration | None = None
    end: Duration | None = None
    strength: Number | None = None  # slow: times slower; fail, mute: a share; edit: times the weight
    how: Literal["torn", "twice", "gone", "empty", "remove", "drain", "weight"] = "torn"  # edit: what is saved
    pause: Duration = 300 * MS  # stall: stands still for so long,
    every: Duration = 2_000 * MS  # so often
    keeps_queue: Flag = False  # silent: what waited is still there when it comes back


class Selector(Struct, frozen=True):
    """Whom a fault is for: nodes, relays or conductors; of a zone, by number, or a share of them drawn by chance."""

    kind: str
    zone: int | None = None
    number: int | None = None
    share: float = 1.0

    def has(self, number: int, zones: int) -> bool:
        """Whether the one with that number, one of so many zones, may be meant."""
        return self.zone in (None, number % zones) and self.number in (None, number)


class Script(Struct, frozen=True, kw_only=True):
    site: Site
    kind: Kind
    op_types: dict[str, OpType]
    clients: Clients
    relays: Relays
    channel: Channel
    reports: Reports
    discovery: Discovery
    network: Network
    rules: Rules
    files: Files | None
    loads: tuple[tuple[int, float], ...]  # from when on, in order
    faults: tuple[tuple[str, Fault, int, tuple[Selector, ...]], ...]  # name, fault, end, whom


def selector(word: str, site: Site) -> Selector:
    """`zone Z` (its nodes), `nodes`, `relays` or `conductors` followed by `of Z`, a share or a number."""
    found = re.fullmatch(r"(zone|node|relay|conductor)s?(?: (?:of )?(\S+))?", word)
    if not found:
        raise ValueError(f"expected zone, nodes, relays or conductors, got {word!r}")
    kind, which = found.groups()
    kind = "node" if kind == "zone" else kind
    most = {"node": site.nodes, "relay": site.relays, "conductor": site.conductors}[kind]
    if which is None:
        if word.startswith("zone"):
            raise ValueError(f"{word!r} names no zone")
        return Selector(kind)
    if which in site.zones:
        return Selector(kind, zone=site.zones.index(which))
    share = re.fullmatch(r"(\d+(?:\.\d+)?)%", which)
    if share and 0 < float(share[1]) <= 100 and not word.startswith("zone"):
        return Selector(kind, share=float(share[1]) / 100)
    if which.isascii() and which.isdigit() and not word.startswith("zone"):
        if int(which) >= most:
            raise ValueError(f"there is no {kind} {which}: there are {most}, counted from 0")
        return Selector(kind, number=int(which))
    raise ValueError(f"no zone is called {which!r}; there are {', '.join(site.zones)}")


def fault(ini: IniFile, section: Section, read: Fault, site: Site) -> tuple[str, Fault, int, tuple[Selector, ...]]:
    if (read.length is None) == (read.end is None):
        raise ini.error(section, None, "give either length or end")
    end = read.end if read.end is not None else read.start + read.length
    if end <= read.start:
        raise ini.error(section, "end" if read.end is not None else "length", "the fault ends before it begins")
    if read.start >= site.length:
        raise ini.error(section, "start", "the rehearsal is over by then")
    try:
        whom = tuple(selector(word, site) for word in read.who)
    except ValueError as err:
        raise ini.error(section, "who", str(err)) from None
    if not whom:
        raise ini.error(section, "who", "names nobody")
    if any(one.kind != "node" for one in whom) and read.kind not in ("stall", "lost"):
        raise ini.error(section, "who", f"{read.kind} is for nodes alone")
    if read.kind in ("fail", "mute") and not 0 < (read.strength or 0) <= 1:
        raise ini.error(section, "strength", "expected a share over 0 and up to 1")
    if read.kind == "edit" and ini.find_section("files") is None:
        raise ini.error(section, "kind", "there are no node files: the script has no section [files]")
    if read.kind == "edit" and read.how == "weight" and not read.strength:
        raise ini.error(section, "strength", "expected by how much weights are multiplied")
    if read.kind == "slow" and not (read.strength or 0) > 1:
        raise ini.error(section, "strength", "expected how many times slower, over 1")
    if read.kind == "stall" and not 0 < read.pause < read.every:
        raise ini.error(section, "pause", "a pause is shorter than the time from one to the next")
    return section.name, read, end, whom


def script(ini: IniFile) -> Script:
    """The script that a file holds; InvalidSettingsError says what can't be used."""
    site = ini.read_section("site", Site)
    here = ini.find_section("site")
    if not site.zones or len(set(site.zones)) < len(site.zones):
        raise ini.error(here, "zones", "expected names of zones, each once")
    if site.settle >= site.length:
        raise ini.error(here, "settle", "nothing is left of the rehearsal to be counted")
    op_types = ini.read_named_sections("op", OpType)
    if not op_types:
        raise ini.error(None, None, "no section [op NAME]")
    if abs(sum(op.share for _, op in op_types) - 1) > 1e-6:
        raise ini.error(op_types[-1][0], "share", "the shares of all op types do not sum to 100%")
    for section, op in op_types:
        if not 0 < op.target <= op.timeout:
            raise ini.error(section, "target", "expected above 0 and within the op timeout")
        if not op.work:
            raise ini.error(section, "work", "expected some")
    loads = [(0, site.load)]
    for section, load in ini.read_named_sections("load", Load):
        if load.at < loads[-1][0]:
            raise ini.error(section, "at", "loads stand in the order of time")
        loads.append((load.at, load.load))
    kind = ini.read_section("nodes", Kind)
    if kind.cancel not in ("waiting", "all", "none"):
        raise ini.error(ini.find_section("nodes"), "cancel", f"expected waiting, all or none, got {kind.cancel!r}")
    if not (kind.cores and kind.slots and kind.speed):
        raise ini.error(ini.find_section("nodes"), None, "cores, slots and speed are above 0")
    made = Script(
        site=site,
        kind=kind,
        op_types={section.name: op for section, op in op_types},
        clients=ini.read_section("clients", Clients),
        relays=ini.read_section("relays", Relays),
        channel=ini.read_section("channel", Channel),
        reports=ini.read_section("reports", Reports),
        discovery=ini.read_section("discovery", Discovery),
        network=ini.read_section("network", Network),
        rules=ini.read_section("rules", Rules),
        loads=tuple(loads),
        files=ini.read_section("files", Files) if ini.find_section("files") else None,
        faults=tuple(fault(ini, section, read, site) for section, read in ini.read_named_sections("fault", Fault)),
    )
    ini.reject_unread_sections()
    return made


def conf(made: Script, ordinal: int) -> dict:
    """The settings that a conductor of this site is given, in the form that both adapters read."""
    ms = 1 / MS
    site, kind, rules, channel = made.site, made.kind, made.rules, made.channel
    return {
        "Areas": list(site.zones),
        "Az": site.zones[ordinal % len(site.zones)],
        "Balancers": site.conductors,
        "Ordinal": ordinal,
        "Tick": rules.tick * ms,
        "WeightSource": "nominal",
        "Categories": [
            {
                "Name": name,
                "Target": op.target * ms,
                "Deadline": op.timeout * ms,
                "Importance": op.value,
                "Effect": {"retryable": "pure", "deduplicated": "token", "once-only": "side_effect"}[op.effect],
            }
            for name, op in made.op_types.items()
        ],
        "Specifics": {
            "BaseMode": 1,
            "Blackhole": rules.bare * ms,
            "DataPlaneSize": site.relays,
            "Shards": site.slices,
            "EgressPerS": channel.lines_per_s,
            "Envelope": channel.envelope,
            "LevelKind": "none",
            "MostWaiting": most_waiting(made),
            "Pick": {"two": "p2c", "rotate": "rotate"}.get(made.relays.pick, "random"),
            "ReportEvery": made.reports.every * ms,
            "Strikes": made.relays.strikes,
            "WarmKeys": kind.key_gain > 0,
            "Transit": sum(channel.transit) / 2 * ms,
            "WorstTransit": channel.transit[1] * ms,
        },
        "Rules": {
            "ColdFrom": kind.cold_from,
            "FallMultiple": kind.fall_multiple,
            "WarmUp": kind.warm_up * ms,
            "StopSendingWithin": rules.grace * ms,
            "TipAfter": kind.tip_after * ms,
        },
        "Permissions": {"DialTimeout": made.relays.dial * ms, "Probes": False, "MayTell": False},
    }


def most_waiting(made: Script) -> float:
    """Lines that may wait in a conductor's channel."""
    return made.channel.lines_per_s * made.channel.backlog / 1e9
