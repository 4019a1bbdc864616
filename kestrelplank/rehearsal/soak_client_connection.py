"""A connection of a soak's client: it writes requests, and tells how each ended."""

import asyncio
from typing import NamedTuple

MAX_HEAD_BYTES = 1 << 16


class MalformedAnswerError(Exception):
    """The bytes received are no answer.

    :param data: what was received.
    """

    def __init__(self, data: bytes) -> None:
        super().__init__("malformed answer")
        self.data = data


class ReceivedAnswer(NamedTuple):
    """A complete answer, with its headers by lower-case name."""

    status: int
    fields: dict[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        """Whether the connection takes no further request."""
        return "close" in self.fields.get("connection", "").lower()


class ClientConnection:
    """A connection to an edge."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    async def write(self, data: bytes) -> None:
        """Write bytes.

        :raises OSError: the connection has ended.
        """
        self._writer.write(data)
        await self._writer.drain()

    async def read_answer(self) -> ReceivedAnswer:
        """Return the next complete answer.

        :raises OSError: the connection was reset.
        :raises asyncio.IncompleteReadError: it ended.
        :raises MalformedAnswerError: the bytes are no answer.
        """
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        parts = first.split(" ", 2)
        if parts[0] not in ("HTTP/1.1", "HTTP/1.0") or not parts[1:2] or not parts[1].isdecimal():
            raise MalformedAnswerError(head)
        fields = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        length = fields.get("content-length", "")
        if not length.isdecimal():
            raise MalformedAnswerError(head)
        return ReceivedAnswer(int(parts[1]), fields, await self._reader.readexactly(int(length)))

    async def read_unasked(self, wait_s: float) -> bytes | None:
        """Return bytes that arrive while no request is waiting, b"" if the connection ends, None if neither."""
        try:
            async with asyncio.timeout(wait_s):
                return await self._reader.read(MAX_HEAD_BYTES)
        except TimeoutError:
            return None
        except OSError:
            return b""

    def abort(self) -> None:
        """End the connection at once."""
        self._writer.transport.abort()


async def connect(address: tuple[str, int], timeout_s: float) -> ClientConnection:
    """Return a new connection.

    :raises OSError: it can't be established.
    :raises TimeoutError: it is not established in time.
    """
    async with asyncio.timeout(timeout_s):
        return ClientConnection(*await asyncio.open_connection(*address, limit=MAX_HEAD_BYTES))
