"""A pool of read buffers of one size."""


class BufferPool:
    """Lends buffers of `size` bytes and keeps at most `max_free` returned ones for reuse.

    :ivar in_use: number of buffers that are lent at present.
    """

    def __init__(self, size: int, max_free: int) -> None:
        self.size, self._max_free, self.in_use = size, max_free, 0
        self._free: list[bytearray] = []

    def acquire(self) -> bytearray:
        """Return a buffer; the caller has to release it."""
        self.in_use += 1
        return self._free.pop() if self._free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer to the pool."""
        self.in_use -= 1
        if len(self._free) < self._max_free:
            self._free.append(buffer)
