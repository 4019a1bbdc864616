"""What all parts of a proxy do I/O with."""

from typing import NamedTuple

from kestrelplank.assigner.counters import Counters
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.loop import Loop


class ProxyIo(NamedTuple):
    """The loop, the buffers of all connections, and the counters."""

    loop: Loop
    buffers: BufferPool
    counters: Counters
