import socket

from parties import MS, read_available, wait_until

from kestrelplank.sockets.connection import Connection, Listener, OutboundConnection, address


class RecordingHandler:
    def __init__(self):
        self.received, self.closed = bytearray(), []

    def on_data(self, data):
        self.received += data

    def on_close(self, why):
        self.closed.append(why)


def connected_pair(kit, max_unsent_bytes):
    local, remote = socket_pair()
    handler = RecordingHandler()
    return Connection(kit.loop, kit.pool, local, handler, max_unsent_bytes), handler, remote


def socket_pair():
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        return client, server.accept()[0]


def test_unsent_bytes_are_kept_in_order_up_to_the_limit(kit):
    connection, handler, remote = connected_pair(kit, 8 << 20)
    remote.setblocking(False)
    sent, received = b"".join(b"%07d" % i for i in range(900_000)), bytearray()
    connection.write(sent)
    wait_until(kit.loop, lambda: received.extend(read_available(remote) or b"") or len(received) == len(sent))
    assert bytes(received) == sent and not handler.closed
    connection.write(b"x" * (9 << 20))
    connection.close("again")
    assert handler.closed == ["the peer does not read"] and kit.pool.in_use == 0
    remote.close()


def test_connection_closed_in_the_iteration_it_is_established_is_not_called_back(kit):
    """Guards against reading the error of a closed socket, whose descriptor may have been reused."""

    class CompetingHandler:
        def on_open(self):
            opened.append(self)
            for other in connections:
                if other is not self.local:
                    other.close("closed by the test")

        def on_close(self, why):
            closed.append(why)

    opened, closed, connections = [], [], []
    with socket.create_server(("127.0.0.1", 0)) as server:
        to = address("127.0.0.1:%d" % server.getsockname()[1])
        for handler in (CompetingHandler(), CompetingHandler()):
            handler.local = OutboundConnection(kit.loop, kit.pool, to, handler, 99, 250 * MS)
            connections.append(handler.local)
        wait_until(kit.loop, lambda: opened)
        assert len(opened) == 1 and closed == ["closed by the test"]


def test_listener_out_of_descriptors_pauses_and_resumes(kit, monkeypatch):
    accepted, failures = [], []
    listener = Listener(kit.loop, ("127.0.0.1", 0), accepted.append, failures.append, 20 * MS)
    accept, accept_calls = listener._sock.accept, []

    class ExhaustedSocket:
        def __getattr__(self, name):
            return getattr(real, name)

        def accept(self):
            accept_calls.append(1)
            if len(accept_calls) == 1:
                raise OSError(24, "EMFILE")
            return accept()

    real, listener._sock = listener._sock, ExhaustedSocket()
    sock = socket.create_connection(listener.at)
    wait_until(kit.loop, lambda: accepted)
    assert failures == ["EMFILE"] and len(accept_calls) <= 4
    listener._sock = real
    listener.close()
    for connection in (sock, *accepted):
        connection.close()
