"""Measures node lists in files: parsing and comparing a large set, and the latency from a save to the module's order.

python benchmarks/watched_files.py [--saves 200] [--nodes 3000] [--files 10]
"""

import argparse
import os
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from kestrelplank import decode
from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import Ids, text
from kestrelplank.file_discovery.atomic_write import write_atomically
from kestrelplank.file_discovery.node_files import NodeFiles
from kestrelplank.file_discovery.node_list import format_node_list, parse_node_list
from kestrelplank.interface import Event, PolicySettings, SliceOwnership
from kestrelplank.policy import Policy
from kestrelplank.rehearsal.stub_server import SocketKit
from kestrelplank.settings.operator import NodeFileSettings
from kestrelplank.state.change_guard import ChangeLimits, evaluate_change
from kestrelplank.state.node_set import ListedNode, NodeSet, assemble
from kestrelplank.state.reported_nodes import ReportedNodes, ReportSettings
from kestrelplank.time_units import MILLISECOND as MS


class NullLogger:
    """A logger that discards all records."""

    def info(self, *_: object, **__: object) -> None: ...

    warning = info


def node_list_texts(nodes: int, files: int) -> list[str]:
    nodes_by_file: list[dict[str, ListedNode]] = [{} for _ in range(files)]
    for number in range(nodes):
        zone = f"zone{number % 3}"
        nodes_by_file[number % files][f"order-{number}.{zone}.example.org"] = ListedNode(
            zone, f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000", 1.0 + number % 4 / 2
        )
    return [format_node_list(NodeSet(file_nodes)) for file_nodes in nodes_by_file]


def print_duration(title: str, call: object, times: int = 9) -> object:
    result, durations = None, []
    for _ in range(times):
        started = time.perf_counter_ns()
        result = call()
        durations.append(time.perf_counter_ns() - started)
    print(f"{title:<58} {sorted(durations)[len(durations) // 2] / MS:8.2f} ms, at most {max(durations) / MS:8.2f} ms")
    return result


def measure_parsing(nodes: int, files: int) -> None:
    lists = [data.encode() for data in node_list_texts(nodes, files)]
    tracemalloc.start()
    node_lists = [
        parse_node_list(f"{index}.ini", data, max_nodes=nodes, trailer_required=True)
        for index, data in enumerate(lists)
    ]
    node_set = assemble(node_lists)
    print(
        f"{nodes} nodes in {files} files: {tracemalloc.get_traced_memory()[0] / 1e6:.1f} MB retained, "
        f"{tracemalloc.get_traced_memory()[1] / 1e6:.1f} MB peak"
    )
    tracemalloc.stop()
    print_duration(
        "one file parsed", lambda: parse_node_list("0.ini", lists[0], max_nodes=nodes, trailer_required=True)
    )
    print_duration("all files checked and assembled, with the hash", lambda: assemble(node_lists))
    fewer = NodeSet(dict(list(node_set.nodes.items())[: -nodes // 100]))
    print_duration(
        "change between two sets evaluated",
        lambda: evaluate_change(node_set, fewer, (), 0, ChangeLimits(0.25, 0, False)),
    )
    reported = ReportedNodes(ReportSettings(1000 * MS, 0.1))
    reported.accept(0, node_set)
    print_duration(
        "reported changes when 1% of the nodes are missing", lambda: (reported.accept(1, fewer), reported.advance(1)), 1
    )


class OrderRecorder:
    """A writer for the module's orders that records when a node is withdrawn or restored."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.times: list[int] = []
        self._clock = clock

    def set_withdrawn(self, node: int, withdrawn: bool) -> None:
        self.times.append(self._clock())

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


def measure_saves(save_count: int, events: bool) -> None:
    """Print the latency from a save that drains or restores a node to the module's order, without the quiet period."""
    with tempfile.TemporaryDirectory() as folder:
        kit = SocketKit()
        wire_settings = {
            "Areas": ["zone0", "zone1", "zone2"],
            "Categories": [{"Name": "look"}],
            "Specifics": {"Shards": 1, "MostWaiting": 9e6},
            "Rules": {"ColdFrom": 1.0, "FallMultiple": 3.0},
        }
        settings = decode.read_settings(wire_settings, Ids(text), "bench")
        policy, orders = Policy(kit.loop.now(), 1, PolicySettings.from_mapping(settings)), OrderRecorder(kit.loop.now)
        policy.handle(0, SliceOwnership(0, True))
        order_times = orders.times
        full_text = node_list_texts(300, 1)[0]
        lines = full_text.splitlines()
        drained_text = "\n".join([lines[0], lines[1] + " draining", *lines[2:]]) + "\n"

        def on_event(event: Event) -> None:
            policy.round(kit.loop.now(), [event], orders)
            policy.round(kit.loop.now(), [], orders)  # a node is restored one round after its endpoints are removed

        path, quiet = str(Path(folder) / "a.ini"), 20 * MS
        write_atomically(path, full_text.encode())
        nodes = NodeFileSettings(
            files=(path,), quiet_period_ns=quiet, poll_interval_ns=100 * MS, events=events, weight_step=0.0
        )
        source = NodeFiles(kit.loop, Counters(NullLogger(), kit.loop.now), nodes, 1, Ids(text), {}, on_event)
        saved_at = []
        while source.node_set_in_force.node_set is None:
            kit.loop.at(kit.loop.now() + MS, lambda: None)
            kit.loop.run_once()
        order_times.clear()
        for index in range(save_count):
            write_atomically(path, (full_text if index % 2 else drained_text).encode())
            saved_at.append(kit.loop.now())
            while len(order_times) <= index:
                kit.loop.at(kit.loop.now() + MS, lambda: None)
                kit.loop.run_once()
        latencies = sorted(at - saved - quiet for saved, at in zip(saved_at, order_times))
        source.close()
        kit.loop.close()
    print(
        f"{save_count} saves, {'events' if events else 'polling every 100 ms'}: after the quiet period "
        + ", ".join(
            f"p{percent} {latencies[min(save_count - 1, save_count * percent // 100)] / MS:.1f} ms"
            for percent in (50, 90, 99)
        )
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--saves", type=int, default=200)
    parser.add_argument("--nodes", type=int, default=3000)
    parser.add_argument("--files", type=int, default=10)
    arguments = parser.parse_args()
    measure_parsing(arguments.nodes, arguments.files)
    for with_events in (True, False):
        measure_saves(arguments.saves, with_events)
    print(f"{os.cpu_count()} cores on this machine")
