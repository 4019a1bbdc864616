"""Record the decision module's orders over the simulator protocol, and compare or time another checkout.

    python benchmarks/record_policy.py record CHECKOUT MODULE FILE [--seed N]
    python benchmarks/record_policy.py compare CHECKOUT MODULE CHECKOUT MODULE --seeds 1-20
    python benchmarks/record_policy.py time CHECKOUT MODULE [CHECKOUT MODULE ...]

A day is a small model of a site (nodes with a capacity, slices with load, proxies that acknowledge watermarks late,
faults) that responds to the orders of `python -m MODULE`, run in CHECKOUT. Input and output are recorded line by line:
`#` begins a day, `>` is a line to the program, `<` a line of its reply. The model depends only on the program's lines,
so recordings of an older checkout stay usable.

`tests/recordings/policy_decisions.txt.xz` is `record` of 4f929ce (`kestrelplank.drill`) with the default seed;
`tests/test_recorded_policy.py` replays it. `time` replays one day at fleet size and prints seconds of processor time.
"""

import argparse
import json
import lzma
import resource
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

ROUND_MS = 100.0
REPORT_ROUNDS = 10  # reports are sent each second
DELAY_ROUNDS = 3  # longest delay of an acknowledgement or of a message between conductors
ZONES = ["east", "west"]


@dataclass
class Day:
    """Parameters of a day; `specifics` and `rules` are merged into the settings under their names on the wire."""

    name: str
    rounds: int = 600
    nodes: int = 10
    slices: int = 32
    proxies: int = 6
    conductors: int = 2
    ops_per_s: float = 400.0
    capacity: float = 70.0
    fault_rate: float = 0.08  # probability in a round
    specifics: dict[str, Any] = field(default_factory=dict)
    rules: dict[str, Any] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)


DAYS = [
    Day("talk", settings={"Permissions": {"MayTell": True}}, specifics={"Pick": "p2c"}),
    Day("alone", conductors=1, fault_rate=0.15),
    Day("exclusive", specifics={"Exclusive": True, "WriteLife": 300.0, "Tenure": 700.0}),
    Day("levels", capacity=30.0, specifics={"LevelKind": "fraction", "BaseMode": 2}),
    Day("drops", rules={"OnlyDrainingBinds": True}, settings={"MembershipMode": "subscribe"}, fault_rate=0.15),
    Day("narrow", specifics={"MostWaiting": 260.0, "PushesAllowed": 12, "MessagesOver": 10_000.0}, proxies=10),
    Day("quiet", fault_rate=0.0, ops_per_s=900.0, capacity=140.0, rounds=600),
    Day("small", nodes=3, slices=9, proxies=1, conductors=1, ops_per_s=90.0, fault_rate=0.25),
    Day(
        "warmth", rules={"WarmUp": 20_000.0, "ColdFrom": 0.1}, settings={"Permissions": {"MayTell": True}}, conductors=3
    ),
]
FLEET = Day(
    "fleet", rounds=600, nodes=120, slices=780, proxies=640, conductors=5, ops_per_s=8000.0, capacity=110.0,
    specifics={"MostWaiting": 200_000.0, "EgressPerS": 90_000.0}, settings={"Permissions": {"MayTell": True}},
)  # fmt: skip


class Program:
    """The decision module as a process that reads and writes protocol lines."""

    def __init__(self, checkout: str, module: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", module], cwd=checkout, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )

    def answer(self, batch: list[str]) -> list[str]:
        assert self._process.stdin and self._process.stdout
        self._process.stdin.write("".join(line + "\n" for line in batch).encode())
        self._process.stdin.flush()
        reply: list[str] = []
        while not reply or reply[-1] != '["DONE"]':
            line = self._process.stdout.readline()
            if not line:
                raise SystemExit('the program exited before ["DONE"]')
            reply.append(line.decode().rstrip("\n"))
        return reply

    def close(self) -> None:
        assert self._process.stdin and self._process.stdout
        self._process.stdin.close()
        self._process.wait(60)
        self._process.stdout.close()


class Site:
    """The model: events for the program, and the effects of its orders."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day, self.random, self.now = day, Random(f"{day.name}-{seed}"), 1000.0
        self.nodes: dict[int, dict[str, Any]] = {}
        self.slice_loads = [self.random.lognormvariate(0.0, 1.0) for _ in range(day.slices)]
        scale = day.ops_per_s / sum(self.slice_loads)
        self.slice_loads = [load * scale for load in self.slice_loads]
        self.owner = [number % day.conductors for number in range(day.slices)]
        self.slice_weights: list[dict[int, float]] = []
        self.withdrawn_nodes: list[set[int]] = [set() for _ in range(day.conductors)]
        self.scheduled: dict[int, list[list[Any]]] = {}
        self.round = self.next_node = 0
        self.running = [False] * day.conductors
        self.subscribed = [set(range(day.proxies)) for _ in range(day.conductors)]
        self.version = 0
        for _ in range(day.nodes):
            self.add_node(None)
        for _ in range(day.slices):
            self.slice_weights.append({self.random.choice(list(self.nodes)): 1.0})

    # Events for the program.

    def add_node(self, boot: float | None) -> int:
        number, self.next_node = self.next_node, self.next_node + 1
        self.nodes[number] = {
            "condition": "up", "boot": boot, "zone": self.random.choice(ZONES), "weight": self.random.choice([1, 1, 2]),
            "speed": self.random.uniform(0.6, 1.4), "broken": False,
        }  # fmt: skip
        return number

    def entry(self, number: int) -> list[Any]:
        node = self.nodes[number]
        return [node["boot"], 0, node["condition"], node["zone"], number, "plain", node["weight"]]

    def schedule_event(self, conductor: int, name: str, *fields: Any, rounds: int = 0) -> None:
        self.scheduled.setdefault(self.round + rounds, []).append([name, conductor, *fields])

    def schedule_for_all(self, name: str, *fields: Any) -> None:
        for conductor, running in enumerate(self.running):
            if running:
                self.schedule_event(conductor, name, *fields, rounds=self.random.randrange(3))

    def list_nodes(self, how: str, numbers: list[int]) -> None:
        self.version += 1
        self.schedule_for_all("ROSTER_CHANGE", self.version, how, [self.entry(number) for number in numbers])

    def settings(self, conductor: int) -> dict[str, Any]:
        kinds = [
            {"Name": "look", "Target": 200.0, "Deadline": 1500.0, "Importance": 1.0, "Effect": "pure"},
            {"Name": "buy", "Target": 400.0, "Deadline": 2500.0, "Importance": 5.0, "Effect": "side_effect"},
        ]
        day = self.day
        specifics = {
            "DataPlaneSize": day.proxies, "Shards": day.slices, "Envelope": 4, "EgressPerS": 900.0,
            "MostWaiting": 1800.0, "Transit": 100.0, "WorstTransit": 300.0, "ReportEvery": 1000.0, "Tenure": 1000.0,
            "WriteLife": 500.0, "BaseMode": 1, "Pick": "random",
        }  # fmt: skip
        rules = {"WarmUp": 8000.0, "ColdFrom": 0.3, "FallMultiple": 3.0, "StopSendingWithin": 3000.0}
        return {
            "Areas": ZONES, "Categories": kinds, "Ordinal": conductor, "Balancers": day.conductors,
            "Specifics": specifics | day.specifics, "Rules": rules | day.rules, **day.settings,
        }  # fmt: skip

    def create(self, conductor: int) -> None:
        self.running[conductor], self.withdrawn_nodes[conductor] = True, set()
        self.schedule_event(conductor, "CREATE", self.random.getrandbits(48), self.settings(conductor))
        for how in ("cached", "full"):
            self.schedule_event(
                conductor, "ROSTER_CHANGE", self.version, how, [self.entry(number) for number in self.nodes]
            )
        for proxy in sorted(self.subscribed[conductor]):
            self.schedule_event(conductor, "SUBSCRIBED", proxy, self.random.choice(ZONES), 3, self.round == 0)
        for number, owner in enumerate(self.owner):
            if owner == conductor:
                self.assign_slice(number, conductor)

    def assign_slice(self, number: int, conductor: int) -> None:
        self.owner[number] = conductor
        self.schedule_event(conductor, "TENURE", number, True)
        for node, weight in self.slice_weights[number].items():
            self.schedule_event(conductor, "CURRENT_OWNER", node, number, weight)

    # Faults and reports.

    def inject_fault(self) -> None:
        random = self.random
        number = random.choice([number for number, node in self.nodes.items() if node["condition"] != "removed"])
        node, conductor, proxy = (
            self.nodes[number],
            random.randrange(self.day.conductors),
            random.randrange(self.day.proxies),
        )
        fault = random.choice(
            [
                "drain",
                "remove",
                "restart",
                "restart",
                "break",
                "new",
                "leave",
                "kill",
                "hot",
                "cool",
                "stranger",
                "list",
                "move",
            ]
        )
        if fault in ("drain", "remove") and sum(node["condition"] == "up" for node in self.nodes.values()) > 4:
            node["condition"] = "draining" if fault == "drain" else "removed"
            self.list_nodes("delta", [number])
        elif fault == "restart":
            node.update(condition="up", boot=self.now, broken=False)
            self.list_nodes("delta", [number])
        elif fault == "break":
            node["broken"] = not node["broken"]
        elif fault == "new":
            self.list_nodes("delta", [self.add_node(self.now)])
        elif fault == "leave" and self.running[conductor]:
            if proxy in self.subscribed[conductor]:
                self.subscribed[conductor].discard(proxy)
                self.schedule_event(conductor, "LOST_STREAM", proxy)
            else:
                self.subscribed[conductor].add(proxy)
                self.schedule_event(conductor, "SUBSCRIBED", proxy, random.choice(ZONES), 3, random.random() < 0.5)
        elif fault == "kill" and random.random() < 0.3:
            self.running[conductor] = not self.running[conductor]
            if self.running[conductor]:
                self.create(conductor)
            else:
                self.schedule_event(conductor, "KILLED")
        elif fault == "hot":
            self.slice_loads[random.randrange(self.day.slices)] = self.day.ops_per_s * random.uniform(0.02, 0.3)
        elif fault == "cool":
            self.slice_loads[self.slice_loads.index(max(self.slice_loads))] = 0.5
        elif fault == "stranger" and self.running[conductor] and conductor in self.owner:  # a node of no list
            self.schedule_event(conductor, "CURRENT_OWNER", 1000 + self.round, self.owner.index(conductor), 1.0)
        elif fault == "list":
            how = random.choice(["full", "failed", "cached"])
            listed = [] if how == "failed" else [n for n, node in self.nodes.items() if node["condition"] != "removed"]
            self.list_nodes(how, listed)
        elif fault == "move" and self.running[conductor]:
            moved = random.randrange(self.day.slices)
            if self.running[self.owner[moved]]:
                self.schedule_event(self.owner[moved], "TENURE", moved, False)
            self.assign_slice(moved, conductor)

    def report(self) -> None:
        """Send a second's reports: by node and zone to the owners of slices there, and by slice to its owner."""
        random, loads = self.random, dict.fromkeys(self.nodes, 0.0)
        by_owner: dict[tuple[int, int], float] = {}
        for number, slice_weights in enumerate(self.slice_weights):
            usable = [node for node in slice_weights if node not in self.withdrawn_nodes[self.owner[number]]]
            for node in usable:
                ops = self.slice_loads[number] / len(usable)
                loads[node] += ops
                key = (self.owner[number], node)
                by_owner[key] = by_owner.get(key, 0.0) + ops
        for (conductor, number), ops in by_owner.items():
            node = self.nodes[number]
            utilization = min(0.97, loads[number] / (self.day.capacity * node["weight"] * node["speed"]))
            is_down = node["broken"] or node["condition"] == "removed"
            count = max(0, round(random.gauss(ops, ops**0.5)))
            failed = round(count * (0.95 if is_down else max(0.0, utilization - 0.85)))
            statistics = {"cpu_share": round(utilization, 2), "served_ps": round(loads[number])} if number % 3 else None
            time_ms = round(30.0 / (1.0 - utilization) / node["speed"], 1)
            for zone in ZONES:
                requests = round(count * (0.6 if zone == node["zone"] else 0.4))
                if requests and self.running[conductor]:
                    zone_latency_ms = 0.0 if zone == node["zone"] else 40.0
                    failed_requests = min(requests, round(failed * requests / max(1, count)))
                    self.schedule_event(
                        conductor,
                        "ROUNDUP",
                        requests,
                        failed_requests,
                        time_ms + zone_latency_ms,
                        1000.0,
                        zone,
                        number,
                        statistics,
                    )
        for number, load in enumerate(self.slice_loads):
            conductor = self.owner[number]
            if self.running[conductor]:
                for name, share in (("look", 0.8), ("buy", 0.2)):
                    count = max(0, round(random.gauss(load * share, (load * share) ** 0.5)))
                    if count:
                        self.schedule_event(conductor, "WEIGHT_SEEN", 1000.0, name, number, 0, count)

    # Rounds.

    def batch(self) -> list[str]:
        """The lines of the next round."""
        if self.round == 0:
            for conductor in range(self.day.conductors):
                self.create(conductor)
        elif self.random.random() < self.day.fault_rate:
            self.inject_fault()
        if self.round % REPORT_ROUNDS == REPORT_ROUNDS - 1:
            self.report()
        events = [event for event in self.scheduled.pop(self.round, []) if self._deliverable(event)]
        return [json.dumps(line, separators=(",", ":")) for line in (["ROUND", self.now], *events, ["GO"])]

    def _deliverable(self, event: list[Any]) -> bool:
        name, conductor = event[:2]
        if name in ("CREATE", "KILLED"):
            return True
        if name == "INSTALLED" and event[2] not in self.subscribed[conductor]:
            return False
        return self.running[conductor]

    def apply_orders(self, reply: list[str]) -> None:
        """Apply the orders, and schedule the events that follow from them."""
        for line in reply:
            name, *fields = json.loads(line)
            if name == "ENDPOINT":
                conductor, node, weight, number = fields
                if self.owner[number] == conductor:
                    self.slice_weights[number][node] = weight
                    if not weight:
                        del self.slice_weights[number][node]
            elif name == "TAKE_OUT":
                (self.withdrawn_nodes[fields[0]].add if fields[2] else self.withdrawn_nodes[fields[0]].discard)(
                    fields[1]
                )
            elif name == "NONCE":
                for proxy in sorted(self.subscribed[fields[0]]):
                    delay = 1 + self.random.randrange(DELAY_ROUNDS)
                    self.schedule_event(fields[0], "INSTALLED", proxy, fields[1], delay * ROUND_MS, rounds=delay)
            elif name == "BROADCAST_TO":
                for other, running in enumerate(self.running):
                    if other != fields[0] and running:
                        self.schedule_event(
                            other, "DATAGRAM", fields[0], fields[2], rounds=1 + self.random.randrange(2)
                        )
            elif name == "SET_ALARM":
                rounds = max(1, round((fields[1] - self.now) / ROUND_MS))
                self.schedule_event(fields[0], "REMINDER", fields[2], rounds=rounds)
        self.round += 1
        self.now += ROUND_MS


def play(day: Day, seed: int, checkout: str, module: str) -> Iterator[str]:
    """Lines of a recording of one day."""
    program, site = Program(checkout, module), Site(day, seed)
    yield f"#{day.name} {seed}"
    for _ in range(day.rounds):
        batch = site.batch()
        reply = program.answer(batch)
        site.apply_orders(reply)
        yield from (">" + line for line in batch)
        yield from ("<" + line for line in reply)
    program.close()


def replay(recording: list[str], checkout: str, module: str) -> list[str]:
    """The program's replies to a recorded day, in the form of a recording."""
    input_lines = "".join(line[1:] + "\n" for line in recording if line[0] == ">")
    process = subprocess.run(
        [sys.executable, "-m", module], cwd=checkout, input=input_lines.encode(), stdout=subprocess.PIPE, check=True
    )
    return ["<" + line for line in process.stdout.decode().splitlines()]


def record(arguments: argparse.Namespace) -> None:
    lines = [line for day in DAYS for line in play(day, arguments.seed, arguments.checkout, arguments.module)]
    text = "".join(line + "\n" for line in lines).encode()
    Path(arguments.file).write_bytes(lzma.compress(text, preset=9 | lzma.PRESET_EXTREME))
    print(f"{len(lines)} lines, {sum(day.rounds for day in DAYS)} batches")


def compare(arguments: argparse.Namespace) -> None:
    first, last = map(int, arguments.seeds.split("-"))
    differing = batches = 0
    for seed in range(first, last + 1):
        for day in DAYS:
            recording = list(play(day, seed, arguments.checkout, arguments.module))
            batches += day.rounds
            replies = [line for line in recording if line[0] == "<"]
            if replay(recording, arguments.other_checkout, arguments.other_module) != replies:
                differing += 1
                print(f"day {day.name}, seed {seed}: the decisions differ")
    print(f"{batches} batches, {differing} days that differ")
    sys.exit(differing > 0)


def measure(arguments: argparse.Namespace) -> None:
    pairs = list(zip(arguments.programs[::2], arguments.programs[1::2]))
    recording = list(play(FLEET, 1, *pairs[0]))
    for _ in range(arguments.repeats):
        for checkout, module in pairs:
            before = resource.getrusage(resource.RUSAGE_CHILDREN).ru_utime
            replay(recording, checkout, module)
            spent = resource.getrusage(resource.RUSAGE_CHILDREN).ru_utime - before
            print(f"{checkout} {module}: {spent:.2f} s of processor time for {FLEET.rounds} rounds at fleet size")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    commands = parser.add_subparsers(required=True)
    record_parser = commands.add_parser("record")
    compare_parser = commands.add_parser("compare")
    time_parser = commands.add_parser("time")
    for command in (record_parser, compare_parser):
        command.add_argument("checkout")
        command.add_argument("module")
    record_parser.add_argument("file")
    record_parser.add_argument("--seed", type=int, default=1)
    compare_parser.add_argument("other_checkout")
    compare_parser.add_argument("other_module")
    compare_parser.add_argument("--seeds", default="1-5")
    time_parser.add_argument("programs", nargs="+")
    time_parser.add_argument("--repeats", type=int, default=3)
    record_parser.set_defaults(run=record)
    compare_parser.set_defaults(run=compare)
    time_parser.set_defaults(run=measure)
    arguments = parser.parse_args()
    arguments.run(arguments)


if __name__ == "__main__":
    main()
