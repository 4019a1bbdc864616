"""Buffers of one size to read into, used again."""


class BufferPool:
    """Hands out buffers of `size` bytes; whoever takes one gives it back.

    At most `most_kept` are kept for the next taker; `out` are taken at present.
    """

    def __init__(self, size: int, most_kept: int) -> None:
        self.size, self._most_kept, self.out = size, most_kept, 0
        self._free: list[bytearray] = []

    def take(self) -> bytearray:
        """Return a buffer, to be given back."""
        self.out += 1
        return self._free.pop() if self._free else bytearray(self.size)

    def give(self, buffer: bytearray) -> None:
        """Give a buffer back."""
        self.out -= 1
        if len(self._free) < self._most_kept:
            self._free.append(buffer)
