"""The authority that a `Host` header or an absolute request target names: a host, and maybe a port (RFC 3986, 3.2)."""

import re
from typing import NamedTuple

# User information is no part of it: RFC 9110, section 4.2.4, calls for an error where a request has some.
_AUTHORITY = re.compile(r"(\[[0-9a-f:.]+\]|[^\[\]:@/?#,\s]+)(?::([0-9]{0,5}))?", re.ASCII)


class Authority(NamedTuple):
    """A host in lower case, an IPv6 address in its brackets, and the digits of the port; "" without one."""

    host: str
    port: str


def parse_authority(text: str) -> Authority | None:
    """Return the host and port in `text`, or None if it is anything else."""
    match = _AUTHORITY.fullmatch(text.lower())
    return None if match is None else Authority(match[1], match[2] or "")


def host_of(host_name: str) -> str:
    """Return the host by which requests find the routes of a configured name: without blanks around it and its port."""
    authority = parse_authority(host_name.strip())
    return host_name.strip().lower() if authority is None else authority.host
