"""RESP2 as the collectors speak it: arrays of bulk strings, taken apart as the bytes come in."""

from collections.abc import Iterator

from kestrelplank.decode import Malformed

MOST_BYTES = 1 << 20  # of one message
MOST_PARTS = 1024  # of one message: many small parts take far more memory than their bytes
MOST_DIGITS = 8


def encode(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Parser:
    """`feed` takes what has come and yields each message that it completes, a list of bytes. Every bound is
    checked before anything is kept for it; bytes that break the form raise Malformed, and the rest of the
    stream can't be trusted then."""

    def __init__(self, most: int = MOST_BYTES) -> None:
        self.most = most  # bytes of one message
        self._held, self._at = bytearray(), 0
        self._parts: list[bytes] = []
        self._left, self._size, self._bytes = 0, -1, 0

    def feed(self, data: bytes | memoryview) -> Iterator[list[bytes]]:
        self._held += data
        while True:
            if self._size >= 0:
                end = self._at + self._size
                if len(self._held) < end + 2:
                    break
                if self._held[end : end + 2] != b"\r\n":
                    raise Malformed("a bulk string does not end where it says")
                self._parts.append(bytes(self._held[self._at : end]))
                self._at, self._size, self._left = end + 2, -1, self._left - 1
            else:
                number = self._header(b"$" if self._left else b"*")
                if number is None:
                    break
                if self._left:
                    self._bytes += number
                    if self._bytes > self.most:
                        raise Malformed("a message is too large")
                    self._size = number
                    continue
                if number > MOST_PARTS:
                    raise Malformed(f"a message of {number} parts")
                self._left, self._bytes = number, 0
            if not self._left and self._parts:
                message, self._parts = self._parts, []
                yield message
        del self._held[: self._at]
        self._at = 0

    def _header(self, mark: bytes) -> int | None:
        end = self._held.find(b"\r\n", self._at, self._at + MOST_DIGITS + 3)
        line = bytes(self._held[self._at : self._at + MOST_DIGITS + 3] if end < 0 else self._held[self._at : end])
        if line and line[:1] != mark or end < 0 and len(line) > MOST_DIGITS + 2:
            raise Malformed(f"expected {mark.decode()} and a number, got {line!r}")
        if end < 0:
            return None
        if not line[1:].isdigit():
            raise Malformed(f"expected {mark.decode()} and a number, got {line!r}")
        self._at = end + 2
        return int(line[1:])
