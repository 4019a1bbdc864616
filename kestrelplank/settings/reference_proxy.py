"""The reference proxy's file: where it listens, its op types, and the terms of what it decides.

Fields have the program's names; `name=` gives the key of the file where it is another.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.ini_fields import (
    Count,
    Duration,
    DurationRange,
    Flag,
    Fraction,
    Number,
    Words,
    parse_fraction,
)
from kestrelplank.sockets.connection import address
from kestrelplank.time_units import MILLISECOND

PositiveCount = Annotated[Count, Meta(ge=1)]
PositiveDuration = Annotated[Duration, Meta(ge=1 * MILLISECOND)]


class ProcessSettings(Struct, frozen=True, kw_only=True):
    """[relay]: the process, where it listens, and where its tables come from."""

    listen_address: str = field(name="listen")
    # Where tables come from; without one it serves from the tables that were kept.
    update_source_address: str = field(default="", name="hub")
    number: Count = 0
    zone: str
    slices: PositiveCount
    # A header's name, or the path: what is hashed into a slice.
    slice_key: str = field(default="path", name="block_by")
    seed: Count = 1
    # Keeps the tables; empty: nothing is kept.
    state_path: str = field(default="", name="state")
    # The tables are written no more often.
    state_interval_ns: Annotated[Duration, Meta(ge=10 * MILLISECOND)] = field(
        default=1_000 * MILLISECOND, name="state_every"
    )
    # A Unix socket over which a new process takes the listening socket over.
    successor_socket_path: str = field(default="", name="successor")
    # Requests in hand may take so long after SIGTERM.
    stop_timeout_ns: Duration = field(default=30_000 * MILLISECOND, name="stop_within")


class AttemptSettings(Struct, frozen=True, kw_only=True):
    """[tries]: choice of a node, retries, and limits on what is in flight at one."""

    pick: Literal["random", "rotate", "two", "key"] = "random"
    # Failures in a row after which a node is avoided, and for how long.
    failures_to_eject: Count = field(default=5, name="strikes")
    ejection_time_ns: DurationRange = field(default=(4_000 * MILLISECOND, 7_000 * MILLISECOND), name="avoid")
    max_wait_ns: Duration = field(default=500 * MILLISECOND, name="hold")
    connect_timeout_ns: PositiveDuration = field(default=250 * MILLISECOND, name="dial")
    # Whether there is a second attempt, with proof that the first never ran.
    retry: Flag = field(default=True, name="again")
    # Second attempts as a fraction of first ones, by op type, and how many may be saved up.
    retry_budget: Fraction = field(default=0.2, name="budget")
    max_saved_retries: Number = field(default=10.0, name="budget_saved")
    # Whether what is in flight at a node has a limit, learned from how long it takes.
    limited: Flag = True
    initial_limit: PositiveCount = field(default=20, name="first")
    min_limit: PositiveCount = field(default=2, name="least")
    max_limit: PositiveCount = field(default=1000, name="most")
    latency_tolerance: Annotated[Number, Meta(ge=1)] = field(default=2.0, name="tolerance")
    # Ops that wait for room at a node, and for how much of their target latency.
    queue_length: Count = field(default=100, name="queue")
    queue_wait_fraction: Fraction = field(default=0.5, name="queue_part")


class ClientSettings(Struct, frozen=True, kw_only=True):
    """[clients]: what clients may open and send, and which answers are kept for repeated requests."""

    max_connections: PositiveCount = field(default=1000, name="most")
    max_connections_per_client: PositiveCount = field(default=100, name="each")
    header_timeout_ns: PositiveDuration = field(default=5_000 * MILLISECOND, name="head")
    idle_timeout_ns: PositiveDuration = field(default=60_000 * MILLISECOND, name="idle")
    max_header_bytes: PositiveCount = field(default=1 << 15, name="head_bytes")
    max_body_bytes: PositiveCount = field(default=64 << 20, name="body_bytes")
    # Of a request's body, to be sent again.
    max_retained_body_bytes: Count = field(default=1 << 16, name="kept_bytes")
    idempotency_header: str = field(default="Idempotency-Key", name="key")
    # Kept for deduplicated ops.
    max_cached_answers: PositiveCount = field(default=10_000, name="answers")
    max_cached_answers_bytes: Count = field(default=16 << 20, name="answers_bytes")
    cached_answer_max_age_ns: Duration = field(default=60_000 * MILLISECOND, name="answers_age")


class NodeSettings(Struct, frozen=True, kw_only=True):
    """[nodes]: connections to a node, and its slow start."""

    max_connections: PositiveCount = field(default=64, name="most")
    idle_timeout_ns: Duration = field(default=15_000 * MILLISECOND, name="idle")
    # Requests that a connection carries; 0: without a limit.
    max_requests_per_connection: Count = field(default=0, name="uses")
    grace_ns: Duration = field(default=1_500 * MILLISECOND, name="grace")
    slow_start_ns: Duration = field(default=0, name="warm_up")
    slow_start_from: Fraction = field(default=0.2, name="cold_from")


class ZoneSettings(Struct, frozen=True, kw_only=True):
    """[zones]: preference for near zones, spill into further ones, and zones that count as lost."""

    # Own zone first, then nearer ones; needs `limited` in [tries].
    prefer_near: Flag = field(default=False, name="prefer")
    # By tier, the fraction of a node's capacity that spill may take.
    spill_fractions: Words = field(default=("80%", "50%"), name="spill")
    # Zones whose distance differs by no more are one tier.
    tier_width_ns: Duration = field(default=500_000, name="near")
    # Of the own zone's capacity in flight, from which requests go elsewhere, and below which they stay again.
    spill_begins_at: Fraction = field(default=0.9, name="begins")
    spill_ends_at: Fraction = field(default=0.7, name="ends")
    # With fewer ready than that fraction of the nodes, zones are no longer asked.
    panic_threshold: Fraction = field(default=0.5, name="panic")
    # Attempts in a row that reached nobody, after which a zone counts as lost.
    failures_to_lose_zone: PositiveCount = field(default=8, name="strikes")
    # Losses within the window that cost nothing; the first that does keeps a zone out for `first_hold_ns`, which
    # doubles with each loss up to `max_hold_ns`. So long without a loss, all is forgotten.
    loss_window_ns: Duration = field(default=60_000 * MILLISECOND, name="window")
    free_losses: Count = field(default=1, name="free")
    first_hold_ns: Duration = field(default=5_000 * MILLISECOND, name="first")
    max_hold_ns: Duration = field(default=120_000 * MILLISECOND, name="longest")
    reset_after_ns: Duration = field(default=180_000 * MILLISECOND, name="quiet")


class OpTypeSettings(Struct, frozen=True, kw_only=True):
    """[op NAME]; the first that fits a request's method and path is its type. An empty method is any."""

    method: str = ""
    path_prefix: str = field(default="/", name="prefix")
    target_latency_ns: PositiveDuration = field(default=500 * MILLISECOND, name="target")
    timeout_ns: PositiveDuration = field(default=2_000 * MILLISECOND, name="timeout")
    value: Number = 1.0
    effect: Literal["retryable", "deduplicated", "once-only"] = "once-only"


class ReferenceProxySettings(Struct, frozen=True, kw_only=True):
    """The sections of the file."""

    process: ProcessSettings
    attempts: AttemptSettings
    clients: ClientSettings
    nodes: NodeSettings
    zones: ZoneSettings
    op_types: dict[str, OpTypeSettings]


def read_reference_proxy_settings(ini: IniFile) -> ReferenceProxySettings:
    """Return what a reference proxy's file says.

    :raises InvalidSettingsError: some of it cannot be used.
    """
    settings = ReferenceProxySettings(
        process=ini.read_section("relay", ProcessSettings),
        attempts=ini.read_section("tries", AttemptSettings),
        clients=ini.read_section("clients", ClientSettings),
        nodes=ini.read_section("nodes", NodeSettings),
        zones=ini.read_section("zones", ZoneSettings),
        op_types={section.name: op_type for section, op_type in ini.read_named_sections("op", OpTypeSettings)},
    )
    ini.reject_unread_sections()
    _check_process(ini, settings.process)
    _check_zones(ini, settings)
    _check_op_types(ini, settings.op_types)
    return settings


def _check_process(ini: IniFile, process: ProcessSettings) -> None:
    """Raise InvalidSettingsError where an address is none, or there is nothing to serve from."""
    section = ini.find_section("relay")
    addresses = [("listen", process.listen_address)]
    if process.update_source_address:
        addresses.append(("hub", process.update_source_address))
    for name, value in addresses:
        try:
            address(value)
        except ValueError as err:
            raise ini.error(section, name, str(err)) from None
    if not (process.update_source_address or process.state_path):
        raise ini.error(section, None, "neither a hub nor kept tables: nothing to serve from")


def _check_zones(ini: IniFile, settings: ReferenceProxySettings) -> None:
    """Raise InvalidSettingsError where the terms of spill do not go together."""
    section, zones = ini.find_section("zones"), settings.zones
    try:
        for fraction in zones.spill_fractions:
            parse_fraction(fraction)
    except ValueError as err:
        raise ini.error(section, "spill", str(err)) from None
    if zones.spill_ends_at > zones.spill_begins_at:
        raise ini.error(section, "ends", "spill ends at no more than where it begins")
    if zones.prefer_near and not settings.attempts.limited:
        reason = "zones need `limited` in [tries], as its limits tell when one is full"
        raise ini.error(section, "prefer", reason)


def _check_op_types(ini: IniFile, op_types: dict[str, OpTypeSettings]) -> None:
    """Raise InvalidSettingsError where there is no op type, or one whose target cannot be met."""
    if not op_types:
        raise ini.error(None, None, "no section [op NAME]")
    for section in ini.sections:
        if section.kind == "op":
            op_type = op_types[section.name]
            if op_type.target_latency_ns > op_type.timeout_ns:
                raise ini.error(section, "target", "expected within the op timeout")
