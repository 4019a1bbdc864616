"""Times the watched files: reading, checking and comparing a large set, and from a save to the module's hearing of it.

    python benchmarks/watched_files.py [--saves 200] [--nodes 3000] [--files 10]

Not part of the tests: it takes as long as it takes, and its figures are this machine's.
"""

import argparse
import os
import tempfile
import time
import tracemalloc
from pathlib import Path

from kestrelplank.config.operator import MS, Nodes
from kestrelplank.decode import Ids, text
from kestrelplank.files import nodelist
from kestrelplank.files.source import Source
from kestrelplank.files.whole import write_whole
from kestrelplank.lab.parties import Kit
from kestrelplank.net.counters import Counters
from kestrelplank.state.guards import Terms, judge
from kestrelplank.state.nodeset import Listed, NodeSet, assemble
from kestrelplank.state.roster import Roster
from kestrelplank.state.roster import Terms as Pace


class Quiet:
    """A log that nobody reads."""

    def info(self, *_: object, **__: object) -> None: ...
    warning = info


def texts(nodes: int, files: int) -> list[str]:
    made: list[dict[str, Listed]] = [{} for _ in range(files)]
    for number in range(nodes):
        zone = f"zone{number % 3}"
        made[number % files][f"order-{number}.{zone}.example.org"] = Listed(
            zone, f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000", 1.0 + number % 4 / 2)
    return [nodelist.written(NodeSet(part)) for part in made]


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
    parts = [nodelist.read(f"{place}.ini", data, nodes, True) for place, data in enumerate(lists)]
    made = assemble(parts)
    print(f"{nodes} nodes in {files} files: {tracemalloc.get_traced_memory()[0] / 1e6:.1f} MB held, "
          f"{tracemalloc.get_traced_memory()[1] / 1e6:.1f} MB at most")
    tracemalloc.stop()
    timed("one file read and parsed", lambda: nodelist.read("0.ini", lists[0], nodes, True))
    timed("all parts checked and put together, with the hash", lambda: assemble(parts))
    fewer = NodeSet(dict(list(made.nodes.items())[:-nodes // 100]))
    timed("the difference of two sets, judged", lambda: judge(made, fewer, (), 0, Terms(0.25, 0, False)))
    roster = Roster(Pace(1000 * MS, 0.1))
    roster.accept(0, made)
    timed("what to tell of a set that lacks a hundredth", lambda: (roster.accept(1, fewer), roster.advance(1)), 1)


def saves(number: int, events: bool) -> None:
    """From the end of a save to the module's hearing of it, less the quiet time."""
    with tempfile.TemporaryDirectory() as folder:
        kit, heard = Kit(), []
        path, quiet = str(Path(folder) / "a.ini"), 20 * MS
        write_whole(path, texts(300, 1)[0].encode())
        settings = Nodes(files=(path,), quiet=quiet, poll=100 * MS, events=events, weight_step=0.0)
        source = Source(kit.loop, Counters(Quiet(), kit.loop.now), settings, 1, Ids(text), {},
                        lambda event: heard.append(kit.loop.now()))
        took = []
        for turn in range(number):
            while len(heard) <= turn:
                kit.loop.at(kit.loop.now() + MS, lambda: None)
                kit.loop.turn()
            write_whole(path, texts(301 + turn, 1)[0].encode())
            took.append(kit.loop.now())
        while len(heard) <= number:
            kit.loop.at(kit.loop.now() + MS, lambda: None)
            kit.loop.turn()
        late = sorted(at - begun - quiet for begun, at in zip(took, heard[1:]))
        source.close()
        kit.loop.close()
    print(f"{number} saves, {'events' if events else 'looking every 100 ms'}: after the quiet time "
          + ", ".join(f"p{part} {late[min(number - 1, number * part // 100)] / MS:.1f} ms" for part in (50, 90, 99)))


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
