"""A server of a sharded service, from the platform's list."""

from typing import NamedTuple


class ShardServer(NamedTuple):
    """One incarnation of a server: its name is unique, while a later server may have the same address.

    :param slots: the number of requests that it processes at a time.
    :param ready: it may be given keys; False while it is draining.
    :param warming_until: when its warm-up, during which it is slower, ends (ns of this process's monotonic clock).
    """

    name: str
    address: str
    zone: str
    slots: int
    ready: bool
    warming_until: int
