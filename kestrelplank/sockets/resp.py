"""The subset of RESP2 that collectors use: arrays of bulk strings, parsed incrementally."""

from collections.abc import Iterator

from kestrelplank.decode import MalformedError

MAX_MESSAGE_BYTES = 1 << 20  # of one message
MAX_STRINGS_PER_MESSAGE = 1024  # many small strings take far more memory than their bytes
MAX_DIGITS = 8  # of a length
END = b"\r\n"
NO_STRING = -1


def encode(*strings: bytes) -> bytes:
    """Encode strings as one message."""
    return b"*%d\r\n" % len(strings) + b"".join(b"$%d\r\n%s\r\n" % (len(string), string) for string in strings)


class Parser:
    """Parses messages from a stream of bytes.

    Every limit is checked before memory is reserved. Invalid bytes raise MalformedError, after which the rest of the
    stream must not be parsed.
    """

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_message_bytes = max_message_bytes  # of one message
        self._received, self._position = bytearray(), 0
        self._strings: list[bytes] = []  # of the message that is being read
        self._strings_left, self._message_bytes = 0, 0
        self._string_bytes = NO_STRING  # of the string that is being read

    def feed(self, data: bytes | memoryview) -> Iterator[list[bytes]]:
        """Parse received bytes and yield each complete message.

        :raises MalformedError: the bytes violate the protocol or a limit.
        """
        self._received += data
        while self._read_string() if self._string_bytes >= 0 else self._read_header():
            if not self._strings_left and self._strings:
                message, self._strings = self._strings, []
                yield message
        del self._received[: self._position]
        self._position = 0

    def _read_string(self) -> bool:
        """Read one string; return False if it is incomplete."""
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
        """Read the header of a message or of one of its strings; return False if it is incomplete."""
        number = self._read_number(b"$" if self._strings_left else b"*")
        if number is None:
            return False
        if self._strings_left:
            self._message_bytes += number
            if self._message_bytes > self.max_message_bytes:
                raise MalformedError("a message is too large")
            self._string_bytes = number
        elif number > MAX_STRINGS_PER_MESSAGE:
            raise MalformedError(f"a message of {number} parts")
        else:
            self._strings_left, self._message_bytes = number, 0
        return True

    def _read_number(self, marker: bytes) -> int | None:
        """Read the number after the type byte `marker`; return None if it is incomplete."""
        search_end = self._position + MAX_DIGITS + len(marker) + len(END)
        end = self._received.find(END, self._position, search_end)
        line = bytes(self._received[self._position : search_end if end < 0 else end])
        if (line and line[:1] != marker) or (end < 0 and len(line) > MAX_DIGITS + len(END)):
            raise MalformedError(f"expected {marker.decode()} and a number, got {line!r}")
        if end < 0:
            return None
        if not line[1:].isdigit():
            raise MalformedError(f"expected {marker.decode()} and a number, got {line!r}")
        self._position = end + len(END)
        return int(line[1:])
