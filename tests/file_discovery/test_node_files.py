"""Tests of node files from a saved file to the tables of proxies, with real components over loopback and a stub update
source: an invalid or partly written file must change no table."""

import json
import os
import re
from random import Random

import pytest
from parties import MS, Kit, StubServer, attach, message, wait_until

from kestrelplank.assigner.health_checks import HealthChecks
from kestrelplank.assigner.node_discovery import NodeDiscovery
from kestrelplank.assigner.order_queue import OrderQueue
from kestrelplank.assigner.proxy_updates import ProxyUpdates
from kestrelplank.assigner.rounds import RoundRunner
from kestrelplank.decode import Ids, read_settings, text
from kestrelplank.file_discovery.node_files import NodeFiles
from kestrelplank.file_discovery.node_list import format_node_list, parse_node_list
from kestrelplank.interface import NodeListKind, NodeListUpdate, PolicySettings
from kestrelplank.policy import Policy
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.operator import NodeFileSettings
from kestrelplank.state.node_set import ListedNode, NodeSet
from kestrelplank.state.table_orders import RequestAcknowledgement, SetEndpoint, SetWithdrawn
from kestrelplank.state.tables import Tables

PROXIES, SLICES = 2, 12
SETTINGS = {
    "Areas": ["toronto", "windsor"],
    "Categories": [{"Name": "look"}],
    "Tick": 2.0,
    "Specifics": {"Shards": SLICES, "DataPlaneSize": PROXIES, "MostWaiting": 9e6, "EgressPerS": 9e6, "BaseMode": 1},
    "Rules": {"StopSendingWithin": 40.0, "WarmUp": 0.0, "ColdFrom": 1.0, "FallMultiple": 3.0},
}


def name(number):
    return f"order-{number}.{'toronto' if number % 2 else 'windsor'}.example.org"


def listed(number, **more):
    return ListedNode("toronto" if number % 2 else "windsor", f"10.1.0.1:{9000 + number}", **more)


def list_text(numbers, **more):
    return format_node_list(NodeSet({name(number): listed(number, **more) for number in numbers}))


class Site:
    """An assigner with node files, a stub update source, and proxies whose tables follow the assigner's orders."""

    def __init__(self, folder, first, **fields):
        self.kit, self.folder = Kit(), folder
        self.write("a.ini", first)
        self.proxies = [Tables(SLICES, 1, 1) for _ in range(PROXIES)]
        self.next_number, self.calls, self.empty_tables, self.at_orders = 0, [], 0, None
        for proxy in self.proxies:
            proxy.begin_stream(0)
            for table in range(SLICES):
                proxy.set_table(table, 0, {name(1 + table % 2): 1.0})
        self.update_source = StubServer(self.kit, self.handle_request)
        self.agent = StubServer(self.kit)  # sends nothing
        ids = self.ids = Ids(text)
        settings = read_settings(SETTINGS, ids, "settings")
        kit = self.kit
        self.events = []
        orders = OrderQueue(kit.loop, kit.pool, kit.counters, self.update_source.at, ids, ["look"], 7)
        discovery = NodeDiscovery(kit.loop, kit.pool, kit.counters, self.agent.at, ids, self.on_discovery_event)
        health_checks = HealthChecks(
            kit.loop, kit.pool, kit.counters, discovery.addresses, False, MS, False, self.on_event
        )
        self.policy = Policy(kit.loop.now(), 5, PolicySettings.from_mapping(settings))
        self.round_runner = RoundRunner(
            kit.loop, kit.counters, self.policy, settings["tick"], orders, discovery, health_checks, None
        )
        nodes = NodeFileSettings(
            **{
                "files": (str(folder / "*.ini"),),
                "quiet_period_ns": 4 * MS,
                "poll_interval_ns": 20 * MS,
                "weight_step": 0.0,
                "confirmation_period_ns": 0,
                "state_path": str(folder / "state"),
                **fields,
            }
        )
        self.node_files = NodeFiles(kit.loop, kit.counters, nodes, 40 * MS, ids, discovery.addresses, self.on_event)
        self.round_runner.holders.append(self.node_files)
        proxy_updates = ProxyUpdates(
            kit.loop, kit.pool, kit.counters, self.update_source.at, ids, PROXIES, SLICES, orders, self.on_event
        )
        self.components = [proxy_updates, orders, self.node_files, health_checks, self.update_source, self.agent]

    def on_event(self, event):
        self.events.append(event)
        self.round_runner.on_event(event)

    def on_discovery_event(self, event):
        self.node_files.on_event(event)

    def handle_request(self, connection, path, body):
        if path == "/api/stream":
            connection.begin_stream()
            connection.send(*(attach(proxy) | {"type": "attach"} for proxy in range(PROXIES)))
            for table in range(SLICES):
                connection.send(
                    message("owner", shard=table, set=True),
                    *(
                        message("entry", shard=table, endpoint=node, w=weight)
                        for node, weight in self.proxies[0].weights(table).items()
                    ),
                )
            connection.send({})
            return
        ops = json.loads(body)["ops"]
        orders = [
            SetEndpoint(op["cluster"], op["endpoint"], op["w"])
            if op["verb"] == "put"
            else SetWithdrawn(op["endpoint"], op["verb"] == "eject")
            if "eject" in op["verb"]
            else RequestAcknowledgement(op["stamp"])
            for op in ops
            if op["verb"] != "gate"
        ]
        for proxy in self.proxies:
            proxy.apply(0, self.next_number, orders)
            self.empty_tables += sum(not proxy.available(table) for table in range(SLICES))
        self.next_number += 1
        self.calls.append((self.kit.loop.now(), orders))
        connection.reply({"ok_count": len(ops)})
        for order in orders:
            if isinstance(order, RequestAcknowledgement):
                for stream in self.update_source.connections:
                    if stream.path == "/api/stream" and stream.closed_because is None:
                        stream.send(
                            *(
                                message("done", node=proxy, nonce=order.watermark, latency=1.0)
                                for proxy in range(PROXIES)
                            )
                        )

    def write(self, file, data):
        """Replace a file by renaming a new one, as many editors do."""
        path = self.folder / file
        data = data if isinstance(data, bytes) else data.encode()
        (self.folder / ".new").write_bytes(data)
        os.replace(self.folder / ".new", path)

    def wait(self, condition, seconds=20):
        wait_until(self.kit.loop, condition, seconds)

    def count(self, counter):
        return self.kit.counters.counts[counter]

    def in_force(self):
        return (
            {}
            if self.node_files.node_set_in_force.node_set is None
            else dict(self.node_files.node_set_in_force.node_set.nodes)
        )

    def reported_conditions(self):
        """Return the last reported condition of each node by name, from the events for the policy."""
        conditions = {}
        for event in self.events:
            if isinstance(event, NodeListUpdate):
                conditions = {} if event.kind != NodeListKind.DELTA else conditions
                conditions.update({entry.node: entry.condition for entry in event.entries})
        return {
            self.ids.node_ids[node]: condition for node, condition in conditions.items() if node in self.ids.node_ids
        }

    def close(self):
        for component in self.components:
            component.close()
        self.kit.loop.close()


@pytest.fixture
def make_site(tmp_path):
    sites = []

    def make(first, **fields):
        sites.append(Site(tmp_path, first, **fields))
        return sites[-1]

    yield make
    for site in sites:
        site.close()


@pytest.mark.parametrize("events", [True, False])
def test_saved_file_takes_effect_and_unlisted_nodes_drain_before_removal(make_site, events):
    site = make_site(list_text(range(1, 9)), events=events)
    site.wait(lambda: len(site.in_force()) == 8)
    site.write("a.ini", list_text([*range(1, 8), 9]))
    site.wait(lambda: site.reported_conditions().get(name(8)) == "draining")
    assert site.reported_conditions()[name(9)] == "up"
    site.wait(lambda: site.reported_conditions().get(name(8)) == "removed")
    assert site.node_files.node_set_in_force.version == 2 and site.count("files_accepted") == 2


def list_node_in_two_zones(data):
    data = re.sub(r"# end (\d+)", lambda found: f"# end {int(found[1]) + 1}", data)
    return data.replace("[zone windsor]", "[zone windsor]\n" + name(1) + " = 10.9.9.9:1", 1)


@pytest.mark.parametrize(
    "corrupt, expected",
    [
        (list_node_in_two_zones, "stands in zone windsor and in zone toronto"),
        (lambda data: data[: len(data) // 2], "line"),
        (lambda data: "", "the file is empty"),
        (lambda data: data.replace("10.1.0.1", "10.1.0.x", 1), "expected an IPv4 address"),
        (lambda data: "[zone toronto]\n# end 0 nodes\n", "it lists no node"),
    ],
)
def test_invalid_list_is_refused_and_logged_with_its_reason(make_site, capfd, corrupt, expected):
    site = make_site(list_text(range(1, 9)), trailer_required=True)
    site.wait(lambda: len(site.in_force()) == 8)
    before, calls = site.in_force(), len(site.calls)
    site.write("a.ini", corrupt(list_text(range(1, 9))))
    site.wait(lambda: site.count("files_refused"))
    assert site.in_force() == before and site.node_files.node_set_in_force.version == 1 and len(site.calls) <= calls + 1
    log = capfd.readouterr().err
    assert "files_refused" in log and expected in log and "in_force=1" in log


@pytest.mark.parametrize("events", [True, False])
def test_missing_or_unreadable_file_keeps_the_set_in_force(make_site, events):
    site = make_site(list_text(range(1, 9)), events=events)
    site.wait(lambda: len(site.in_force()) == 8)
    path, before = site.folder / "a.ini", site.in_force()
    path.unlink()
    site.wait(lambda: site.count("files_refused") == 1)
    path.mkdir()
    site.wait(lambda: site.count("files_refused") == 2)
    path.rmdir()
    os.mkfifo(path)  # a named pipe must not block the loop
    site.wait(lambda: site.count("files_refused") == 3)
    path.unlink()
    path.symlink_to(path)  # a symbolic link to itself can't be read
    site.wait(lambda: site.count("files_refused") == 4)
    assert site.in_force() == before and site.node_files.node_set_in_force.version == 1
    path.unlink()
    site.write("a.ini", list_text(range(1, 10)))
    site.wait(lambda: len(site.in_force()) == 9)


def test_file_missing_for_less_than_the_quiet_period_is_ignored(make_site):
    site = make_site(list_text(range(1, 9)), quiet_period_ns=150 * MS)
    site.wait(lambda: len(site.in_force()) == 8)
    (site.folder / "a.ini").unlink()
    end = site.kit.loop.now() + 30 * MS
    site.wait(lambda: site.kit.loop.now() > end)
    site.write("a.ini", list_text(range(1, 9)))
    end += 400 * MS
    site.wait(lambda: site.kit.loop.now() > end)
    assert not site.count("files_refused") and site.node_files.node_set_in_force.version == 1


@pytest.mark.parametrize("events", [True, False])
def test_in_place_edit_is_detected_despite_equal_size_and_modification_time(make_site, events):
    site = make_site(list_text(range(1, 9)), events=events)
    site.wait(lambda: len(site.in_force()) == 8)
    path = site.folder / "a.ini"
    os.utime(path, ns=(1, 1))  # a modification time in the past
    reads = site.count("files_read")
    data = list_text(range(1, 9)).replace("10.1.0.1:9001", "10.1.0.1:9099")
    with open(path, "r+") as file:
        file.write(data)
    os.utime(path, ns=(1, 1))
    site.wait(lambda: site.in_force()[name(1)].address == "10.1.0.1:9099")
    assert site.count("files_read") == reads + 1


def test_replaced_symbolic_link_is_detected(make_site, tmp_path):
    """The file's directory is a symbolic link, which is replaced."""
    for number, nodes in enumerate((range(1, 9), range(1, 10))):
        (tmp_path / f"v{number}").mkdir()
        (tmp_path / f"v{number}" / "nodes.ini").write_text(list_text(nodes))
    (tmp_path / "data").symlink_to("v0")
    site = make_site(
        list_text(range(1, 9)), files=(str(tmp_path / "data" / "nodes.ini"),), poll_interval_ns=60_000 * MS
    )
    site.wait(lambda: len(site.in_force()) == 8)
    (tmp_path / "data.new").symlink_to("v1")
    os.replace(tmp_path / "data.new", tmp_path / "data")
    site.node_files._watcher.poll()  # the directory that holds the link is not watched: the change is found by polling
    site.wait(lambda: len(site.in_force()) == 9)


def test_two_files_changed_within_the_quiet_period_take_effect_as_one_version(make_site):
    site = make_site(list_text(range(1, 9)), quiet_period_ns=60 * MS)
    site.write("b.ini", list_text(range(11, 15)))
    site.wait(lambda: len(site.in_force()) == 12)
    site.write("a.ini", list_text([*range(1, 9), 11, 21]))  # node 11 moves from b.ini to a.ini
    site.write("b.ini", list_text(range(12, 15)))
    site.wait(lambda: len(site.in_force()) == 13)
    assert site.node_files.node_set_in_force.version == 2 and not site.count("files_refused")


def test_large_change_takes_effect_with_its_confirmation(make_site):
    site = make_site(list_text(range(1, 9)))
    site.wait(lambda: len(site.in_force()) == 8)
    site.write("a.ini", list_text(range(1, 5)))
    site.wait(lambda: site.count("files_waiting"))
    assert len(site.in_force()) == 8
    site.write(
        "a.ini", f"[list]\nconfirm = {site.node_files.node_set_in_force.node_set.short_hash}\n" + list_text(range(1, 5))
    )
    site.wait(lambda: len(site.in_force()) == 4)


def test_large_change_takes_effect_after_the_confirmation_period(make_site):
    site = make_site(list_text(range(1, 9)), confirmation_period_ns=120 * MS)
    site.wait(lambda: len(site.in_force()) == 8)
    site.write("a.ini", list_text(range(1, 5)))
    site.wait(lambda: len(site.in_force()) == 4)
    assert site.count("files_waiting") == 1


def test_set_in_force_is_restored_after_a_restart_with_an_invalid_list(make_site):
    site = make_site(list_text(range(1, 9)))
    site.wait(lambda: len(site.in_force()) == 8)
    restarted = make_site("[zone toronto\n")
    restarted.wait(lambda: restarted.count("files_refused"))
    assert restarted.in_force() == site.in_force() and restarted.node_files.node_set_in_force.version == 1
    assert sorted(restarted.reported_conditions()) == sorted(map(name, range(1, 9)))


def test_corrupt_state_file_is_logged_and_the_lists_take_effect(make_site, tmp_path, capfd):
    (tmp_path / "state").write_text("{")
    site = make_site(list_text(range(1, 9)))
    site.wait(lambda: len(site.in_force()) == 8)
    assert site.count("files_state_refused") == 1 and f"{tmp_path}/state: torn or changed" in capfd.readouterr().err


def test_change_during_startup_takes_effect(make_site):
    site = make_site(list_text(range(1, 9)))
    site.write("a.ini", list_text(range(1, 10)))
    site.wait(lambda: site.in_force())
    assert len(site.in_force()) == 9 and site.node_files.node_set_in_force.version == 1


def test_nodes_of_a_deleted_file_leave_the_set_on_reload(make_site):
    site = make_site(list_text(range(1, 9)))
    site.write("b.ini", list_text(range(9, 11)))
    site.wait(lambda: len(site.in_force()) == 10)
    (site.folder / "b.ini").unlink()
    site.wait(lambda: site.count("files_refused"))
    site.node_files.reload(site.node_files._settings)
    site.wait(lambda: len(site.in_force()) == 8)


def test_last_of_a_thousand_consecutive_changes_takes_effect(make_site):
    site = make_site(list_text(range(1, 9)))
    site.wait(lambda: len(site.in_force()) == 8)
    for turn in range(1000):
        site.write("a.ini", list_text(range(1, 9 + turn % 3)))
        if turn % 20 == 0:
            site.kit.loop.at(site.kit.loop.now(), lambda: None)
            site.kit.loop.run_once()
    site.write("a.ini", list_text(range(1, 12)))
    site.wait(lambda: len(site.in_force()) == 11)
    assert site.count("files_refused") == 0 and site.empty_tables == 0


def rewrite_file(site, random, number):
    """Rewrite the file `number` times, mostly with invalid lists, and check that no table of a proxy is ever empty.

    Return the names of all nodes in valid lists, including lists that a changed byte left valid with another name.
    """
    names = {name(index) for index in range(1, 25)}
    for turn in range(number):
        valid = [int(node.split(".")[0].partition("-")[2] or 1) for node in site.in_force()]
        wanted = {*random.sample(range(1, 25), random.randrange(3)), *valid}
        data = list_text(sorted(wanted - {*random.sample(valid, random.randrange(4))}))
        kind = random.choice(["valid", "torn", "byte", "twice", "gone", "empty", "in place", "valid", "none"])
        if kind == "torn":
            data = data[: random.randrange(len(data))]
        elif kind == "byte":
            at = random.randrange(len(data))
            data = data[:at] + random.choice("\x00=[]#\n") + data[at + 1 :]
            try:
                names.update(
                    line.name
                    for line in parse_node_list("a.ini", data.encode(), max_nodes=99, trailer_required=True).entries
                )
            except InvalidSettingsError:
                pass
        elif kind == "twice":
            data = list_node_in_two_zones(data)
        elif kind == "none":
            data = "[list]\n# end 0 nodes\n"
        if kind == "gone":
            (site.folder / "a.ini").unlink(missing_ok=True)
        elif kind == "in place":
            (site.folder / "a.ini").write_text(data[:-9])
        else:
            site.write("a.ini", "" if kind == "empty" else data)
        if kind == "valid":  # it takes effect, or waits for confirmation
            site.wait(
                lambda data=data: (
                    format_node_list(NodeSet(site.in_force())) == data or site.node_files.node_set_in_force.waiting
                )
            )
        else:
            end = site.kit.loop.now() + random.randrange(6) * MS
            site.wait(lambda end=end: site.kit.loop.now() >= end)
        assert site.empty_tables == 0
    return names


@pytest.mark.parametrize("seed, events", [(1, True), (2, False)])
def test_proxies_only_see_complete_valid_tables_over_a_thousand_rewrites(make_site, seed, events):
    site = make_site(
        list_text(range(1, 17)), trailer_required=True, events=events, quiet_period_ns=2 * MS, poll_interval_ns=3 * MS
    )
    site.wait(lambda: len(site.in_force()) == 16 and len(site.policy.slices) == SLICES)
    valid_names = rewrite_file(site, Random(seed), int(os.environ.get("REWRITES", 500)))
    last = list_text(range(1, 17))
    site.write("a.ini", f"[list]\nconfirm = {site.node_files.node_set_in_force.node_set.short_hash}\n{last}")
    site.wait(lambda: format_node_list(NodeSet(site.in_force())) == last)
    for _, orders in site.calls:
        for order in orders:
            assert isinstance(order, RequestAcknowledgement) or order.node in valid_names
    names_in_force = set(site.in_force())
    site.wait(
        lambda: all(
            set(dict(proxy.available(table))) <= names_in_force and proxy.available(table)
            for proxy in site.proxies
            for table in range(SLICES)
        )
    )
    assert site.empty_tables == 0 and site.count("files_refused") > 20 and site.count("files_accepted") > 20
