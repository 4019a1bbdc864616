"""Socket options."""

import asyncio
import socket

from kestrelplank.http.socket_options import listening_socket


def test_accepted_sockets_have_tcp_nodelay():
    """Guards against a body delayed until the head is acknowledged, 40 ms on a real machine."""

    async def program():
        nodelay = asyncio.get_running_loop().create_future()
        sock = listening_socket("127.0.0.1", 0)
        server = await asyncio.start_server(
            lambda _, writer: nodelay.set_result(
                writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            ),
            sock=sock,
        )
        _, writer = await asyncio.open_connection(*sock.getsockname())
        result = await nodelay
        writer.close()
        server.close()
        return result

    assert asyncio.run(program()) == 1
