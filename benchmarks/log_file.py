"""Measures a member's log file: times of writes, compactions and starts, and bytes, by changes and configuration size.

Measured on the disk of `--folder`. Each change is a complete configuration in an entry of its own, as operators send
it, and the log is compacted as a member does it once the file exceeds the bound.

    python benchmarks/log_file.py [--folder DIR] [--changes 10 100 1000 5000] [--routes 10 4600] [--bound BYTES]

`disk`: a write of as many bytes and an fdatasync on a growing file, without the program. A start is timed with the file
at its largest and in the page cache, so that it measures the program rather than the disk. `peak KB`: the largest size
of the folder, including the file that replaces another during a compaction.
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
ROUTES_PER_HOST, SERVICES = 20, 60
MEMBERS = Membership(1, ("a:1/first", "b:1/first", "c:1/first"))
STARTS = 5  # the shortest is reported
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
    ("peak KB", 8),
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
            "host_routes": [route(number) for number in range(first, min(routes, first + ROUTES_PER_HOST))],
        }
        for first in range(0, routes, ROUTES_PER_HOST)
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


def duration_ms(call, *arguments) -> float:
    """Duration of the call in ms."""
    started = time.perf_counter_ns()
    call(*arguments)
    return (time.perf_counter_ns() - started) / MS


def percentile(times: list[float], percent: int) -> float:
    return sorted(times)[min(len(times) - 1, len(times) * percent // 100)]


def disk_write_times(folder: str, size: int, count: int) -> list[float]:
    """Durations in ms of `count` writes of `size` bytes, each with an fdatasync."""
    path, data = os.path.join(folder, "alone"), os.urandom(size)
    fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)

    def write(offset: int) -> None:
        os.pwrite(fd, data, offset)
        os.fdatasync(fd)

    try:
        return [duration_ms(write, number * size) for number in range(count)]
    finally:
        os.close(fd)
        os.unlink(path)


def measure(folder: str, routes: int, changes: int, max_file_bytes: int) -> tuple:
    """One row of the table."""
    largest = os.path.join(folder, "fullest")
    os.mkdir(largest)
    state, log = ControlState(), LogFile(os.path.join(folder, "member"))
    log.load()
    log.store_incarnation("first")
    log.write([Persist(1, HardState(1, "a:1/first", "a:1/first"))])
    texts = {version: configuration(routes, version) for version in range(8)}
    digest = parse_configuration(texts[0]).unwrap().key.digest
    writes, compactions, peak_bytes, written_bytes = [], [], 0, 0
    for index in range(1, changes + 1):
        # Each entry has its own version but one of eight texts, since formatting a text takes longer than a write.
        entry = Entry(index, 1, PutConfiguration(index, digest, texts[index % 8]))
        size_before = log.size_bytes
        writes.append(duration_ms(log.write, [Persist(index, None, None, (entry,))]))
        written_bytes += log.size_bytes - size_before
        state.apply(entry)
        peak_bytes = max(peak_bytes, log.size_bytes)
        if log.size_bytes > max_file_bytes:
            if not compactions:
                shutil.copy(log.path, largest)
            size_before = log.size_bytes
            snapshot = Snapshot(index, 1, MEMBERS, state.snapshot())
            compactions.append(duration_ms(log.write, [Persist(index, None, snapshot)]))
            written_bytes += log.size_bytes
            peak_bytes = max(peak_bytes, size_before + log.size_bytes)
    log.close()
    if not compactions:
        shutil.copy(log.path, largest)
    disk_times = disk_write_times(folder, len(texts[0]), min(changes, 200))
    starts = []
    for _ in range(STARTS):
        log = LogFile(largest)
        starts.append(duration_ms(log.load))
        frames, size = log.frame_count, log.size_bytes
        log.close()
    return (
        routes,
        f"{len(texts[0]) / KB:.1f}",
        changes,
        *(
            f"{value:.2f}"
            for value in (
                percentile(writes, 50),
                percentile(writes, 99),
                max(writes),
                percentile(disk_times, 50),
                percentile(disk_times, 99),
            )
        ),
        len(compactions),
        f"{max(compactions, default=0):.2f}",
        f"{min(starts):.2f}",
        frames,
        f"{size / KB:.1f}",
        f"{peak_bytes / KB:.1f}",
        f"{written_bytes / KB / KB:.1f}",
    )


def main(folder: str | None, changes: list[int], routes: list[int], max_file_bytes: int) -> None:
    print(f"bound {max_file_bytes / KB:.0f} KB; load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    print("".join(f"{name:>{width}}" for name, width in COLUMNS))
    for route_count in routes:
        for count in changes:
            run_folder = tempfile.mkdtemp(prefix="log-file-", dir=folder)
            try:
                row = measure(run_folder, route_count, count, max_file_bytes)
            finally:
                shutil.rmtree(run_folder)
            print("".join(f"{value:>{width}}" for value, (_, width) in zip(row, COLUMNS)), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--folder", help="the folder to write in; default: the system's temporary folder")
    parser.add_argument("--changes", type=int, nargs="+", default=[10, 100, 1000, 5000])
    parser.add_argument("--routes", type=int, nargs="+", default=[10, 4600])
    parser.add_argument("--bound", type=int, default=8_000_000, help="file size in bytes above which it is compacted")
    arguments = parser.parse_args()
    main(arguments.folder, arguments.changes, arguments.routes, arguments.bound)
