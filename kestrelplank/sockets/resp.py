"""RESP2 as the collectors speak it: arrays of bulk strings, taken apart as the bytes come in."""

from collections.abc import Iterator

from kestrelplank.decode import MalformedError

MOST_BYTES = 1 << 20  # of one message
MOST_STRINGS = 1024  # of one message: many small strings take far more memory than their bytes
MOST_DIGITS = 8
END = b"\r\n"
NO_STRING = -1


def encode(*strings: bytes) -> bytes:
    """Return a message of these strings."""
    return b"*%d\r\n" % len(strings) + b"".join(b"$%d\r\n%s\r\n" % (len(string), string) for string in strings)


class Parser:
    """Reads messages from a stream of bytes.

    Every limit is checked before memory is reserved. Invalid bytes raise MalformedError, after which the rest of the
    stream must not be parsed.
    """

    def __init__(self, most_bytes: int = MOST_BYTES) -> None:
        self.most_bytes = most_bytes  # of one message
        self._received, self._position = bytearray(), 0
        self._strings: list[bytes] = []  # of the message that is being read
        self._strings_left, self._message_bytes = 0, 0
        self._string_bytes = NO_STRING  # of the string that is being read

    def feed(self, data: bytes | memoryview) -> Iterator[list[bytes]]:
        """Take what has come, and yield each message that it completes.

        :raises MalformedError: the bytes are no message.
        """
        self._received += data
        while self._read_string() if self._string_bytes >= 0 else self._read_header():
            if not self._strings_left and self._strings:
                message, self._strings = self._strings, []
                yield message
        del self._received[: self._position]
        self._position = 0

    def _read_string(self) -> bool:
        """Read one string, if all of it has come."""
        end = self._position + self._string_bytes
        if len(self._received) < end + len(END):
            return False
        if self._received[end : end + len(END)] != END:
            raise MalformedError("a bulk string does not end where it says")
        self._strings.append(bytes(self._received[self._position : end]))
        self._position, self._string_bytes = end + len(END), NO_STRING
        self._strings_left -= 1
        return True

    def _read_header(self) -> bool:
        """Read the header of a message or of one of its strings, if all of it has come."""
        number = self._read_number(b"$" if self._strings_left else b"*")
        if number is None:
            return False
        if self._strings_left:
            self._message_bytes += number
            if self._message_bytes > self.most_bytes:
                raise MalformedError("a message is too large")
            self._string_bytes = number
        elif number > MOST_STRINGS:
            raise MalformedError(f"a message of {number} parts")
        else:
            self._strings_left, self._message_bytes = number, 0
        return True

    def _read_number(self, sign: bytes) -> int | None:
        most = self._position + MOST_DIGITS + len(sign) + len(END)
        end = self._received.find(END, self._position, most)
        line = bytes(self._received[self._position : most if end < 0 else end])
        if (line and line[:1] != sign) or (end < 0 and len(line) > MOST_DIGITS + len(END)):
            raise MalformedError(f"expected {sign.decode()} and a number, got {line!r}")
        if end < 0:
            return None
        if not line[1:].isdigit():
            raise MalformedError(f"expected {sign.decode()} and a number, got {line!r}")
        self._position = end + len(END)
        return int(line[1:])
