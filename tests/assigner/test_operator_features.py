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


def free_udp():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


def ask(kit, path):
    """What stands at the socket, while our own loop plays its owner."""
    link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    link.connect(path)
    link.setblocking(False)
    data = bytearray()

    def come():
        try:
            part = link.recv(1 << 16)
        except BlockingIOError:
            return False
        data.extend(part)
        return not part

    wait_until(kit.loop, come)
    link.close()
    return json.loads(data)


def test_two_conductors_know_each_other_over_datagrams_and_a_kill_is_seen(kit, tmp_path, monkeypatch):
    at = [free_udp() for _ in range(2)]
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
                peer_listen=at[number],
                peers=at,
                peers_all=at[1 - number],
            )
        )
    wait_until(
        kit.loop,
        lambda: all(program.log_lines("alive=0,1") or program.log_lines('alive="0,1"') for program in programs),
    )
    done = CliRunner().invoke(group, ["zones", "--socket", f"{tmp_path}/s0"])
    assert done.exit_code == 0 and "conductors 0, 1 alive" in done.output
    assert read_status(f"{tmp_path}/s1", 5)["members"]["alive"] == [0, 1]
    programs[0].end(signal.SIGKILL)
    wait_until(kit.loop, lambda: programs[1].log_lines("alive=1"))
    code, said = programs[1].end(signal.SIGTERM)
    assert code == 0 and "defects" not in said and not os.path.exists(f"{tmp_path}/s1")


def test_where_the_settings_bar_talk_it_is_off_and_said_so(kit, tmp_path, monkeypatch):
    (tmp_path / "k.ini").write_text("[members]\non = yes\n")
    monkeypatch.setenv("KESTRELPLANK_INI", str(tmp_path / "k.ini"))
    program = Program(
        kit, tmp_path / "c.json", discovery=closed_port(), hub={"address": closed_port()}, peer_listen=free_udp()
    )
    assert program.log_lines("event=members_off")
    code, said = program.end(signal.SIGTERM)
    assert code == 0 and "datagrams_sent" not in said


def test_members_tick_take_and_show_whatever_comes(kit):
    sent = []
    nodes = [ObservedNode(0, True, 10.0, 9.0)]
    made = [
        MembershipGossip(
            kit.loop,
            Counts(),
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
        made[1 - number].take(number, body)
    made[0].take(1, b"junk")
    assert made[0].status() == {
        "view": 2,
        "alive": (0, 1),
        "zones": {0: {"demand": 20, "capacity": 20, "ready": 1, "told_by": 2}},
    }
    assert made[0]._counters.counts["members_unreadable"] == 1
    for one in made:
        one.close()


class Counts:
    def __init__(self):
        self.counts = {}

    def add(self, name, number=1):
        self.counts[name] = self.counts.get(name, 0) + number

    def record_fault(self, name, why, **fields):
        self.add(name)

    def info(self, event, **fields):
        """Nobody reads it."""


def test_who_asks_and_reads_nothing_holds_nobody_up(kit, tmp_path):
    path = str(tmp_path / "s")
    status = StatusSocket(kit.loop, path, lambda: {"much": "x" * 5_000_000})
    silent = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    silent.connect(path)
    wait_until(kit.loop, lambda: True)
    kit.loop.at(kit.loop.now(), lambda: None)
    kit.loop.run_once()
    status.status = lambda: {"little": 1}
    assert ask(kit, path) == {"little": 1} and os.stat(path).st_mode & 0o777 == 0o600
    silent.close()
    status.close()
    assert not os.path.exists(path)


@pytest.mark.parametrize(
    "words, code, says",
    [
        ((), 2, "no status socket"),
        (("--socket", "/none"), 1, "/none: No such file"),
        (("--ini", "/none"), 2, "can't be read"),
    ],
)
def test_zones_that_cannot_be_asked_for_are_one_line(words, code, says, monkeypatch):
    monkeypatch.delenv("KESTRELPLANK_INI", raising=False)
    done = CliRunner().invoke(group, ["zones", *words])
    assert done.exit_code == code and says in done.output and done.output.count("\n") == 1
