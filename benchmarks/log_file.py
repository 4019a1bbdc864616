"""What a member's log on disk costs: time of a write, of a compaction and of a start, and bytes, by the number of
changes and by the configuration's size. Measured on the disk of `--folder`; each change is a whole configuration, as
operators send it, in an entry of its own, compacted as a member does once the file exceeds the bound.

    python benchmarks/log_file.py [--folder DIR] [--changes 10 100 1000 5000] [--routes 10 4600] [--bound BYTES]

Beside it what the disk itself takes: a write of as many bytes and an fdatasync, into a file that grows. A start is
timed with the file as full as it ever was, and in the page cache: it tells the program's part. `most KB`: in the folder
at once, with the file that takes the other's place.
"""

import argparse
import json
import os
import shutil
import tempfile
import time

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import Entry, HardState, PutConfiguration, Snapshot
from kestrelplank.consensus.membership import Membership
from kestrelplank.state.control_state import ControlState
from kestrelplank.storage.log_file import LogFile

MS, KB = 1_000_000, 1_000
ROUTES_A_HOST, SERVICES = 20, 60
MEMBERS = Membership(1, ("a:1/first", "b:1/first", "c:1/first"))
STARTS = 5  # the shortest counts
COLUMNS = (
    ("routes", 7),
    ("text KB", 8),
    ("changes", 8),
    ("write p50", 10),
    ("p99", 7),
    ("max ms", 7),
    ("disk p50", 9),
    ("p99", 7),
    ("compactions", 12),
    ("max ms", 7),
    ("start ms", 9),
    ("frames", 7),
    ("file KB", 8),
    ("most KB", 8),
    ("written MB", 11),
)


def configuration(routes: int, version: int) -> bytes:
    """A configuration with that many routes, 20 on each host."""
    services = [
        {"name": f"service{number:02d}", "health_check_path": "/health", "max_connections": 120, "sharded": number == 0}
        for number in range(SERVICES)
    ]
    hosts = [
        {
            "host_name": f"host{first:05d}.example",
            "host_routes": [route(number) for number in range(first, min(routes, first + ROUTES_A_HOST))],
        }
        for first in range(0, routes, ROUTES_A_HOST)
    ]
    return json.dumps(
        {"config_version": f"{version:08x}", "service_table": services, "virtual_hosts": hosts}, separators=(",", ":")
    ).encode()


def route(number: int) -> dict:
    return {
        "name": f"r-{number:06d}",
        "path_prefix": f"/part{number:05d}/",
        "route_type": "idempotent",
        "timeout_s": 1.5,
        "target_latency_s": 0.4,
        "priority": 2,
        "target_service": f"service{number % SERVICES:02d}",
        "max_attempts": 2,
    }


def timed(call, *given) -> float:
    """How long it took, in ms."""
    began = time.perf_counter_ns()
    call(*given)
    return (time.perf_counter_ns() - began) / MS


def part(times: list[float], percent: int) -> float:
    return sorted(times)[min(len(times) - 1, len(times) * percent // 100)]


def disk_alone(folder: str, size: int, count: int) -> list[float]:
    """Times of a write of `size` bytes and an fdatasync each."""
    path, data = os.path.join(folder, "alone"), os.urandom(size)
    fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)

    def write(place: int) -> None:
        os.pwrite(fd, data, place)
        os.fdatasync(fd)

    try:
        return [timed(write, number * size) for number in range(count)]
    finally:
        os.close(fd)
        os.unlink(path)


def run(folder: str, routes: int, changes: int, bound: int) -> tuple:
    """One row of the table."""
    fullest = os.path.join(folder, "fullest")
    os.mkdir(fullest)
    state, log = ControlState(), LogFile(os.path.join(folder, "member"))
    log.load()
    log.store_incarnation("first")
    log.write([Persist(1, HardState(1, "a:1/first", "a:1/first"))])
    texts = {version: configuration(routes, version) for version in range(8)}
    digest = parse_configuration(texts[0]).unwrap().key.digest
    writes, compactions, most, written = [], [], 0, 0
    for index in range(1, changes + 1):
        # The state is told of each version; its text stands for one of eight, as making each takes longer than a write.
        entry = Entry(index, 1, PutConfiguration(index, digest, texts[index % 8]))
        before = log.size_bytes
        writes.append(timed(log.write, [Persist(index, None, None, (entry,))]))
        written += log.size_bytes - before
        state.apply(entry)
        most = max(most, log.size_bytes)
        if log.size_bytes > bound:
            if not compactions:
                shutil.copy(log.path, fullest)
            before = log.size_bytes
            snapshot = Snapshot(index, 1, MEMBERS, state.snapshot())
            compactions.append(timed(log.write, [Persist(index, None, snapshot)]))
            written += log.size_bytes
            most = max(most, before + log.size_bytes)
    log.close()
    if not compactions:
        shutil.copy(log.path, fullest)
    alone = disk_alone(folder, len(texts[0]), min(changes, 200))
    starts = []
    for _ in range(STARTS):
        log = LogFile(fullest)
        starts.append(timed(log.load))
        frames, size = log.frame_count, log.size_bytes
        log.close()
    return (
        routes,
        f"{len(texts[0]) / KB:.1f}",
        changes,
        *(
            f"{value:.2f}"
            for value in (part(writes, 50), part(writes, 99), max(writes), part(alone, 50), part(alone, 99))
        ),
        len(compactions),
        f"{max(compactions, default=0):.2f}",
        f"{min(starts):.2f}",
        frames,
        f"{size / KB:.1f}",
        f"{most / KB:.1f}",
        f"{written / KB / KB:.1f}",
    )


def main(folder: str | None, changes: list[int], routes: list[int], bound: int) -> None:
    print(f"bound {bound / KB:.0f} KB; load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    print("".join(f"{name:>{width}}" for name, width in COLUMNS))
    for number in routes:
        for count in changes:
            made = tempfile.mkdtemp(prefix="log-file-", dir=folder)
            try:
                row = run(made, number, count, bound)
            finally:
                shutil.rmtree(made)
            print("".join(f"{value:>{width}}" for value, (_, width) in zip(row, COLUMNS)), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--folder", help="where; the system's folder for temporary files otherwise")
    parser.add_argument("--changes", type=int, nargs="+", default=[10, 100, 1000, 5000])
    parser.add_argument("--routes", type=int, nargs="+", default=[10, 4600])
    parser.add_argument("--bound", type=int, default=8_000_000, help="bytes of the file beyond which it is compacted")
    given = parser.parse_args()
    main(given.folder, given.changes, given.routes, given.bound)
