"""Peers on loopback that read late, or are cut off from the network."""

import asyncio
import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26  # asm-generic/socket.h; Python has no name for it
BPF_RETURN = 0x06  # linux/bpf_common.h: BPF_RET | BPF_K
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 0))  # struct sock_filter
WINDOW_BYTES = 64 << 10


def cut_off(sock):
    """Make this socket receive no packet any more: it acknowledges nothing, as if its machine had lost power."""
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", 1, ctypes.addressof(DROP_ALL)))


class PausedReader(asyncio.Protocol):
    """A peer that reads nothing until it is told to; `received` is what it has read."""

    def __init__(self):
        self.transport, self.received, self.ended = None, bytearray(), False

    def connection_made(self, transport):
        self.transport = transport
        transport.pause_reading()

    def read_on(self):
        self.transport.resume_reading()

    def cut_off(self):
        cut_off(self.transport.get_extra_info("socket"))

    def data_received(self, data):
        self.received += data

    def connection_lost(self, exc):
        self.ended = True


async def listen(protocol, host="127.0.0.1"):
    """Return a server with small receive windows for this protocol, and its port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.bind((host, 0))
    server = await asyncio.get_running_loop().create_server(protocol, sock=sock)
    return server, sock.getsockname()[1]
