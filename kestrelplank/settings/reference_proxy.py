"""The reference proxy's INI file: addresses, op types, and limits for attempts, clients, nodes and zones.

A field with `name=` has that key in the file; for other fields the key is the field's name.
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
    """[relay]: the process, its address, and the source of its tables."""

    listen_address: str = field(name="listen")
    # Address of the source of table updates; without one the proxy serves from its stored tables.
    update_source_address: str = field(default="", name="hub")
    number: Count = 0
    zone: str
    slices: PositiveCount
    # What is hashed to select a slice: the name of a header, or `path`.
    slice_key: str = field(default="path", name="block_by")
    seed: Count = 1
    # File that stores the tables; empty: not stored.
    state_path: str = field(default="", name="state")
    # Minimal interval between writes of the tables.
    state_interval_ns: Annotated[Duration, Meta(ge=10 * MILLISECOND)] = field(
        default=1_000 * MILLISECOND, name="state_every"
    )
    # Unix socket through which a new process takes over the listening socket.
    successor_socket_path: str = field(default="", name="successor")
    # Time for requests in progress to finish after SIGTERM.
    stop_timeout_ns: Duration = field(default=30_000 * MILLISECOND, name="stop_within")


class AttemptSettings(Struct, frozen=True, kw_only=True):
    """[tries]: node selection, retries, and limits on ops in flight at a node."""

    pick: Literal["random", "rotate", "two", "key"] = "random"
    # Consecutive failures after which a node is ejected, and the duration of the ejection.
    failures_to_eject: Count = field(default=5, name="strikes")
    ejection_time_ns: DurationRange = field(default=(4_000 * MILLISECOND, 7_000 * MILLISECOND), name="avoid")
    # Time that an op may wait for a node.
    max_wait_ns: Duration = field(default=500 * MILLISECOND, name="hold")
    connect_timeout_ns: PositiveDuration = field(default=250 * MILLISECOND, name="dial")
    # Whether an op is retried once if the first attempt is proved not executed.
    retry: Flag = field(default=True, name="again")
    # Retries as a fraction of first attempts, by op type, and the limit on saved retries.
    retry_budget: Fraction = field(default=0.2, name="budget")
    max_saved_retries: Number = field(default=10.0, name="budget_saved")
    # Whether ops in flight at a node are limited, with a limit learned from latencies.
    limited: Flag = True
    initial_limit: PositiveCount = field(default=20, name="first")
    min_limit: PositiveCount = field(default=2, name="least")
    max_limit: PositiveCount = field(default=1000, name="most")
    latency_tolerance: Annotated[Number, Meta(ge=1)] = field(default=2.0, name="tolerance")
    # Limit on ops that wait for capacity, and the fraction of the target latency for which they may wait.
    queue_length: Count = field(default=100, name="queue")
    queue_wait_fraction: Fraction = field(default=0.5, name="queue_part")


class ClientSettings(Struct, frozen=True, kw_only=True):
    """[clients]: limits on connections and requests of clients, and the response cache for repeated requests."""

    max_connections: PositiveCount = field(default=1000, name="most")
    max_connections_per_client: PositiveCount = field(default=100, name="each")
    header_timeout_ns: PositiveDuration = field(default=5_000 * MILLISECOND, name="head")
    idle_timeout_ns: PositiveDuration = field(default=60_000 * MILLISECOND, name="idle")
    max_header_bytes: PositiveCount = field(default=1 << 15, name="head_bytes")
    max_body_bytes: PositiveCount = field(default=64 << 20, name="body_bytes")
    # Limit on bytes of a request body that are retained for a retry.
    max_retained_body_bytes: Count = field(default=1 << 16, name="kept_bytes")
    idempotency_header: str = field(default="Idempotency-Key", name="key")
    # Limits on cached responses of deduplicated ops.
    max_cached_answers: PositiveCount = field(default=10_000, name="answers")
    max_cached_answers_bytes: Count = field(default=16 << 20, name="answers_bytes")
    cached_answer_max_age_ns: Duration = field(default=60_000 * MILLISECOND, name="answers_age")


class NodeSettings(Struct, frozen=True, kw_only=True):
    """[nodes]: connections to a node, and its slow start."""

    max_connections: PositiveCount = field(default=64, name="most")
    idle_timeout_ns: Duration = field(default=15_000 * MILLISECOND, name="idle")
    # Requests per connection; 0: no limit.
    max_requests_per_connection: Count = field(default=0, name="uses")
    # Time within which requests in flight must end after a node is withdrawn.
    grace_ns: Duration = field(default=1_500 * MILLISECOND, name="grace")
    # Duration of slow start (0: none), and the fraction of its weight that a node has at its beginning.
    slow_start_ns: Duration = field(default=0, name="warm_up")
    slow_start_from: Fraction = field(default=0.2, name="cold_from")


class ZoneSettings(Struct, frozen=True, kw_only=True):
    """[zones]: preference for near zones, spill to farther ones, and detection of lost zones."""

    # Whether the own zone is used first, then nearer ones; requires `limited` in [tries].
    prefer_near: Flag = field(default=False, name="prefer")
    # By tier, the fraction of a node's capacity that spill may use.
    spill_fractions: Words = field(default=("80%", "50%"), name="spill")
    # Zones whose distances differ by at most this form one tier.
    tier_width_ns: Duration = field(default=500_000, name="near")
    # Fractions of the own zone's capacity in flight from which requests spill, and below which spill ends.
    spill_begins_at: Fraction = field(default=0.9, name="begins")
    spill_ends_at: Fraction = field(default=0.7, name="ends")
    # If a smaller fraction of the nodes is usable, all nodes are used, whatever the state of their zones.
    panic_threshold: Fraction = field(default=0.5, name="panic")
    # Consecutive attempts without a response after which a zone counts as lost.
    failures_to_lose_zone: PositiveCount = field(default=8, name="strikes")
    # `free_losses` within the window cause no hold-down. The next loss holds a zone down for `first_hold_ns`, which
    # doubles with each loss up to `max_hold_ns`. After `reset_after_ns` without a loss the count starts again.
    loss_window_ns: Duration = field(default=60_000 * MILLISECOND, name="window")
    free_losses: Count = field(default=1, name="free")
    first_hold_ns: Duration = field(default=5_000 * MILLISECOND, name="first")
    max_hold_ns: Duration = field(default=120_000 * MILLISECOND, name="longest")
    reset_after_ns: Duration = field(default=180_000 * MILLISECOND, name="quiet")


class OpTypeSettings(Struct, frozen=True, kw_only=True):
    """[op NAME]: an op type. A request has the first type that matches its method and path; an empty method is any."""

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
    """Read the settings of a reference proxy.

    :raises InvalidSettingsError: they cannot be used.
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
    """Raise InvalidSettingsError if an address is invalid, or there is no source of tables."""
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
        raise ini.error(section, None, "expected `hub` or `state`, as a source of tables")


def _check_zones(ini: IniFile, settings: ReferenceProxySettings) -> None:
    """Raise InvalidSettingsError if the settings of zones are invalid or contradict each other."""
    section, zones = ini.find_section("zones"), settings.zones
    try:
        for fraction in zones.spill_fractions:
            parse_fraction(fraction)
    except ValueError as err:
        raise ini.error(section, "spill", str(err)) from None
    if zones.spill_ends_at > zones.spill_begins_at:
        raise ini.error(section, "ends", "expected a value not greater than `begins`")
    if zones.prefer_near and not settings.attempts.limited:
        reason = "requires `limited` in [tries], as its limits show when a zone is full"
        raise ini.error(section, "prefer", reason)


def _check_op_types(ini: IniFile, op_types: dict[str, OpTypeSettings]) -> None:
    """Raise InvalidSettingsError if there is no op type, or the target of one is above its time-out."""
    if not op_types:
        raise ini.error(None, None, "expected at least one section [op NAME]")
    for section in ini.sections:
        if section.kind == "op":
            op_type = op_types[section.name]
            if op_type.target_latency_ns > op_type.timeout_ns:
                raise ini.error(section, "target", "expected a time within the op timeout")
