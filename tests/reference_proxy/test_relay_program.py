"""Tests of the relay process: tables file, reload, stop, and handover of its socket to a successor under load."""

import json
import os
import signal
import socket

import pytest
from parties import MS, Kit, StubServer, wait_until
from test_proxy import GET, OK, Client, Node, answers_with

from kestrelplank.rehearsal.program_process import ProgramProcess
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.reference_proxy import read_reference_proxy_settings

COMMAND = ("-c", "from kestrelplank.cli import main; raise SystemExit(main())", "relay", "--config")
RELAY_FILE = """[relay]
listen = 127.0.0.1:0
hub = %s
number = 3
zone = a
slices = 4
state = %s/state
state_every = 50ms
successor = %s/successor

[clients]
kept_bytes = 1000

[op look]
method = GET
prefix = /look
effect = retryable

[op order-place]
method = POST
timeout = 300ms
target = 200ms
"""


class Site:
    def __init__(self, folder):
        self.kit, self.folder, self.programs, self.clients = Kit(), folder, [], []
        self.node = Node(self.kit, answers_with(OK))
        self.update_source = StubServer(self.kit, self.handle_request)
        self.path = folder / "relay.ini"
        self.path.write_text(RELAY_FILE % (self.update_source.at, folder, folder))

    def handle_request(self, connection, path, body):
        if not path.startswith("/v1/tables"):
            connection.reply({})
            return
        connection.begin_stream()
        connection.send(
            {"type": "node", "object": {"name": "s-1", "address": self.node.at}},
            {"type": "joined", "object": {"source": 0}},
            *({"type": "table", "object": {"table": table, "source": 0, "lines": {"s-1": 1.0}}} for table in range(4)),
            {},
        )

    def start(self):
        program = ProgramProcess(self.kit.loop, COMMAND + (str(self.path),))
        self.programs.append(program)
        wait_until(self.kit.loop, lambda: program.address() or program.process.poll() is not None)
        assert program.address(), program.log
        return program

    def client(self, program, data=b""):
        self.clients.append(Client(self.kit, program.address()))
        self.clients[-1].send(data)
        return self.clients[-1]

    def wait(self, condition):
        wait_until(self.kit.loop, condition)

    def close(self):
        for endpoint in (*self.programs, *self.clients, self.node, self.update_source):
            endpoint.close()
        self.kit.loop.close()


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    yield site
    site.close()


def test_restarted_proxy_serves_from_its_tables_file_without_the_update_source(site):
    first = site.start()
    client = site.client(first, GET)
    site.wait(lambda: client.data == OK)
    site.wait(lambda: any(path == "/v1/reports" for _, path, _ in site.update_source.requests))
    site.wait(lambda: (site.folder / "state").exists())
    first.kill(signal.SIGTERM)
    site.wait(first.has_ended)
    assert first.process.returncode == 0 and "ops_acked=1" in first.log.decode() and "defects" not in first.log.decode()
    site.update_source.close()
    second = site.start()
    assert (
        "tables=kept" in second.log_lines("event=started")[0]
        and "age_s=" in second.log_lines("event=tables_restored")[0]
    )
    second_client = site.client(second, GET)
    site.wait(lambda: second_client.data == OK)


def test_corrupt_tables_file_is_logged_and_tables_come_from_the_update_source(site):
    (site.folder / "state").write_text("{")
    program = site.start()
    assert "torn or changed" in program.log_lines("event=tables_not_restored")[0]
    client = site.client(program, GET)
    site.wait(lambda: client.data == OK)


def test_reload_refuses_invalid_settings_and_applies_valid_ones_without_dropping_a_connection(site):
    program = site.start()
    client = site.client(program, GET)
    site.wait(lambda: client.data == OK)
    text = site.path.read_text()
    for invalid, expected in (
        (text.replace("kept_bytes", "keptbytes"), "did you mean kept_bytes?"),
        (text.replace("order-place", "other"), "op types can't be"),
    ):
        site.path.write_text(invalid)
        program.kill(signal.SIGHUP)
        site.wait(lambda expected=expected: program.log_lines(expected))
    site.path.write_text(text.replace("prefix = /look", "prefix = /see"))
    program.kill(signal.SIGHUP)
    site.wait(lambda: program.log_lines("event=reloaded"))
    client.send(GET)
    site.wait(lambda: client.data.count(b"HTTP/1.1") == 2)
    assert client.data.endswith(b"no op type has this method and target\n") and not client.ended


def test_successor_takes_over_the_socket_under_load_without_failing_an_op(site):
    program, sent, turns = site.start(), 0, int(os.environ.get("TAKEOVERS", 6))
    at = program.address()

    def ask(client):
        nonlocal sent
        client.data = b""
        client.send(GET)
        sent += 1

    for turn in range(turns):
        clients = [site.client(program) for _ in range(4)]
        for client in clients:
            ask(client)
        successor = ProgramProcess(site.kit.loop, COMMAND + (str(site.path),))
        site.programs.append(successor)
        while not program.has_ended():
            for index, client in enumerate(clients):
                if client.data.endswith(b"\r\n\r\nok"):
                    if client.ended:  # as announced in the response
                        assert b"Connection: close" in client.data
                        clients[index] = client = Client(site.kit, at)
                        site.clients.append(client)
                    if b"Connection: close" not in client.data:
                        ask(client)
                assert not client.ended or client.data, "an op got no answer"
            site.kit.loop.at(site.kit.loop.now() + MS, lambda: None)
            site.kit.loop.run_once()
        assert program.process.returncode == 0 and successor.address() == at
        log = program.log.decode()
        assert "ops_aborted" not in log and "ops_rejected" not in log and "why=successor" in log
        site.wait(lambda clients=clients: all(client.data.endswith(b"ok") for client in clients))
        program = successor
        for client in clients:
            client.close()
    assert sent > 20 * turns


def test_start_fails_when_the_predecessor_hangs(site):
    predecessor = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    predecessor.bind(str(site.folder / "successor"))
    predecessor.listen(1)
    program = ProgramProcess(site.kit.loop, COMMAND + (str(site.path),))
    site.programs.append(program)
    site.wait(program.has_ended)
    assert program.process.returncode == 1 and "can't listen" in program.log.decode()
    predecessor.close()


@pytest.mark.parametrize(
    "old, new, expected",
    [
        ("listen = 127.0.0.1:0", "listen = here", "line 2, [relay], field listen: expected an IPv4 address"),
        ("zone = a\n", "", "line 1, [relay]: field zone of [relay]: missing"),
        ("slices = 4", "slices = 0", "field slices"),
        ("target = 200ms", "target = 400ms", "field target: expected a time within the op timeout"),
        ("effect = retryable", "effect = twice", "field effect"),
        ("hub = 127.0.0.1:1\n", "", ""),
        (
            "hub = 127.0.0.1:1\nnumber = 3\nzone = a\nslices = 4\nstate = x/state\n",
            "zone = a\nslices = 4\n",
            "expected `hub` or `state`, as a source of tables",
        ),
    ],
)
def test_invalid_relay_file_is_reported_with_its_line(old, new, expected):
    text = RELAY_FILE % ("127.0.0.1:1", "x", "x")
    assert old in text
    if not expected:
        assert (
            read_reference_proxy_settings(IniFile("r.ini", text.replace(old, new))).process.update_source_address == ""
        )
        return
    with pytest.raises(InvalidSettingsError) as raised:
        read_reference_proxy_settings(IniFile("r.ini", text.replace(old, new)))
    assert expected in str(raised.value)


def test_tables_file_is_json_with_tables_and_addresses(site):
    program = site.start()
    client = site.client(program, GET)
    site.wait(lambda: client.data == OK and (site.folder / "state").exists())
    stored = json.loads((site.folder / "state").read_text().splitlines()[0])
    assert (
        stored["form"] == 1
        and stored["tables"]["lines"] == [{"s-1": 1.0}] * 4
        and stored["addresses"] == {"s-1": site.node.at}
    )
