"""The complete answer to a call."""

import re
from typing import NamedTuple

from kestrelplank.http.asgi import Headers
from kestrelplank.time_units import MILLISECOND, SECOND

DEFAULT_IDLE_NS = 8_500 * MILLISECOND  # idle time-out of a connection whose server sends no `Keep-Alive: timeout`
# Idle connections are closed this long before their server does, so that no request is in transit when it closes.
IDLE_MARGIN_NS = 1_500 * MILLISECOND
NOT_EXECUTED = b"x-not-executed"
KEEP_ALIVE_TIMEOUT = re.compile(rb"\btimeout=(\d{1,9})\b")  # seconds; RFC 2068, section 19.7.1.1


class Answer(NamedTuple):
    """A complete answer.

    :param headers: as received, in order.
    :param fields: header values by lower-case name; the last value where a name repeats.
    """

    status: int
    headers: Headers
    fields: dict[bytes, bytes]
    body: bytes

    def single_value(self, name: bytes) -> bytes | None:
        """Return the value of the header with that lower-case name, or None unless it occurs exactly once."""
        values = [value for key, value in self.headers if key.lower() == name]
        return values[0] if len(values) == 1 else None

    def states_not_executed(self) -> bool:
        """Whether the server states that it has not run the request."""
        return NOT_EXECUTED in self.fields

    def max_idle_ns(self) -> int:
        """Return how long the connection of this answer may stay idle: less than its server allows, in ns."""
        timeout = KEEP_ALIVE_TIMEOUT.search(self.fields.get(b"keep-alive", b""))
        return max(0, int(timeout[1]) * SECOND - IDLE_MARGIN_NS) if timeout else DEFAULT_IDLE_NS
