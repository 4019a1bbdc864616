"""What Linux does with TCP_USER_TIMEOUT, on which `http.unread_bytes` is built."""

import errno
import select
import socket
import time

import pytest
from loopback_peers import WINDOW_BYTES, cut_off

from kestrelplank.http.socket_options import set_user_timeout
from kestrelplank.http.tcp_info import read_tcp_info
from kestrelplank.time_units import SECOND

BODY = bytes(16 << 20)


@pytest.fixture
def connection():
    """A connection whose peer reads nothing, and whose buffers are full."""
    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        sender = socket.create_connection(listening.getsockname())
        receiver, _ = listening.accept()
    with sender, receiver:
        sender.setblocking(False)
        set_user_timeout(sender, SECOND)
        sender.send(BODY)
        yield sender, receiver


def error_after(sock, timeout_s):
    """Return the error with which the kernel ends the connection within that time, or 0."""
    poll = select.poll()
    poll.register(sock, 0)  # errors are always reported
    poll.poll(timeout_s * 1000)
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def test_the_kernel_ends_a_connection_whose_peer_answers_and_does_not_read(connection):
    """If this fails, the system keeps such a connection by itself, and `http.peer_watch` is needed no more."""
    sender, _ = connection
    time.sleep(0.5)
    info = read_tcp_info(sender)
    assert info.unsent_bytes and info.peer_answers
    assert error_after(sender, 5) == errno.ETIMEDOUT


def test_the_kernel_ends_a_connection_whose_peer_is_cut_off(connection):
    sender, receiver = connection
    cut_off(receiver)
    assert error_after(sender, 5) == errno.ETIMEDOUT


def test_the_kernel_keeps_a_connection_without_the_option(connection):
    sender, _ = connection
    set_user_timeout(sender, 0)
    assert error_after(sender, 3) == 0
