"""Acknowledgements and reports that a proxy posts to its update source: one call at a time, in order.

An acknowledgement is retried until it is answered. A report is sent only once, since one whose response was lost may
already have been counted.
"""

from collections import deque
from collections.abc import Mapping

import msgspec

from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.sockets.http import DIAL_TIMEOUT_NS, Client
from kestrelplank.time_units import MILLISECOND

ACKNOWLEDGEMENT_PATH, REPORT_PATH = "/v1/done", "/v1/reports"
MAX_POSTS = 64  # in the queue; beyond it the oldest report is dropped, or the oldest post where there is no report
MAX_RESPONSE_BYTES = 1 << 12
CALL_TIMEOUT_NS = 500 * MILLISECOND
RETRY_INTERVAL_NS = 20 * MILLISECOND
OK = 200


class UpdatePosts:
    """A queue of posts, of which the first is in progress."""

    def __init__(self, io: ProxyIo, source_address: str) -> None:
        self._loop, self._counters = io.loop, io.counters
        self._posts: deque[tuple[str, bytes]] = deque()  # path and body
        self._client = Client(io.loop, io.buffers, source_address, self, DIAL_TIMEOUT_NS, MAX_RESPONSE_BYTES)

    def add(self, path: str, body: Mapping[str, object]) -> None:
        """Append a post to the queue."""
        self._posts.append((path, msgspec.json.encode(body)))
        while len(self._posts) > MAX_POSTS:
            dropped = next((post for post in self._posts if post[0] == REPORT_PATH), self._posts[0])
            self._posts.remove(dropped)
            self._counters.add("posts_dropped")
        self._send_next()

    def _send_next(self) -> None:
        if self._posts and not self._client.busy:
            path, body = self._posts[0]
            self._client.call("POST", path, body, CALL_TIMEOUT_NS)

    def on_answer(self, status: int, body: bytes) -> None:  # noqa: ARG002 - the client's callback signature
        """Remove the answered post and send the next one."""
        self._posts.popleft()
        if status != OK:
            self._counters.record_fault("posts_refused", f"status {status}")
        self._send_next()

    def on_failure(self, why: str) -> None:
        """Handle a call without a response: drop a report, and send the next post after a pause."""
        self._counters.record_fault("posts_broken", why)
        if self._posts and self._posts[0][0] == REPORT_PATH:
            self._posts.popleft()
        if self._posts:
            self._loop.at(self._loop.now() + RETRY_INTERVAL_NS, self._send_next)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()
