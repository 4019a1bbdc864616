"""Socket options."""

import asyncio
import socket

import pytest

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


def test_an_address_in_use_is_reported_though_its_socket_was_bound_before_the_other_listened():
    """Guards against a program that goes on without its listener: its port was taken between bind and listen."""
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind(("127.0.0.1", 0))
        address = other.getsockname()
        with listening_socket(*address), pytest.raises(OSError, match=f"can't listen on 127.0.0.1:{address[1]}"):
            listening_socket(*address)
