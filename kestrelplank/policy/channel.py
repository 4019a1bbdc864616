"""The message channel to the proxies, whose queue must stay short (rule 5)."""

from collections import deque

from kestrelplank.interface import SECOND, OrderWriter, PolicySettings
from kestrelplank.policy.parameters import MAX_SENT_TIMES, WATERMARK_COUNT


class MessageInFlight:
    """A message that some proxies have not acknowledged.

    :param cost: its size in orders, overhead included.
    :param proxies: how many proxies have not acknowledged it.
    """

    __slots__ = ("cost", "proxies")

    def __init__(self, cost: float, proxies: int) -> None:
        self.cost, self.proxies = cost, proxies


class Channel:
    """Tracks the messages that proxies have not acknowledged yet.

    Messages leave the queue in order, so an acknowledgement of one proves that all older ones have left it.
    """

    def __init__(self, settings: PolicySettings) -> None:
        self.overhead, self.queue_limit = settings.message_overhead, settings.queue_limit
        self.orders_per_s = max(1.0, settings.orders_per_s)
        self.message_limit, self.message_window_ns = settings.message_limit, settings.message_window_ns
        self.unacknowledged: dict[int, deque[int]] = {}  # by joined proxy: watermarks that it has not acknowledged
        self.in_flight: dict[int, MessageInFlight] = {}  # by watermark
        self.recent_messages: deque[int] = deque()  # when each was sent (ns)
        self.next_watermark = 0
        self.sent_at: dict[int, int] = {}  # by watermark: when it was sent (ns), for the last `MAX_SENT_TIMES` messages
        self.applied_until: dict[int, int] = {}  # by known proxy: it has applied what was sent before (ns)

    def join(self, now: int, proxy: int) -> int:
        """Begin a proxy's stream; return the time before which it has applied all messages, -1 if unknown."""
        self._record_applied(now, proxy)
        self.unacknowledged[proxy] = deque()
        return self.applied_until.get(proxy, -1)

    def leave(self, now: int, proxy: int) -> None:
        """End a proxy's stream and stop waiting for its acknowledgements."""
        self._record_applied(now, proxy)
        for watermark in self.unacknowledged.pop(proxy, ()):
            if watermark in self.in_flight:
                self.in_flight[watermark].proxies -= 1

    def _record_applied(self, now: int, proxy: int) -> None:
        queue = self.unacknowledged.get(proxy)
        if queue is not None:
            self.applied_until[proxy] = self.sent_at.get(queue[0], -1) if queue else now

    def acknowledge(self, proxy: int, watermark: int) -> None:
        """Record a proxy's acknowledgement, which also covers all older messages."""
        queue = self.unacknowledged.get(proxy)
        while queue and watermark in queue:
            queue.popleft()
        if watermark in self.in_flight:
            while (oldest := next(iter(self.in_flight))) != watermark:
                del self.in_flight[oldest]
            self.in_flight[watermark].proxies -= 1

    def acknowledged_by_all(self, watermark: int | None) -> bool:
        """Whether every joined proxy has acknowledged this message."""
        return not any(watermark in queue for queue in self.unacknowledged.values())

    def capacity(self, now: int, queue_share: float, reserved_messages: int, orders_due: int) -> float:
        """Return how many orders the next message may hold.

        0 while the message limit is reached, and until all due orders fit or half of what an empty queue holds: small
        messages would fill it with overhead.
        """
        while self.recent_messages and now - self.recent_messages[0] > self.message_window_ns:
            self.recent_messages.popleft()
        if not self.unacknowledged:
            return 1e9  # no proxy has joined: no limit
        if self.message_limit and len(self.recent_messages) + reserved_messages >= self.message_limit:
            return 0
        proxies = len(self.unacknowledged)
        capacity_when_empty = self.queue_limit * queue_share / proxies - self.overhead - 1
        capacity = capacity_when_empty - self.queued() / proxies
        return capacity if capacity >= min(orders_due, capacity_when_empty / 2) else 0

    def queued(self) -> float:
        """Return the number of orders that are not known to have left the queue, overhead included."""
        return sum(message.cost * message.proxies for message in self.in_flight.values())

    def send(self, now: int, orders: int, out: OrderWriter) -> None:
        """End a message of that many orders with a watermark, and count it as in flight."""
        self.recent_messages.append(now)
        watermark = self.next_watermark
        self.sent_at.pop(watermark, None)
        self.sent_at[watermark] = now
        if len(self.sent_at) > MAX_SENT_TIMES:
            del self.sent_at[next(iter(self.sent_at))]
        # To all proxies, also those whose tables lack the node: otherwise they never acknowledge and capacity stays 0.
        out.request_acknowledgement(watermark, True, int(self.queued() / self.orders_per_s * SECOND))
        self.in_flight[watermark] = MessageInFlight(orders + self.overhead + 1, len(self.unacknowledged))
        for queue in self.unacknowledged.values():
            queue.append(watermark)
        self.next_watermark = (watermark + 1) % WATERMARK_COUNT
