"""The request headers that the gateway interprets, and the headers that it sends to servers."""

from collections.abc import Iterator

from kestrelplank.forwarding.request import ForwardedRequest
from kestrelplank.http.asgi import Headers
from kestrelplank.time_units import MILLISECOND, SECOND

ATTEMPT_ID, DEADLINE, SHARD_KEY = b"x-attempt-id", b"x-deadline-remaining", b"x-shard-key"
TARGET_INSTANCE = b"x-target-instance"
CONNECTION, HOST = b"connection", b"host"
TRANSFER_ENCODING, CHUNKED = b"transfer-encoding", b"chunked"
AUTHORIZATION, TENANT_NAME = b"authorization", b"x-tenant-name"
# May occur at most once: with two values, the gateway and the server might use different ones.
SINGLE_HEADERS = (HOST, ATTEMPT_ID, DEADLINE, SHARD_KEY, TRANSFER_ENCODING)
# RFC 9110, section 7.6.1, and the headers that state the length of a body: each hop sets its own.
HOP_BY_HOP_HEADERS = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
}
NOT_FORWARDED = HOP_BY_HOP_HEADERS | {DEADLINE, TARGET_INSTANCE}  # the latter two are set for each attempt
# With tenants in force: the key concerns the gateway alone, and the tenant's name is set from the key.
NOT_FORWARDED_WITH_TENANTS = {AUTHORIZATION, TENANT_NAME}
# A client can't have these dropped by naming them in `Connection`: servers identify and route the request by them.
ALWAYS_FORWARDED = {HOST, ATTEMPT_ID, SHARD_KEY}
DEFAULT_CLIENT_TIMEOUT_NS = 30 * SECOND  # for a client that sends no valid `X-Deadline-Remaining`
MAX_CLIENT_TIMEOUT_NS = 600 * SECOND  # the longest route time-out: `configuration.validation.MAX_ROUTE_TIMEOUT_S`

Fields = dict[bytes, bytes]  # header values by lower-case name; the last value where a name repeats


def is_ambiguous(headers: Headers, fields: Fields) -> bool:
    """Whether a header of `SINGLE_HEADERS` occurs twice, `X-Attempt-Id` is missing or empty, or the body is encoded.

    Servers get a body with its length; a transfer coding other than `chunked` would still be on it.
    """
    if fields.get(TRANSFER_ENCODING, CHUNKED).lower() != CHUNKED:
        return True
    names = [name for name, _ in headers if name in SINGLE_HEADERS]
    return len(names) != len(set(names)) or not fields.get(ATTEMPT_ID)


def client_timeout_ns(fields: Fields) -> int:
    """Return how long the client waits: its `X-Deadline-Remaining` (ms), clamped; without a valid one, the default."""
    try:
        remaining_ns = round(float(fields.get(DEADLINE, b"")) * MILLISECOND)
    except (ValueError, OverflowError):
        return DEFAULT_CLIENT_TIMEOUT_NS
    return min(MAX_CLIENT_TIMEOUT_NS, max(0, remaining_ns))


def authorizations(headers: Headers) -> list[bytes]:
    """Return the values of all `Authorization` headers."""
    return [value for name, value in headers if name == AUTHORIZATION]


def server_headers(headers: Headers, fields: Fields, body: bytes, request: ForwardedRequest) -> Headers:
    """Return the headers to forward to every server, without those that differ between attempts."""
    dropped = NOT_FORWARDED.union(connection_options(headers))
    forwarded = [(name, value) for name, value in headers if name not in dropped]
    if request.has_tenants:
        forwarded = [(name, value) for name, value in forwarded if _canonical(name) not in NOT_FORWARDED_WITH_TENANTS]
    if request.tenant is not None:
        forwarded.append((TENANT_NAME, request.tenant.name.encode()))
    if body or b"content-length" in fields or b"transfer-encoding" in fields:
        forwarded.append((b"content-length", str(len(body)).encode()))
    return forwarded


def connection_options(headers: Headers) -> Iterator[bytes]:
    """Yield the names of headers that concern the client's connection only, as its `Connection` headers list them."""
    for name, value in headers:
        if name == CONNECTION:
            options = (option.strip(b" \t").lower() for option in value.split(b","))
            yield from (option for option in options if option not in ALWAYS_FORWARDED)


def _canonical(name: bytes) -> bytes:
    """Return the name by which a server may read the header: many frameworks take an underscore for a hyphen."""
    return name.replace(b"_", b"-")


def attempt_headers(server: str, timeout_ns: int) -> Headers:
    """Return the headers of one attempt: the remaining deadline (ms) and the name of the intended server.

    A different server at the same address answers a request for that name with 421.
    """
    return [
        (DEADLINE, str(max(1, timeout_ns // MILLISECOND)).encode()),
        (TARGET_INSTANCE, server.encode()),
    ]
