"""Sockets of ours."""

import asyncio
import socket

from kestrelplank.http.socket_options import listening_socket


def test_small_writes_to_who_connects_are_sent_at_once():
    """Guards against an answer whose body waits for the acknowledgement of its head: 40 ms each on a real machine."""

    async def program():
        delays = asyncio.get_running_loop().create_future()
        sock = listening_socket("127.0.0.1", 0)
        server = await asyncio.start_server(
            lambda _, writer: delays.set_result(
                writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            ),
            sock=sock,
        )
        _, writer = await asyncio.open_connection(*sock.getsockname())
        found = await delays
        writer.close()
        server.close()
        return found

    assert asyncio.run(program()) == 1
