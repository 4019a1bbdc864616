"""The objects that a proxy's components share for I/O."""

from typing import NamedTuple

from kestrelplank.assigner.counters import Counters
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.loop import Loop


class ProxyIo(NamedTuple):
    """The event loop, the buffer pool of all connections, and the counters."""

    loop: Loop
    buffers: BufferPool
    counters: Counters
