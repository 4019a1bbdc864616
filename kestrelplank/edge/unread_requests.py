"""Connections on which a server has answered a request before it has read the whole body, and reads on."""

import asyncio

from kestrelplank.http.connection import Connection

MAX_UNREAD_S = 10.0  # for a server to read the rest of a request that it has answered


class UnreadRequests:
    """Such connections, by the server's address. They are not used again, and closed once the rest has been read."""

    def __init__(self) -> None:
        self._readers: dict[str, dict[asyncio.Task[None], Connection]] = {}  # the oldest first

    def count(self, address: str) -> int:
        """Return the number of these connections to that server."""
        return len(self._readers.get(address, ()))

    def keep(self, address: str, connection: Connection) -> asyncio.Task[None]:
        """Keep the connection until the server has read the rest; return the task that is done then.

        The connection is reset if that takes longer than `MAX_UNREAD_S`.
        """
        task = asyncio.create_task(_close_once_read(connection))
        self._readers.setdefault(address, {})[task] = connection
        task.add_done_callback(lambda done: self._forget(address, done))
        return task

    def reset_oldest(self, address: str) -> None:
        """Reset the oldest of these connections to that server, to make room for another."""
        task = next(iter(self._readers[address]))
        self._readers[address].pop(task).reset()

    def _forget(self, address: str, task: asyncio.Task[None]) -> None:
        readers = self._readers[address]
        readers.pop(task, None)
        if not readers:
            del self._readers[address]


async def _close_once_read(connection: Connection) -> None:
    """Close the connection once all that was sent on it has been read, or reset it after `MAX_UNREAD_S`."""
    try:
        async with asyncio.timeout(MAX_UNREAD_S):
            await connection.stream.wait_until_read()
    except TimeoutError:
        connection.reset()
    else:
        connection.close()
