"""What the head of a client's request says to a gateway, and the headers of the request as it goes to a server."""

from kestrelplank.http.asgi import Headers
from kestrelplank.time_units import MILLISECOND, SECOND

ATTEMPT_ID, DEADLINE, SHARD_KEY = b"x-attempt-id", b"x-deadline-remaining", b"x-shard-key"
TARGET_INSTANCE = b"x-target-instance"
SINGLE_HEADERS = (ATTEMPT_ID, DEADLINE, SHARD_KEY)  # of two of them, we and the server might heed different ones
# RFC 9110, section 7.6.1, and the headers that say how long a body is: each hop has its own.
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
NOT_FORWARDED = HOP_BY_HOP_HEADERS | {DEADLINE, TARGET_INSTANCE}  # each attempt has its own of the latter two
DEFAULT_CLIENT_TIMEOUT_NS = 30 * SECOND  # of a client that does not say how long it waits
MAX_CLIENT_TIMEOUT_NS = 600 * SECOND  # no route holds a request longer

Fields = dict[bytes, bytes]  # headers by lower-case name, the last of several


def is_ambiguous(headers: Headers, fields: Fields) -> bool:
    """Whether it is not certain whose request it is, or what it asks for."""
    names = [name for name, _ in headers if name in SINGLE_HEADERS]
    return len(names) != len(set(names)) or not fields.get(ATTEMPT_ID)


def client_timeout_ns(fields: Fields) -> int:
    """Return how long the client waits."""
    try:
        remaining_ns = round(float(fields.get(DEADLINE, b"")) * MILLISECOND)
    except (ValueError, OverflowError):
        return DEFAULT_CLIENT_TIMEOUT_NS
    return min(MAX_CLIENT_TIMEOUT_NS, max(0, remaining_ns))


def server_headers(headers: Headers, fields: Fields, body: bytes) -> Headers:
    """Return the headers that go to each server; those that differ from attempt to attempt are not among them."""
    forwarded = [(name, value) for name, value in headers if name not in NOT_FORWARDED]
    if body or b"content-length" in fields or b"transfer-encoding" in fields:
        forwarded.append((b"content-length", str(len(body)).encode()))
    return forwarded


def attempt_headers(server: str, timeout_ns: int) -> Headers:
    """Return the headers of one attempt: what is left of the deadline, and the server that is meant."""
    return [
        (DEADLINE, str(max(1, timeout_ns // MILLISECOND)).encode()),
        (TARGET_INSTANCE, server.encode()),
    ]
