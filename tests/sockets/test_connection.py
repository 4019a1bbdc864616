import socket

from parties import MS, read_available, wait_until

from kestrelplank.sockets.connection import Connection, Listener, OutboundConnection, address


class End:
    def __init__(self):
        self.got, self.gone = bytearray(), []

    def on_data(self, data):
        self.got += data

    def on_close(self, why):
        self.gone.append(why)


def pair(kit, most_waiting):
    ours, theirs = connected()
    end = End()
    return Connection(kit.loop, kit.pool, ours, end, most_waiting), end, theirs


def connected():
    with socket.create_server(("127.0.0.1", 0)) as server:
        one = socket.create_connection(server.getsockname())
        return one, server.accept()[0]


def test_what_a_slow_reader_leaves_waits_in_order_up_to_a_bound(kit):
    connection, end, theirs = pair(kit, 8 << 20)
    theirs.setblocking(False)
    sent, got = b"".join(b"%07d" % i for i in range(900_000)), bytearray()
    connection.write(sent)
    wait_until(kit.loop, lambda: got.extend(read_available(theirs) or b"") or len(got) == len(sent))
    assert bytes(got) == sent and not end.gone
    connection.write(b"x" * (9 << 20))
    connection.close("again")
    assert end.gone == ["the other side does not read"] and kit.pool.out == 0
    theirs.close()


def test_a_dial_given_up_in_the_turn_in_which_it_comes_up_is_not_called_back(kit):
    """Guards against a socket that was given back being asked for its error: EBADF, or another's by now."""

    class Rival:
        def on_open(self):
            opened.append(self)
            for other in dialled:
                if other is not self.ours:
                    other.close("one is enough")

        def on_close(self, why):
            gone.append(why)

    opened, gone, dialled = [], [], []
    with socket.create_server(("127.0.0.1", 0)) as server:
        to = address("127.0.0.1:%d" % server.getsockname()[1])
        for rival in (Rival(), Rival()):
            rival.ours = OutboundConnection(kit.loop, kit.pool, to, rival, 99, 250 * MS)
            dialled.append(rival.ours)
        wait_until(kit.loop, lambda: opened)
        assert len(opened) == 1 and gone == ["one is enough"]


def test_a_listener_short_of_descriptors_pauses_and_resumes(kit, monkeypatch):
    taken, troubles = [], []
    listener = Listener(kit.loop, ("127.0.0.1", 0), taken.append, troubles.append, 20 * MS)
    accept, calls = listener._sock.accept, []

    class Short:
        def __getattr__(self, name):
            return getattr(real, name)

        def accept(self):
            calls.append(1)
            if len(calls) == 1:
                raise OSError(24, "EMFILE")
            return accept()

    real, listener._sock = listener._sock, Short()
    sock = socket.create_connection(listener.at)
    wait_until(kit.loop, lambda: taken)
    assert troubles == ["EMFILE"] and len(calls) <= 4
    listener._sock = real
    listener.close()
    for each in (sock, *taken):
        each.close()
