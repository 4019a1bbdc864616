import json
import os
import signal
import socket

import pytest
from click.testing import CliRunner
from parties import wait_until
from test_program import SETTINGS, Program, closed_port

from kestrelplank.assigner.membership_gossip import MembershipGossip
from kestrelplank.assigner.status_socket import StatusSocket, read_status
from kestrelplank.cli.group import group
from kestrelplank.state.membership import DetectorSettings, Membership
from kestrelplank.state.zone_load import ObservedNode


def free_udp_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


def read_from_socket(kit, path):
    """Read the JSON that the status socket sends, while the loop runs its server."""
    link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    link.connect(path)
    link.setblocking(False)
    data = bytearray()

    def reached_end():
        try:
            chunk = link.recv(1 << 16)
        except BlockingIOError:
            return False
        data.extend(chunk)
        return not chunk

    wait_until(kit.loop, reached_end)
    link.close()
    return json.loads(data)


def test_two_assigners_discover_each_other_and_detect_a_kill(kit, tmp_path, monkeypatch):
    addresses = [free_udp_address() for _ in range(2)]
    programs = []
    for number in range(2):
        ini = tmp_path / f"k{number}.ini"
        ini.write_text(f"[members]\non = yes\nevery = 50ms\n[status]\nsocket = {tmp_path}/s{number}\n")
        monkeypatch.setenv("KESTRELPLANK_INI", str(ini))
        settings = SETTINGS | {"Ordinal": number, "Balancers": 2, "Permissions": {"MayTell": True}}
        programs.append(
            Program(
                kit,
                tmp_path / f"c{number}.json",
                discovery=closed_port(),
                hub={"address": closed_port()},
                settings=settings,
                peer_listen=addresses[number],
                peers=addresses,
                peers_all=addresses[1 - number],
            )
        )
    wait_until(
        kit.loop,
        lambda: all(program.log_lines("alive=0,1") or program.log_lines('alive="0,1"') for program in programs),
    )
    result = CliRunner().invoke(group, ["zones", "--socket", f"{tmp_path}/s0"])
    assert result.exit_code == 0 and "conductors 0, 1 alive" in result.output
    assert read_status(f"{tmp_path}/s1", 5)["members"]["alive"] == [0, 1]
    programs[0].stop(signal.SIGKILL)
    wait_until(kit.loop, lambda: programs[1].log_lines("alive=1"))
    code, log = programs[1].stop(signal.SIGTERM)
    assert code == 0 and "defects" not in log and not os.path.exists(f"{tmp_path}/s1")


def test_membership_is_off_and_logged_when_the_settings_forbid_datagrams(kit, tmp_path, monkeypatch):
    (tmp_path / "k.ini").write_text("[members]\non = yes\n")
    monkeypatch.setenv("KESTRELPLANK_INI", str(tmp_path / "k.ini"))
    program = Program(
        kit,
        tmp_path / "c.json",
        discovery=closed_port(),
        hub={"address": closed_port()},
        peer_listen=free_udp_address(),
    )
    assert program.log_lines("event=members_off")
    code, log = program.stop(signal.SIGTERM)
    assert code == 0 and "datagrams_sent" not in log


def test_members_exchange_datagrams_skip_invalid_ones_and_report_status(kit):
    sent = []
    nodes = [ObservedNode(0, True, 10.0, 9.0)]
    members = [
        MembershipGossip(
            kit.loop,
            FakeCounters(),
            Membership(kit.loop.now(), number, 5, 2, DetectorSettings(heartbeat_interval_ns=10_000_000)),
            10_000_000,
            lambda to, body, number=number: sent.append((number, body)),
            lambda: nodes,
            lambda: 20.0,
        )
        for number in range(2)
    ]
    wait_until(kit.loop, lambda: len(sent) >= 6)
    for number, body in sent:
        members[1 - number].receive(number, body)
    members[0].receive(1, b"junk")
    assert members[0].status() == {
        "view": 2,
        "alive": (0, 1),
        "zones": {0: {"demand": 20, "capacity": 20, "ready": 1, "told_by": 2}},
    }
    assert members[0]._counters.counts["members_unreadable"] == 1
    for member in members:
        member.close()


class FakeCounters:
    def __init__(self):
        self.counts = {}

    def add(self, name, number=1):
        self.counts[name] = self.counts.get(name, 0) + number

    def record_fault(self, name, why, **fields):
        self.add(name)

    def info(self, event, **fields):
        """Ignore the event."""


def test_status_client_that_does_not_read_does_not_block_others(kit, tmp_path):
    path = str(tmp_path / "s")
    status = StatusSocket(kit.loop, path, lambda: {"much": "x" * 5_000_000})
    reader = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    reader.connect(path)
    wait_until(kit.loop, lambda: True)
    kit.loop.at(kit.loop.now(), lambda: None)
    kit.loop.run_once()
    status.status = lambda: {"little": 1}
    assert read_from_socket(kit, path) == {"little": 1} and os.stat(path).st_mode & 0o777 == 0o600
    reader.close()
    status.close()
    assert not os.path.exists(path)


@pytest.mark.parametrize(
    "arguments, code, message",
    [
        ((), 2, "no status socket"),
        (("--socket", "/none"), 1, "/none: No such file"),
        (("--ini", "/none"), 2, "can't be read"),
    ],
)
def test_unreachable_status_socket_is_reported_in_one_line(arguments, code, message, monkeypatch):
    monkeypatch.delenv("KESTRELPLANK_INI", raising=False)
    result = CliRunner().invoke(group, ["zones", *arguments])
    assert result.exit_code == code and message in result.output and result.output.count("\n") == 1
