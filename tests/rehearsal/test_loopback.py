"""Reserved ports on loopback."""

import asyncio
import socket

from kestrelplank.rehearsal.loopback import PortReservations

IP, OTHER_IP = "127.0.0.1", "127.0.0.2"


def connect_to(address):
    with socket.create_connection(address, timeout=5):
        return True


def can_be_bound(address):
    with socket.socket() as sock:
        try:
            sock.bind(address)
        except OSError:
            return False
        return True


def test_a_reserved_port_is_given_to_nobody_else_until_it_is_released():
    """Guards against two listeners of one test, or of tests at once, on a port that was free for both of them."""
    ports = PortReservations()
    port = ports.reserve([IP, OTHER_IP])
    assert not can_be_bound((IP, port)) and not can_be_bound((OTHER_IP, port))
    ports.release()
    assert can_be_bound((IP, port)) and can_be_bound((OTHER_IP, port))


def test_reservations_at_one_address_are_distinct():
    """Guards against a frontend and a readiness check on one port; the kernel may give a freed port again at once."""
    with PortReservations() as ports, PortReservations() as others:
        numbers = [ports.reserve([IP]) for _ in range(300)] + [others.reserve([OTHER_IP, IP]) for _ in range(300)]
    assert len(set(numbers)) == 600


def test_a_program_can_listen_on_a_reserved_port():
    async def scenario():
        with PortReservations() as ports:
            port = ports.reserve([IP])
            for _ in range(2):  # also again, as a program that is restarted
                server = await asyncio.start_server(lambda _, writer: writer.close(), IP, port)
                assert await asyncio.to_thread(connect_to, (IP, port))
                server.close()
                await server.wait_closed()

    asyncio.run(scenario())
