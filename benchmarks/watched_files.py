"""Times the watched files: reading, checking and comparing a large set, and from a save to the module's hearing of it.

    python benchmarks/watched_files.py [--saves 200] [--nodes 3000] [--files 10]

Not part of the tests: it takes as long as it takes, and its figures are this machine's.
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


class Quiet:
    """A log that nobody reads."""

    def info(self, *_: object, **__: object) -> None: ...

    warning = info


def texts(nodes: int, files: int) -> list[str]:
    made: list[dict[str, ListedNode]] = [{} for _ in range(files)]
    for number in range(nodes):
        zone = f"zone{number % 3}"
        made[number % files][f"order-{number}.{zone}.example.org"] = ListedNode(
            zone, f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000", 1.0 + number % 4 / 2
        )
    return [format_node_list(NodeSet(part)) for part in made]


def timed(what: str, call: object, times: int = 9) -> object:
    found, took = None, []
    for _ in range(times):
        begun = time.perf_counter_ns()
        found = call()
        took.append(time.perf_counter_ns() - begun)
    print(f"{what:<58} {sorted(took)[len(took) // 2] / MS:8.2f} ms, at most {max(took) / MS:8.2f} ms")
    return found


def cores(nodes: int, files: int) -> None:
    lists = [data.encode() for data in texts(nodes, files)]
    tracemalloc.start()
    parts = [
        parse_node_list(f"{place}.ini", data, max_nodes=nodes, trailer_required=True)
        for place, data in enumerate(lists)
    ]
    made = assemble(parts)
    print(
        f"{nodes} nodes in {files} files: {tracemalloc.get_traced_memory()[0] / 1e6:.1f} MB held, "
        f"{tracemalloc.get_traced_memory()[1] / 1e6:.1f} MB at most"
    )
    tracemalloc.stop()
    timed(
        "one file read and parsed", lambda: parse_node_list("0.ini", lists[0], max_nodes=nodes, trailer_required=True)
    )
    timed("all parts checked and put together, with the hash", lambda: assemble(parts))
    fewer = NodeSet(dict(list(made.nodes.items())[: -nodes // 100]))
    timed(
        "the difference of two sets, judged", lambda: evaluate_change(made, fewer, (), 0, ChangeLimits(0.25, 0, False))
    )
    reported = ReportedNodes(ReportSettings(1000 * MS, 0.1))
    reported.accept(0, made)
    timed("what to tell of a set that lacks a hundredth", lambda: (reported.accept(1, fewer), reported.advance(1)), 1)


class Orders:
    """The module's writer: when it ordered a withdrawal, or let a node back."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.at: list[int] = []
        self._clock = clock

    def set_withdrawn(self, node: int, withdrawn: bool) -> None:
        self.at.append(self._clock())

    def __getattr__(self, word: str) -> Callable[..., None]:
        return lambda *_: None


def saves(number: int, events: bool) -> None:
    """From the end of a save that drains a node, or ends its drain, to the module's order for it, less the quiet
    time."""
    with tempfile.TemporaryDirectory() as folder:
        kit = SocketKit()
        conf = {
            "Areas": ["zone0", "zone1", "zone2"],
            "Categories": [{"Name": "look"}],
            "Specifics": {"Shards": 1, "MostWaiting": 9e6},
            "Rules": {"ColdFrom": 1.0, "FallMultiple": 3.0},
        }
        settings = decode.read_settings(conf, Ids(text), "bench")
        policy, orders = Policy(kit.loop.now(), 1, PolicySettings.from_mapping(settings)), Orders(kit.loop.now)
        policy.handle(0, SliceOwnership(0, True))
        heard = orders.at
        whole = texts(300, 1)[0]
        lines = whole.splitlines()
        drained = "\n".join([lines[0], lines[1] + " draining", *lines[2:]]) + "\n"

        def on_event(event: Event) -> None:
            policy.round(kit.loop.now(), [event], orders)
            policy.round(kit.loop.now(), [], orders)  # a node let back is told a round after its lines are away

        path, quiet = str(Path(folder) / "a.ini"), 20 * MS
        write_atomically(path, whole.encode())
        nodes = NodeFileSettings(
            files=(path,), quiet_period_ns=quiet, poll_interval_ns=100 * MS, events=events, weight_step=0.0
        )
        source = NodeFiles(kit.loop, Counters(Quiet(), kit.loop.now), nodes, 1, Ids(text), {}, on_event)
        took = []
        while source.node_set_in_force.node_set is None:
            kit.loop.at(kit.loop.now() + MS, lambda: None)
            kit.loop.run_once()
        heard.clear()
        for turn in range(number):
            write_atomically(path, (whole if turn % 2 else drained).encode())
            took.append(kit.loop.now())
            while len(heard) <= turn:
                kit.loop.at(kit.loop.now() + MS, lambda: None)
                kit.loop.run_once()
        late = sorted(at - begun - quiet for begun, at in zip(took, heard))
        source.close()
        kit.loop.close()
    print(
        f"{number} saves, {'events' if events else 'looking every 100 ms'}: after the quiet time "
        + ", ".join(f"p{part} {late[min(number - 1, number * part // 100)] / MS:.1f} ms" for part in (50, 90, 99))
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--saves", type=int, default=200)
    parser.add_argument("--nodes", type=int, default=3000)
    parser.add_argument("--files", type=int, default=10)
    given = parser.parse_args()
    cores(given.nodes, given.files)
    for with_events in (True, False):
        saves(given.saves, with_events)
    print(f"{os.cpu_count()} cores here")
