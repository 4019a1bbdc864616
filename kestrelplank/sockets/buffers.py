"""Buffers of one size to read into, used again."""


class Pool:
    """Hands out buffers; whoever takes one gives it back. At most `most` are kept for the next taker."""

    def __init__(self, size: int, most: int) -> None:
        self.size, self._most, self.out = size, most, 0
        self._free: list[bytearray] = []

    def take(self) -> bytearray:
        self.out += 1
        return self._free.pop() if self._free else bytearray(self.size)

    def give(self, buffer: bytearray) -> None:
        self.out -= 1
        if len(self._free) < self._most:
            self._free.append(buffer)
