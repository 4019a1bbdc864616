"""The complete answer to a call."""

import re
from typing import NamedTuple

from kestrelplank.http.asgi import Headers
from kestrelplank.time_units import MILLISECOND, SECOND

DEFAULT_IDLE_NS = 8_500 * MILLISECOND  # for which an idle connection is kept if its server does not say how long
# We close an idle connection before its server would: else a request could be on its way as the server closes it.
IDLE_MARGIN_NS = 1_500 * MILLISECOND
KEEP_ALIVE_TIMEOUT = re.compile(rb"\btimeout=(\d{1,9})\b")  # seconds; RFC 2068, section 19.7.1.1


class Answer(NamedTuple):
    """An answer in full.

    :param headers: as they came, in their order.
    :param fields: the headers by lower-case name, the last of several.
    """

    status: int
    headers: Headers
    fields: dict[bytes, bytes]
    body: bytes

    def single_value(self, name: bytes) -> bytes | None:
        """Return the value of that header, by lower-case name, where it occurs once; else None."""
        values = [value for key, value in self.headers if key.lower() == name]
        return values[0] if len(values) == 1 else None

    def max_idle_ns(self) -> int:
        """Return how long the connection on which this came may be kept idle: less than its server keeps it."""
        timeout = KEEP_ALIVE_TIMEOUT.search(self.fields.get(b"keep-alive", b""))
        return max(0, int(timeout[1]) * SECOND - IDLE_MARGIN_NS) if timeout else DEFAULT_IDLE_NS
