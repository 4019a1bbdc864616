"""A server of a sharded service, as the platform lists it."""

from typing import NamedTuple


class ShardServer(NamedTuple):
    """One start of a server: its name is its own, while its address may pass to the next one.

    :param slots: requests that it works on at a time.
    :param ready: it may be given keys; False while it drains.
    :param warming_until: it has just started, and is slower than it will be until then (ns, our steady clock).
    """

    name: str
    address: str
    zone: str
    slots: int
    ready: bool
    warming_until: int
