"""The gateway's commands, offline and against a control member."""

import asyncio
import json

import pytest
from configuration.test_parsing import configuration, route

from kestrelplank.control.effects import AnswerOrder, AnswerRead
from kestrelplank.control.operator_api import application
from kestrelplank.control.status import EdgeStatus, KeyRangeStatus, MemberStatus, PeerStatus, ServiceStatus
from kestrelplank.gateway.command_line import main
from kestrelplank.http.server import create_server
from kestrelplank.http.socket_options import listening_socket
from kestrelplank.rehearsal.loopback import PortReservations


class StubMember:
    """A control member that stores the configuration it receives.

    `lag`: status requests until `edge-2` has the newest version; `log_lag`: number of log entries that its peer lacks.
    """

    def __init__(self, lag=0, majority=True, log_lag=0, in_force=True):
        self.configuration, self.lag, self.majority, self.log_lag = None, lag, majority, log_lag
        self.in_force = in_force

    async def replace_configuration(self, configuration):
        self.configuration = configuration if self.majority else None
        return AnswerOrder(1, self.majority, self.majority and self.in_force)

    async def show_configuration(self):
        return AnswerRead(0, True, self.configuration.text if self.configuration else None)

    def status(self):
        version = f"{self.configuration.key.version:08x}" if self.configuration else None
        self.lag -= 1
        return MemberStatus(
            member="a:1/first",
            state="current",
            term=3,
            leader="a:1/first",
            leads=True,
            current=True,
            epoch=2,
            voters=["a:1/first", "b:1/first"],
            standbys=["c:1/5f2c09d1"],
            stopping=False,
            commit_index=8,
            applied_index=8,
            last_index=9,
            configuration_version=version,
            peers={"b:1/first": PeerStatus(match_index=8 - self.log_lag, last_heard_s=0.1, caught_up=True)},
            server_count=4,
            server_list_age_s=0.2,
            services={
                "views": ServiceStatus(
                    assigned_here=True,
                    record_term=3,
                    record_number=7,
                    unowned_s=0.0,
                    key_ranges=[KeyRangeStatus(0, 65535, "s", 3000001, "held", 3.1)],
                    learned_speeds={"s": [1.5, 2.0, 0.0, 0.0]},
                )
            },
            edges={
                "edge-1": EdgeStatus(version, 0.1),
                "edge-2": EdgeStatus(None if self.lag >= 0 else version, 0.2),
            },
        )


def exit_code(member, *words):
    """Run a command against that member, with ADDRESS replaced by its address; return the exit code."""

    async def run():
        sock = listening_socket("127.0.0.1", 0)
        address = "127.0.0.1:%d" % sock.getsockname()[1]
        server = create_server(application(member), 5, 1)
        serving = asyncio.create_task(server.serve([sock]))
        while not server.started:
            await asyncio.sleep(0)
        try:
            return await asyncio.to_thread(main, [address if word == "ADDRESS" else word for word in words])
        finally:
            server.should_exit = True
            await serving

    return asyncio.run(run())


@pytest.fixture
def configuration_file(tmp_path):
    def write(name="new.json", **changes):
        path = tmp_path / name
        path.write_text(json.dumps(configuration(**changes)))
        return str(path)

    return write


def test_replace_waits_until_the_last_edge_has_the_version(configuration_file, capsys):
    assert exit_code(StubMember(lag=2), "replace", "ADDRESS", configuration_file()) == 0
    assert "version 00000007 is acknowledged; all edges and members in session have it" in capsys.readouterr().out


def test_replace_names_an_edge_that_is_behind(configuration_file, capsys):
    assert exit_code(StubMember(lag=99), "replace", "ADDRESS", configuration_file(), "--wait=0", "--json") == 1
    assert json.loads(capsys.readouterr().out)["behind"] == ["edge-2"]


def test_replace_names_a_peer_that_lacks_log_entries(configuration_file, capsys):
    assert exit_code(StubMember(log_lag=1), "replace", "ADDRESS", configuration_file(), "--wait=0", "--json") == 1
    assert json.loads(capsys.readouterr().out)["behind"] == ["b:1/first"]


def test_replace_prints_the_reason_of_a_refusal(configuration_file, capsys):
    assert exit_code(StubMember(majority=False), "replace", "ADDRESS", configuration_file()) == 1
    assert "refused, 503: not enough members can keep it" in capsys.readouterr().out


@pytest.mark.parametrize("options", [{"in_force": False}, {"majority": False}, {}])
def test_replace_has_the_same_exit_code_with_and_without_json(configuration_file, options):
    path = configuration_file()
    codes = [exit_code(StubMember(**options), "replace", "ADDRESS", path, *flags) for flags in ((), ("--json",))]
    assert codes == ([1, 1] if options else [0, 0])


def test_replace_prints_that_a_version_not_above_the_one_in_force_changed_nothing(configuration_file, capsys):
    assert exit_code(StubMember(in_force=False), "replace", "ADDRESS", configuration_file()) == 1
    assert "version 00000007 changed nothing: it is not above the one in force" in capsys.readouterr().out


def test_replace_reports_an_invalid_configuration_and_sends_nothing(configuration_file, capsys):
    member = StubMember()
    path = configuration_file(virtual_hosts=[{"host_name": "", "host_routes": []}])
    assert exit_code(member, "replace", "ADDRESS", path) == 2 and member.configuration is None
    assert capsys.readouterr().err == f"kestrelplank: {path}: virtual_hosts[0].host_name: must not be empty\n"


# Guards against API keys on an operator's screen or in what is redirected to a file.
@pytest.mark.parametrize("flags", [(), ("--json",)])
def test_no_command_prints_an_api_key(configuration_file, capsys, flags):
    def tenant(name, *api_keys):
        return {"name": name, "api_keys": api_keys}

    old = configuration_file("old.json", tenants=[tenant("acme", "first-secret"), tenant("globex", "second-secret")])
    new = configuration_file("new.json", tenants=[tenant("acme", "third-secret")])
    shared = configuration_file("shared.json", tenants=[tenant("acme", "first-secret"), tenant("b", "first-secret")])
    assert main(["check", f"--configuration={new}"]) == 0 and main(["diff", old, new, *flags]) == 1
    assert main(["check", f"--configuration={shared}"]) == 2
    member = StubMember()
    assert exit_code(member, "replace", "ADDRESS", new, *flags) == 0 and exit_code(member, "status", "ADDRESS") == 0
    printed = capsys.readouterr()
    assert (
        "2 services, 1 tenants\n" in printed.out
        and "tenant acme api_keys changed" in printed.out
        and "tenants[1].api_keys[0]" in printed.err
    )
    assert "secret" not in printed.out + printed.err


def test_unreachable_address_prints_one_line_and_exits_with_1(configuration_file, capsys):
    with PortReservations() as ports:
        assert main(["status", f"127.0.0.1:{ports.reserve(['127.0.0.1'])}"]) == 1
    assert capsys.readouterr().err.count("\n") == 1


def test_status_prints_voters_edges_and_key_ranges(capsys):
    assert exit_code(StubMember(), "status", "ADDRESS") == 0
    out = capsys.readouterr().out.splitlines()
    assert out[:4] == [
        "member a:1/first: current",
        "term 3: led by a:1/first, this member",
        "epoch 2: voters a:1/first, b:1/first",
        "standbys: c:1/5f2c09d1",
    ]
    assert "log: last index 9, commit index 8, applied index 8" in out and "servers: 4, list 0.2 s old" in out
    assert "peer b:1/first: match index 8, last heard 0.1 s ago" in out
    assert "edge edge-2: configuration None, last heard 0.2 s ago" in out
    assert "views: record 7 of term 3, assigned here" in out
    assert "      0-65535 held     s fencing token 3000001, lease ends in 3.1 s" in out
    assert "  learned speeds of s: 1.5, 2.0, 0.0, 0.0" in out


def test_status_as_json_prints_the_members_answer(capsys):
    assert exit_code(StubMember(), "status", "ADDRESS", "--json") == 0
    assert json.loads(capsys.readouterr().out)["services"]["views"]["key_ranges"][0]["server"] == "s"


def test_diff_prints_each_changed_field_of_each_route(configuration_file, capsys):
    old, new = (
        configuration_file("old.json"),
        configuration_file(
            version="00000008",
            virtual_hosts=[
                {
                    "host_name": "shop.example",
                    "host_routes": [
                        route(
                            "/a/",
                            "idempotent",
                            timeout_s=2,
                            target_service=None,
                            traffic_split=[
                                {"target_service": "views", "weight": 90},
                                {"target_service": "orders", "weight": 10},
                            ],
                        ),
                        route("/new/", "idempotent"),
                    ],
                },
                {"host_name": "pay.example", "host_routes": [route("/a/", "upload", "orders")]},
            ],
        ),
    )
    assert main(["diff", old, old]) == 0 and capsys.readouterr().out == ""
    assert main(["diff", old, new]) == 1
    assert capsys.readouterr().out.splitlines() == [
        "pay.example/a/: route_type non_idempotent -> upload",
        "shop.example/a/: timeout_s 1.5 -> 2.0",
        "shop.example/a/: traffic_split views -> views 90, orders 10",
        "shop.example/a/b/: dropped",
        "shop.example/new/: added",
    ]
    assert main(["diff", new, old, "--json"]) == 1
    assert json.loads(capsys.readouterr().out)[0] == {
        "host": "pay.example",
        "prefix": "/a/",
        "field": "route_type",
        "old": "upload",
        "new": "non_idempotent",
    }
