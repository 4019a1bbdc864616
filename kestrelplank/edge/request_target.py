"""The target of a request: what servers receive, and the path that chooses its route (RFC 9112, section 3.2)."""

import re

from kestrelplank.configuration.authority import Authority, parse_authority
from kestrelplank.forwarding.errors import BadRequestError

_ABSOLUTE_FORM = re.compile(rb"(https?)://([^/?#]*)(.*)", re.IGNORECASE)
_DEFAULT_PORTS = {b"http": 80, b"https": 443}


def origin_form(target: bytes, host: bytes) -> bytes:
    """Return the target for a server: path and query as the client sent them, without the origin of an absolute target.

    :param host: the `Host` header, by which the request is routed.
    :raises BadRequestError: the target is absolute and names another authority than `host`, or an unknown scheme.
    """
    if target.startswith(b"/") or target == b"*":
        return target
    match = _ABSOLUTE_FORM.fullmatch(target)
    if match is None:
        raise BadRequestError
    scheme, authority, path_and_query = match.groups()
    origins = [_origin(scheme, text) for text in (authority, host)]
    if origins[0] is None or origins[0] != origins[1]:
        raise BadRequestError
    return path_and_query if path_and_query.startswith(b"/") else b"/" + path_and_query


def _origin(scheme: bytes, text: bytes) -> tuple[str, int] | None:
    """Return host and port, which may be the scheme's own; None if the authority is malformed."""
    authority: Authority | None = parse_authority(text.decode("latin-1"))
    if authority is None:
        return None
    return authority.host, int(authority.port or _DEFAULT_PORTS[scheme.lower()])


def path_of(target: bytes) -> str:
    """Return the path of an origin-form target, as it was sent, without query and fragment."""
    return target.partition(b"?")[0].partition(b"#")[0].decode("latin-1")
