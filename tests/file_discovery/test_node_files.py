"""The whole way from a saved file to what relays hold: the real parts over loopback, a hub stand-in round the tables
core, and rewrites of every kind drawn from a seed."""

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

RELAYS, SLICES = 2, 12
CONF = {
    "Areas": ["toronto", "windsor"],
    "Categories": [{"Name": "look"}],
    "Tick": 2.0,
    "Specifics": {"Shards": SLICES, "DataPlaneSize": RELAYS, "MostWaiting": 9e6, "EgressPerS": 9e6, "BaseMode": 1},
    "Rules": {"StopSendingWithin": 40.0, "WarmUp": 0.0, "ColdFrom": 1.0, "FallMultiple": 3.0},
}


def name(number):
    return f"order-{number}.{'toronto' if number % 2 else 'windsor'}.example.org"


def listed(number, **more):
    return ListedNode("toronto" if number % 2 else "windsor", f"10.1.0.1:{9000 + number}", **more)


def text_of(numbers, **more):
    return format_node_list(NodeSet({name(number): listed(number, **more) for number in numbers}))


class Site:
    """A conductor with node files in place of discovery, and relays that hold what its hub is ordered."""

    def __init__(self, folder, first, **fields):
        self.kit, self.folder = Kit(), folder
        self.write("a.ini", first)
        self.relays = [Tables(SLICES, 1, 1) for _ in range(RELAYS)]
        self.numbers, self.calls, self.bare, self.at_orders = 0, [], 0, None
        for relay in self.relays:
            relay.begin_stream(0)
            for table in range(SLICES):
                relay.set_table(table, 0, {name(1 + table % 2): 1.0})
        self.hub = StubServer(self.kit, self.asked)
        self.agent = StubServer(self.kit)  # says nothing
        ids = self.ids = Ids(text)
        found = read_settings(CONF, ids, "settings")
        kit = self.kit
        self.events = []
        orders = OrderQueue(kit.loop, kit.pool, kit.counters, self.hub.at, ids, ["look"], 7)
        discovery = NodeDiscovery(kit.loop, kit.pool, kit.counters, self.agent.at, ids, self.source_event)
        probes = HealthChecks(kit.loop, kit.pool, kit.counters, discovery.addresses, False, MS, False, self.on_event)
        self.policy = Policy(kit.loop.now(), 5, PolicySettings.from_mapping(found))
        self.conductor = RoundRunner(
            kit.loop, kit.counters, self.policy, found["tick"], orders, discovery, probes, None
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
        self.source = NodeFiles(kit.loop, kit.counters, nodes, 40 * MS, ids, discovery.addresses, self.on_event)
        self.conductor.holders.append(self.source)
        told = ProxyUpdates(kit.loop, kit.pool, kit.counters, self.hub.at, ids, RELAYS, SLICES, orders, self.on_event)
        self.parts = [told, orders, self.source, probes, self.hub, self.agent]

    def on_event(self, event):
        self.events.append(event)
        self.conductor.on_event(event)

    def source_event(self, event):
        self.source.on_event(event)

    def asked(self, visitor, path, body):
        if path == "/api/stream":
            visitor.begin_stream()
            visitor.send(*(attach(relay) | {"type": "attach"} for relay in range(RELAYS)))
            for table in range(SLICES):
                visitor.send(
                    message("owner", shard=table, set=True),
                    *(
                        message("entry", shard=table, endpoint=node, w=weight)
                        for node, weight in self.relays[0].weights(table).items()
                    ),
                )
            visitor.send({})
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
        for relay in self.relays:
            relay.apply(0, self.numbers, orders)
            self.bare += sum(not relay.available(table) for table in range(SLICES))
        self.numbers += 1
        self.calls.append((self.kit.loop.now(), orders))
        visitor.reply({"ok_count": len(ops)})
        for order in orders:
            if isinstance(order, RequestAcknowledgement):
                for stream in self.hub.connections:
                    if stream.path == "/api/stream" and stream.closed_because is None:
                        stream.send(
                            *(
                                message("done", node=relay, nonce=order.watermark, latency=1.0)
                                for relay in range(RELAYS)
                            )
                        )

    def write(self, file, data):
        """As an editor does that renames, and as one that does not."""
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
            {} if self.source.node_set_in_force.node_set is None else dict(self.source.node_set_in_force.node_set.nodes)
        )

    def told(self):
        """Name to condition, as a fold of what the module was told."""
        found = {}
        for event in self.events:
            if isinstance(event, NodeListUpdate):
                found = {} if event.kind != NodeListKind.DELTA else found
                found.update({entry.node: entry.condition for entry in event.entries})
        return {self.ids.node_ids[node]: condition for node, condition in found.items() if node in self.ids.node_ids}

    def close(self):
        for part in self.parts:
            part.close()
        self.kit.loop.close()


@pytest.fixture
def site(tmp_path):
    made = []

    def make(first, **fields):
        made.append(Site(tmp_path, first, **fields))
        return made[-1]

    yield make
    for one in made:
        one.close()


@pytest.mark.parametrize("events", [True, False])
def test_a_saved_file_is_in_force_and_nodes_that_vanished_drain_first(site, events):
    here = site(text_of(range(1, 9)), events=events)
    here.wait(lambda: len(here.in_force()) == 8)
    here.write("a.ini", text_of([*range(1, 8), 9]))
    here.wait(lambda: here.told().get(name(8)) == "draining")
    assert here.told()[name(9)] == "up"
    here.wait(lambda: here.told().get(name(8)) == "removed")
    assert here.source.node_set_in_force.version == 2 and here.count("files_accepted") == 2


def spoil_zone_twice(data):
    data = re.sub(r"# end (\d+)", lambda found: f"# end {int(found[1]) + 1}", data)
    return data.replace("[zone windsor]", "[zone windsor]\n" + name(1) + " = 10.9.9.9:1", 1)


@pytest.mark.parametrize(
    "spoil, says",
    [
        (spoil_zone_twice, "stands in zone windsor and in zone toronto"),
        (lambda data: data[: len(data) // 2], "line"),
        (lambda data: "", "the file is empty"),
        (lambda data: data.replace("10.1.0.1", "10.1.0.x", 1), "expected an IPv4 address"),
        (lambda data: "[zone toronto]\n# end 0 nodes\n", "it lists no node"),
    ],
)
def test_an_invalid_list_changes_nothing_and_is_logged_with_its_line(site, capfd, spoil, says):
    here = site(text_of(range(1, 9)), trailer_required=True)
    here.wait(lambda: len(here.in_force()) == 8)
    before, calls = here.in_force(), len(here.calls)
    here.write("a.ini", spoil(text_of(range(1, 9))))
    here.wait(lambda: here.count("files_refused"))
    assert here.in_force() == before and here.source.node_set_in_force.version == 1 and len(here.calls) <= calls + 1
    said = capfd.readouterr().err
    assert "files_refused" in said and says in said and "in_force=1" in said


@pytest.mark.parametrize("events", [True, False])
def test_a_file_deleted_made_again_replaced_by_a_directory_or_unreadable_keeps_the_set_in_force(site, events):
    here = site(text_of(range(1, 9)), events=events)
    here.wait(lambda: len(here.in_force()) == 8)
    path, before = here.folder / "a.ini", here.in_force()
    path.unlink()
    here.wait(lambda: here.count("files_refused") == 1)
    path.mkdir()
    here.wait(lambda: here.count("files_refused") == 2)
    path.rmdir()
    os.mkfifo(path)  # which is no file, and must not hold the loop up
    here.wait(lambda: here.count("files_refused") == 3)
    path.unlink()
    path.symlink_to(path)  # a link to itself: it can't be read
    here.wait(lambda: here.count("files_refused") == 4)
    assert here.in_force() == before and here.source.node_set_in_force.version == 1
    path.unlink()
    here.write("a.ini", text_of(range(1, 10)))
    here.wait(lambda: len(here.in_force()) == 9)


def test_a_file_gone_for_less_than_the_quiet_time_is_not_noticed(site):
    here = site(text_of(range(1, 9)), quiet_period_ns=150 * MS)
    here.wait(lambda: len(here.in_force()) == 8)
    (here.folder / "a.ini").unlink()
    end = here.kit.loop.now() + 30 * MS
    here.wait(lambda: here.kit.loop.now() > end)
    here.write("a.ini", text_of(range(1, 9)))
    end += 400 * MS
    here.wait(lambda: here.kit.loop.now() > end)
    assert not here.count("files_refused") and here.source.node_set_in_force.version == 1


@pytest.mark.parametrize("events", [True, False])
def test_an_edit_in_place_of_the_same_size_is_seen_and_a_touch_changes_nothing(site, events):
    here = site(text_of(range(1, 9)), events=events)
    here.wait(lambda: len(here.in_force()) == 8)
    path = here.folder / "a.ini"
    os.utime(path, ns=(1, 1))  # a time set back
    reads = here.count("files_read")
    data = text_of(range(1, 9)).replace("10.1.0.1:9001", "10.1.0.1:9099")
    with open(path, "r+") as file:
        file.write(data)
    os.utime(path, ns=(1, 1))
    here.wait(lambda: here.in_force()[name(1)].address == "10.1.0.1:9099")
    assert here.count("files_read") == reads + 1


def test_a_symbolic_link_that_is_swapped_is_read_anew(site, tmp_path):
    """A file behind a link to a folder behind another link, which is replaced whole."""
    for number, nodes in enumerate((range(1, 9), range(1, 10))):
        (tmp_path / f"v{number}").mkdir()
        (tmp_path / f"v{number}" / "nodes.ini").write_text(text_of(nodes))
    (tmp_path / "data").symlink_to("v0")
    here = site(text_of(range(1, 9)), files=(str(tmp_path / "data" / "nodes.ini"),), poll_interval_ns=60_000 * MS)
    here.wait(lambda: len(here.in_force()) == 8)
    (tmp_path / "data.new").symlink_to("v1")
    os.replace(tmp_path / "data.new", tmp_path / "data")
    here.source._watcher.look()  # the link's own folder is not the file's: found by looking
    here.wait(lambda: len(here.in_force()) == 9)


def test_two_files_changed_together_are_taken_together(site):
    here = site(text_of(range(1, 9)), quiet_period_ns=60 * MS)
    here.write("b.ini", text_of(range(11, 15)))
    here.wait(lambda: len(here.in_force()) == 12)
    here.write("a.ini", text_of([*range(1, 9), 11, 21]))  # node 11 goes over from one to the other
    here.write("b.ini", text_of(range(12, 15)))
    here.wait(lambda: len(here.in_force()) == 13)
    assert here.source.node_set_in_force.version == 2 and not here.count("files_refused")


def test_a_set_that_waits_is_in_force_with_its_marker(site):
    here = site(text_of(range(1, 9)))
    here.wait(lambda: len(here.in_force()) == 8)
    here.write("a.ini", text_of(range(1, 5)))
    here.wait(lambda: here.count("files_waiting"))
    assert len(here.in_force()) == 8
    here.write(
        "a.ini", f"[list]\nconfirm = {here.source.node_set_in_force.node_set.short_hash}\n" + text_of(range(1, 5))
    )
    here.wait(lambda: len(here.in_force()) == 4)


def test_a_set_that_stays_the_same_for_the_confirmation_period_is_in_force(site):
    here = site(text_of(range(1, 9)), confirmation_period_ns=120 * MS)
    here.wait(lambda: len(here.in_force()) == 8)
    here.write("a.ini", text_of(range(1, 5)))
    here.wait(lambda: len(here.in_force()) == 4)
    assert here.count("files_waiting") == 1


def test_after_a_restart_with_an_invalid_list_the_former_set_is_in_force(site):
    here = site(text_of(range(1, 9)))
    here.wait(lambda: len(here.in_force()) == 8)
    again = site("[zone toronto\n")
    again.wait(lambda: again.count("files_refused"))
    assert again.in_force() == here.in_force() and again.source.node_set_in_force.version == 1
    assert sorted(again.told()) == sorted(map(name, range(1, 9)))


def test_a_torn_state_file_is_logged_and_the_lists_are_in_force(site, tmp_path, capfd):
    (tmp_path / "state").write_text("{")
    here = site(text_of(range(1, 9)))
    here.wait(lambda: len(here.in_force()) == 8)
    assert here.count("files_state_refused") == 1 and f"{tmp_path}/state: torn or changed" in capfd.readouterr().err


def test_a_change_during_the_start_is_in_force(site):
    here = site(text_of(range(1, 9)))
    here.write("a.ini", text_of(range(1, 10)))
    here.wait(lambda: here.in_force())
    assert len(here.in_force()) == 9 and here.source.node_set_in_force.version == 1


def test_a_file_that_is_gone_leaves_the_set_when_the_operators_file_is_reloaded(site):
    here = site(text_of(range(1, 9)))
    here.write("b.ini", text_of(range(9, 11)))
    here.wait(lambda: len(here.in_force()) == 10)
    (here.folder / "b.ini").unlink()
    here.wait(lambda: here.count("files_refused"))
    here.source.reload(here.source._settings)
    here.wait(lambda: len(here.in_force()) == 8)


def test_of_a_thousand_changes_in_a_row_the_last_is_in_force(site):
    here = site(text_of(range(1, 9)))
    here.wait(lambda: len(here.in_force()) == 8)
    for turn in range(1000):
        here.write("a.ini", text_of(range(1, 9 + turn % 3)))
        if turn % 20 == 0:
            here.kit.loop.at(here.kit.loop.now(), lambda: None)
            here.kit.loop.run_once()
    here.write("a.ini", text_of(range(1, 12)))
    here.wait(lambda: len(here.in_force()) == 11)
    assert here.count("files_refused") == 0 and here.bare == 0


def rewrites(here, random, number):
    """So many rewrites, few of them valid; relays are checked all the way. Returns every name that a valid list had: a
    changed byte may leave one, with another name in it."""
    names = {name(one) for one in range(1, 25)}
    for turn in range(number):
        valid = [int(node.split(".")[0].partition("-")[2] or 1) for node in here.in_force()]
        wanted = {*random.sample(range(1, 25), random.randrange(3)), *valid}
        data = text_of(sorted(wanted - {*random.sample(valid, random.randrange(4))}))
        how = random.choice(["valid", "torn", "byte", "twice", "gone", "empty", "in place", "valid", "none"])
        if how == "torn":
            data = data[: random.randrange(len(data))]
        elif how == "byte":
            at = random.randrange(len(data))
            data = data[:at] + random.choice("\x00=[]#\n") + data[at + 1 :]
            try:
                names.update(
                    line.name
                    for line in parse_node_list("a.ini", data.encode(), max_nodes=99, trailer_required=True).entries
                )
            except InvalidSettingsError:
                pass
        elif how == "twice":
            data = spoil_zone_twice(data)
        elif how == "none":
            data = "[list]\n# end 0 nodes\n"
        if how == "gone":
            (here.folder / "a.ini").unlink(missing_ok=True)
        elif how == "in place":
            (here.folder / "a.ini").write_text(data[:-9])
        else:
            here.write("a.ini", "" if how == "empty" else data)
        if how == "valid":  # it is taken, or waits for a second word
            here.wait(
                lambda data=data: (
                    format_node_list(NodeSet(here.in_force())) == data or here.source.node_set_in_force.waiting
                )
            )
        else:
            end = here.kit.loop.now() + random.randrange(6) * MS
            here.wait(lambda end=end: here.kit.loop.now() >= end)
        assert here.bare == 0
    return names


@pytest.mark.parametrize("seed, events", [(1, True), (2, False)])
def test_relays_only_see_complete_valid_tables_over_a_thousand_rewrites(site, seed, events):
    here = site(
        text_of(range(1, 17)), trailer_required=True, events=events, quiet_period_ns=2 * MS, poll_interval_ns=3 * MS
    )
    here.wait(lambda: len(here.in_force()) == 16 and len(here.policy.slices) == SLICES)
    nodes = rewrites(here, Random(seed), int(os.environ.get("REWRITES", 500)))
    last = text_of(range(1, 17))
    here.write("a.ini", f"[list]\nconfirm = {here.source.node_set_in_force.node_set.short_hash}\n{last}")
    here.wait(lambda: format_node_list(NodeSet(here.in_force())) == last)
    for _, orders in here.calls:
        for order in orders:
            assert isinstance(order, RequestAcknowledgement) or order.node in nodes
    force = set(here.in_force())
    here.wait(
        lambda: all(
            set(dict(relay.available(table))) <= force and relay.available(table)
            for relay in here.relays
            for table in range(SLICES)
        )
    )
    assert here.bare == 0 and here.count("files_refused") > 20 and here.count("files_accepted") > 20
