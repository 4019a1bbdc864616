"""Test harness: an edge program on loopback between scripted servers and clients, all of whose bytes are recorded.

The server list and the configuration are set directly in the program.
"""

import asyncio
import socket
import time
from contextlib import asynccontextmanager

from configuration.test_parsing import encoded, route

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.edge.program import EdgeProgram
from kestrelplank.http.socket_options import reset_on_close
from kestrelplank.rehearsal.loopback import PortReservations
from kestrelplank.settings.platform import Bounds, CloudApi, LocalSystem, Network, PlatformSettings
from kestrelplank.transport.server_list import ListedServer

IP = "127.0.0.1"
TEST_TIMEOUT_S = 20  # a hanging test fails
LIMITS = {"max_header_bytes": 4096, "max_body_bytes": 8 << 20, "header_timeout_s": 3, "idle_timeout_s": 15}
HOSTS = [
    {
        "host_name": "shop.example",
        "host_routes": [
            route("/safe/", "idempotent", "views"),
            route("/once/", "non_idempotent", "views"),
            route("/up/", "upload", "views"),
        ],
    }
]
SERVICES = [{"name": "views", "max_connections": 110}]


class ServerConnection:
    """One connection at a scripted server. `received`: all bytes received."""

    def __init__(self, reader, writer):
        self.reader, self.writer, self.received = reader, writer, b""

    async def _read(self, size):
        data = await self.reader.readexactly(size)
        self.received += data
        return data

    async def head(self):
        """Return the next request's first line, and its headers by lower-case name."""
        data = await self.reader.readuntil(b"\r\n\r\n")
        self.received += data
        lines = data.decode("latin-1").split("\r\n")
        return lines[0], dict(line.lower().split(": ", 1) for line in lines[1:] if line)

    async def request(self):
        """Return the next complete request: its headers and its body."""
        _, fields = await self.head()
        return fields, await self._read(int(fields.get("content-length", "0")))

    def write(self, data):
        self.writer.write(data)

    def reset(self):
        reset_on_close(self.writer.get_extra_info("socket"))
        self.writer.transport.abort()

    def close(self):
        self.writer.close()


class ScriptedServer:
    """A server that runs `script(server, connection)` for each connection and then closes it."""

    def __init__(self, name, script):
        self.name, self.script, self.connections, self.tasks = name, script, [], []
        self.port = 0

    async def start(self, port=0):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16
        )  # small, so that a server that does not read blocks the sender
        sock.bind((IP, port))
        self.listening = await asyncio.start_server(self._serve, sock=sock)
        self.port = sock.getsockname()[1]

    async def _serve(self, reader, writer):
        connection = ServerConnection(reader, writer)
        self.connections.append(connection)
        self.tasks.append(asyncio.current_task())
        try:
            await self.script(self, connection)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def request_lines(self):
        """Return the first lines of all requests received, repeated ones too."""
        lines = b"".join(connection.received for connection in self.connections).split(b"\r\n")
        return [line for line in lines if line.endswith(b"HTTP/1.1")]

    async def stop(self):
        self.listening.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def answer(fields, body=b"whole", status=200, more=""):
    """Return a server's complete answer to the request with these headers."""
    head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {fields['x-attempt-id']}\r\nX-Server-Seal: s\r\n{more}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def answer_all_requests(server, connection):
    """Script of a healthy server."""
    while True:
        fields, _ = await connection.request()
        connection.write(answer(fields))


class EdgeHarness:
    """An edge program with scripted servers."""

    def __init__(self, program, port, servers):
        self.program, self.port, self.servers = program, port, servers
        self.clients = []

    def configure(self, version="00000007", **changes):
        """Put a configuration into force."""
        fields = {"limits": LIMITS, "virtual_hosts": HOSTS, "service_table": SERVICES, **changes}
        parsed = parse_configuration(encoded(version=version, **fields)).unwrap()
        self.program.view.configuration = parsed
        self.program.set_limits(parsed)

    def set_servers(self, *servers):
        """Replace the list of the servers of `views`."""
        entries = [
            ListedServer(server.name, "views", f"{IP}:{server.port}", "hall", 4, "ready", 0) for server in servers
        ]
        now = time.monotonic_ns()
        self.program.forwarder.endpoints.update(now, entries)
        self.program.context.wake_pending()

    async def client(self):
        client = Client(*await asyncio.open_connection(IP, self.port))
        self.clients.append(client)
        return client

    async def send_request(self, *args, **kwargs):
        """Send one request on a new connection and return its answer."""
        client = await self.client()
        client.send(*args, **kwargs)
        return await client.answer()


class Client:
    """A client connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    def send(self, path="/safe/x", body=b"", attempt="me", timeout_ms=2000, method="POST", *more):
        self.writer.write(request_head(path, len(body), attempt, timeout_ms, method, *more) + body)

    async def answer(self):
        """Return the next answer (status, headers, body), or None if the connection has ended."""
        try:
            text = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        fields = dict(line.lower().split(": ", 1) for line in text.split("\r\n")[1:] if line)
        return int(text.split()[1]), fields, await self.reader.readexactly(int(fields["content-length"]))

    async def ended(self):
        """Return whether the connection ends without further bytes."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

    def reset(self):
        reset_on_close(self.writer.get_extra_info("socket"))
        self.writer.transport.abort()

    def close(self):
        self.writer.close()


def request_head(path, size, attempt="me", timeout_ms=2000, method="POST", *more):
    fields = ["Host: shop.example", f"X-Attempt-Id: {attempt}", f"X-Deadline-Remaining: {timeout_ms}", *more]
    if size is not None:
        fields.append(f"Content-Length: {size}")
    return "\r\n".join([f"{method} {path} HTTP/1.1", *fields, "", ""]).encode()


async def start_program(ports):
    """Return an edge program that listens on reserved ports, without configuration and servers."""
    frontend, readiness, sessions, seed = (ports.reserve([IP]) for _ in range(4))
    program = EdgeProgram(
        PlatformSettings(
            LocalSystem("edge-1", IP, "hall"),
            Network([sessions], [f"{IP}:{seed}"], {"frontend": f"{IP}:{frontend}", "readiness": f"{IP}:{readiness}"}),
            CloudApi(f"{IP}:9"),
            Bounds(),
        )
    )
    program.listen()
    while not program.server.started:
        await asyncio.sleep(0)
    return program


@asynccontextmanager
async def running_harness(*scripts, configured=True, just_started=False):
    """Run a harness with one server of `views` for each script.

    `just_started`: the edge may still be in the time of a planned stop, as a process that was started after one.
    """
    with PortReservations() as ports:
        servers = [ScriptedServer(f"views-{number}", script) for number, script in enumerate(scripts)]
        for server in servers:
            await server.start()
        program = await start_program(ports)
        if not just_started:
            program.forwarder.early_retries_from = 0
        harness = EdgeHarness(program, program.settings.listen_address("frontend")[1], servers)
        if configured:
            harness.configure()
            harness.set_servers(*servers)
        try:
            yield harness
        finally:
            for client in harness.clients:
                client.close()
            program.connections.close_unused(set())
            await program.close()
            for server in servers:
                await server.stop()


def run_scenario(scenario, *scripts, **options):
    """Run `scenario(harness)` on a new harness, with a time-out."""

    async def run():
        async with asyncio.timeout(TEST_TIMEOUT_S), running_harness(*scripts, **options) as harness:
            return await scenario(harness)

    return asyncio.run(run())
