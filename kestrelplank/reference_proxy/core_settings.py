"""Converts the settings of a proxy's file into the settings of its components."""

from kestrelplank.load_balancing.admission import AdmissionSettings
from kestrelplank.load_balancing.attempts import AttemptSettings
from kestrelplank.load_balancing.concurrency_limits import ConcurrencyLimitSettings
from kestrelplank.load_balancing.connection_pool import PoolSettings
from kestrelplank.load_balancing.flap_damping import FlapDampingSettings
from kestrelplank.load_balancing.selection import SelectionMethod
from kestrelplank.load_balancing.zone_preference import ZonePreferenceSettings
from kestrelplank.reference_proxy.client_request import OpType
from kestrelplank.reference_proxy.exchange import ExchangeLimits
from kestrelplank.settings.ini_fields import parse_fraction
from kestrelplank.settings.reference_proxy import ReferenceProxySettings
from kestrelplank.state.idempotency_cache import CacheLimits


def op_types(settings: ReferenceProxySettings) -> list[OpType]:
    """Return the op types, in the order in which requests are matched."""
    return [
        OpType(name, op.method.upper().encode(), op.path_prefix.encode(), op.effect == "deduplicated", op.timeout_ns)
        for name, op in settings.op_types.items()
    ]


def exchange_limits(settings: ReferenceProxySettings) -> ExchangeLimits:
    """Return the limits of one exchange."""
    clients = settings.clients
    return ExchangeLimits(
        max_head_bytes=clients.max_header_bytes,
        max_resend_body_bytes=clients.max_retained_body_bytes,
        max_body_bytes=clients.max_body_bytes,
        dial_timeout_ns=settings.attempts.connect_timeout_ns,
        idempotency_key_header=clients.idempotency_header.lower().encode(),
    )


def admission_settings(settings: ReferenceProxySettings) -> AdmissionSettings:
    """Return the limits on the number and the age of client connections."""
    clients = settings.clients
    return AdmissionSettings(
        max_connections=clients.max_connections,
        max_per_client=clients.max_connections_per_client,
        head_timeout_ns=clients.header_timeout_ns,
        idle_timeout_ns=clients.idle_timeout_ns,
    )


def pool_settings(settings: ReferenceProxySettings) -> PoolSettings:
    """Return the limits of the connection pool of one node."""
    nodes = settings.nodes
    return PoolSettings(
        max_connections=nodes.max_connections,
        idle_timeout_ns=nodes.idle_timeout_ns,
        max_uses=nodes.max_requests_per_connection,
        withdrawal_grace_ns=nodes.grace_ns,
        slow_start_ns=nodes.slow_start_ns,
        initial_weight_share=nodes.slow_start_from,
    )


def answer_cache_limits(settings: ReferenceProxySettings) -> CacheLimits:
    """Return the limits of the cache of deduplicated ops' responses."""
    clients = settings.clients
    return CacheLimits(clients.max_cached_answers, clients.max_cached_answers_bytes, clients.cached_answer_max_age_ns)


def attempt_settings(settings: ReferenceProxySettings) -> AttemptSettings:
    """Return the time-outs and the node selection method of attempts."""
    attempts = settings.attempts
    timeouts_ns = [op_type.timeout_ns for op_type in settings.op_types.values()]
    return AttemptSettings(timeouts_ns, SelectionMethod(attempts.pick), attempts.max_wait_ns)


def concurrency_limit_settings(settings: ReferenceProxySettings) -> ConcurrencyLimitSettings:
    """Return the settings of the adaptive limits of ops in flight at a node."""
    attempts = settings.attempts
    return ConcurrencyLimitSettings(
        initial=attempts.initial_limit,
        minimum=attempts.min_limit,
        maximum=attempts.max_limit,
        tolerance=attempts.latency_tolerance,
    )


def zone_preference_settings(settings: ReferenceProxySettings) -> ZonePreferenceSettings:
    """Return the settings of the choice between the proxy's own zone and other zones."""
    zones = settings.zones
    return ZonePreferenceSettings(
        spill_shares=tuple(map(parse_fraction, zones.spill_fractions)),
        tier_width_ns=zones.tier_width_ns,
        spill_begin_share=zones.spill_begins_at,
        spill_end_share=zones.spill_ends_at,
        panic_share=zones.panic_threshold,
    )


def flap_damping_settings(settings: ReferenceProxySettings) -> FlapDampingSettings:
    """Return for how long a flapping zone is kept out of use."""
    zones = settings.zones
    return FlapDampingSettings(
        window_ns=zones.loss_window_ns,
        free_losses=zones.free_losses,
        first_hold_ns=zones.first_hold_ns,
        max_hold_ns=zones.max_hold_ns,
        reset_after_ns=zones.reset_after_ns,
    )
