"""A rehearsal's script: reads the site, its load over time and the faults from an INI file, and validates them."""

from msgspec import Struct

from kestrelplank.emulator.fault_selector import FaultSelector, parse_selector
from kestrelplank.emulator.script_sections import (
    Channel,
    ClientBehaviour,
    DiscoveryDelays,
    Fault,
    Load,
    NetworkDelays,
    NodeFileGuards,
    NodeKind,
    OpType,
    ProxyBehaviour,
    Reports,
    RuleLimits,
    Site,
)
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.ini_syntax import Section

CANCEL_MODES = ("waiting", "all", "none")
SHARE_TOLERANCE = 1e-6


class ScheduledFault(Struct, frozen=True):
    """A fault of the script, with its end (ns from the beginning) and its targets."""

    name: str
    fault: Fault
    end_ns: int
    selectors: tuple[FaultSelector, ...]


class Script(Struct, frozen=True, kw_only=True):
    """The contents of a script.

    :param loads: in order, pairs of a time (ns from the beginning) and the load from then on.
    """

    site: Site
    node_kind: NodeKind
    op_types: dict[str, OpType]
    clients: ClientBehaviour
    proxies: ProxyBehaviour
    channel: Channel
    reports: Reports
    discovery: DiscoveryDelays
    network: NetworkDelays
    rules: RuleLimits
    node_files: NodeFileGuards | None
    loads: tuple[tuple[int, float], ...]
    faults: tuple[ScheduledFault, ...]


def read_script(ini: IniFile) -> Script:
    """Read a script from a file.

    :raises InvalidSettingsError: the script is not valid; the message names file, section and field.
    """
    site = _read_site(ini)
    script = Script(
        site=site,
        op_types=_read_op_types(ini),
        loads=_read_loads(ini, site),
        node_kind=_read_node_kind(ini),
        clients=ini.read_section("clients", ClientBehaviour),
        proxies=ini.read_section("relays", ProxyBehaviour),
        channel=ini.read_section("channel", Channel),
        reports=ini.read_section("reports", Reports),
        discovery=ini.read_section("discovery", DiscoveryDelays),
        network=ini.read_section("network", NetworkDelays),
        rules=ini.read_section("rules", RuleLimits),
        node_files=ini.read_section("files", NodeFileGuards) if ini.find_section("files") else None,
        faults=tuple(
            _schedule(ini, section, fault, site) for section, fault in ini.read_named_sections("fault", Fault)
        ),
    )
    ini.reject_unread_sections()
    return script


def _read_site(ini: IniFile) -> Site:
    site, section = ini.read_section("site", Site), ini.find_section("site")
    if not site.zones or len(set(site.zones)) < len(site.zones):
        raise ini.error(section, "zones", "expected the names of zones, at least one and without duplicates")
    if site.settle >= site.length:
        raise ini.error(section, "settle", "must be less than the length of the rehearsal, or no op is counted")
    return site


def _read_op_types(ini: IniFile) -> dict[str, OpType]:
    op_types = ini.read_named_sections("op", OpType)
    if not op_types:
        raise ini.error(None, None, "expected at least one section [op NAME]")
    if abs(sum(op_type.share for _, op_type in op_types) - 1) > SHARE_TOLERANCE:
        raise ini.error(op_types[-1][0], "share", "the shares of all op types must sum to 100%")
    for section, op_type in op_types:
        if not 0 < op_type.target <= op_type.timeout:
            raise ini.error(section, "target", "expected a duration above 0 and at most the op timeout")
        if not op_type.work:
            raise ini.error(section, "work", "expected a duration above 0")
    return {section.name: op_type for section, op_type in op_types}


def _read_loads(ini: IniFile, site: Site) -> tuple[tuple[int, float], ...]:
    loads = [(0, site.load)]
    for section, load in ini.read_named_sections("load", Load):
        if load.at < loads[-1][0]:
            raise ini.error(section, "at", "expected a time not before that of the previous section [load NAME]")
        loads.append((load.at, load.load))
    return tuple(loads)


def _read_node_kind(ini: IniFile) -> NodeKind:
    kind = ini.read_section("nodes", NodeKind)
    if kind.cancel not in CANCEL_MODES:
        raise ini.error(ini.find_section("nodes"), "cancel", f"expected waiting, all or none, got {kind.cancel!r}")
    if not (kind.cores and kind.slots and kind.speed):
        raise ini.error(ini.find_section("nodes"), None, "cores, slots and speed must be above 0")
    return kind


def _read_faults(ini: IniFile, site: Site) -> tuple[ScheduledFault, ...]:
    faults = ini.read_named_sections("fault", Fault)
    return tuple(_schedule(ini, section, fault, site) for section, fault in faults)


def _schedule(ini: IniFile, section: Section, fault: Fault, site: Site) -> ScheduledFault:
    end_ns = _end_of(ini, section, fault, site)
    try:
        selectors = tuple(parse_selector(text, site) for text in fault.who)
    except ValueError as err:
        raise ini.error(section, "who", str(err)) from None
    if not selectors:
        raise ini.error(section, "who", "expected at least one target")
    if any(selector.kind != "node" for selector in selectors) and fault.kind not in ("stall", "lost"):
        raise ini.error(section, "who", f"a fault of kind {fault.kind} can target only nodes")
    _check_fields(ini, section, fault)
    return ScheduledFault(section.name, fault, end_ns, selectors)


def _end_of(ini: IniFile, section: Section, fault: Fault, site: Site) -> int:
    if fault.length is not None and fault.end is None:
        end_ns, field = fault.start + fault.length, "length"
    elif fault.end is not None and fault.length is None:
        end_ns, field = fault.end, "end"
    else:
        raise ini.error(section, None, "expected either length or end")
    if end_ns <= fault.start:
        raise ini.error(section, field, "the fault must end after it starts")
    if fault.start >= site.length:
        raise ini.error(section, "start", "expected a time before the end of the rehearsal")
    return end_ns


def _check_fields(ini: IniFile, section: Section, fault: Fault) -> None:
    """Check the fields that depend on the kind of a fault."""
    strength = fault.strength or 0
    if fault.kind in ("fail", "mute") and not 0 < strength <= 1:
        raise ini.error(section, "strength", "expected a share above 0 and at most 1")
    if fault.kind == "edit" and ini.find_section("files") is None:
        raise ini.error(section, "kind", "a fault of kind edit needs a section [files]")
    if fault.kind == "edit" and fault.how == "weight" and not strength:
        raise ini.error(section, "strength", "expected a factor above 0 for the weights")
    if fault.kind == "slow" and not strength > 1:
        raise ini.error(section, "strength", "expected a slowdown factor above 1")
    if fault.kind == "stall" and not 0 < fault.pause < fault.every:
        raise ini.error(section, "pause", "expected a duration above 0 and less than field every")
