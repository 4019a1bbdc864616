"""A small gateway on loopback, as a whole: its real programs as processes, and stand-ins of our own for the platform,
the servers, the operator and clients. A script of losses runs meanwhile; the rules are counted by the stand-ins.

Machines are addresses 127.0.0.x. All ports are free ones, found when it starts.
"""

import asyncio
import contextlib
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from kestrelplank.control.status import MemberStatus
from kestrelplank.http.connection import dial
from kestrelplank.http.server import Server, create_server
from kestrelplank.http.socket_options import listening_socket

S = 1_000_000_000
HOST = "shop.example"
WORK = (0.01, 0.03)  # s that a stand-in works on a request
PATIENCE = 60.0  # s for the gateway to be ready
CALLS = {"views": ("GET", "/views/"), "orders": ("POST", "/orders/"), "uploads": ("POST", "/uploads/")}


class Tally:
    """What the stand-ins saw."""

    def __init__(self) -> None:
        self.runs: dict[str, int] = {}  # by request
        self.once: dict[str, None] = {}  # requests that may run at most once
        self.answered: dict[int, int] = {}
        self.asked, self.good, self.held_twice = 0, 0, 0
        self.promised_and_ran = 0


class StandIn:
    """One server of a service, one life of it."""

    def __init__(self, name: str, service: str, address: tuple[str, int], tally: Tally, peers: list["StandIn"]) -> None:
        self.name, self.service, self.address, self.tally, self.peers = name, service, address, tally, peers
        self.holds: list[tuple[int, int, int, float]] = []  # first, last, fence, until
        self.state, self.running = "ready", 0
        self.front: Server | None = None

    def holds_key(self, key: int, now: float) -> bool:
        return any(first <= key <= last and until > now for first, last, _, until in self.holds)

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        body = b""
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return
            body += message["body"]
            if not message.get("more_body"):
                break
        fields = dict(scope["headers"])
        if scope["path"] in ("/api/grant", "/api/release"):
            status, headers, text = self.keys(scope["path"], msgspec.json.decode(body)), [(b"x-handover", b"h")], b""
        else:
            status, headers, text = await self.request(fields, body)
        headers.append((b"content-length", str(len(text)).encode()))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": text})

    def keys(self, path: str, call: dict[str, Any]) -> int:
        now, (first, last, fence) = time.monotonic(), (call["source"], call["target_version"], call["fence"])
        if path.endswith("grant") and any(a <= last and first <= b and seen > fence for a, b, seen, _ in self.holds):
            return 409
        kept = []
        for a, b, seen, until in self.holds:  # what this call does not speak of stays as it is
            kept += [(x, y, seen, until) for x, y in ((a, min(b, first - 1)), (max(a, last + 1), b)) if x <= y]
        until = now + call["hold_s"] if path.endswith("grant") else 0.0
        self.holds = [*kept, (first, last, fence, until)]
        return 200

    async def request(self, fields: dict[bytes, bytes], body: bytes) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        attempt, key, now = fields.get(b"x-attempt-id", b""), fields.get(b"x-shard-key"), time.monotonic()
        target = fields.get(b"x-target-instance")
        if target is not None and target.decode() != self.name:
            return 421, [(b"x-instance-id", self.name.encode())], b""
        if self.service == "views" and (key is None or not self.holds_key(int(key), now)):
            return 421, [(b"x-not-executed", b"1")], b""
        if key is not None and sum(peer.holds_key(int(key), now) for peer in self.peers if peer.front) > 1:
            self.tally.held_twice += 1
        self.tally.runs[attempt.decode()] = self.tally.runs.get(attempt.decode(), 0) + 1
        self.running += 1
        await asyncio.sleep(random.uniform(*WORK))
        self.running -= 1
        return (
            200,
            [
                (b"x-attempt-id", attempt),
                (b"x-server-seal", self.name.encode()),
                (b"x-server-load", b"%d,0,4" % (self.running + 1)),
            ],
            b"%d" % len(body),
        )

    async def start(self) -> None:
        self.front = create_server(self.app, 10, 1)
        sock = listening_socket(*self.address)
        self.task = asyncio.create_task(self.front.serve([sock]))

    async def stop(self) -> None:
        if self.front is not None:
            self.front.should_exit, self.front = True, None
            await self.task


class Platform:
    """The platform's list."""

    def __init__(self, servers: list[StandIn]) -> None:
        self.servers = servers

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        await receive()
        listed = [
            {
                "server_id": one.name,
                "target_service": one.service,
                "address": "%s:%d" % one.address,
                "zone": "hall",
                "slots": 4,
                "state": one.state,
                "warmup_left_s": 0,
            }
            for one in self.servers
            if one.state != "gone"
        ]
        body = msgspec.json.encode({"instances": listed, "next_token": None})
        await send(
            {"type": "http.response.start", "status": 200, "headers": [(b"content-length", str(len(body)).encode())]}
        )
        await send({"type": "http.response.body", "body": body})


class Machine(NamedTuple):
    """One process of the gateway: its role, address and settings file."""

    role: str
    ip: str
    settings: str


def free_port(ips: list[str]) -> int:
    """A port that is free at all these addresses."""
    while True:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            try:
                for ip in ips[1:]:
                    stack.enter_context(socket.socket()).bind((ip, port))
            except OSError:
                continue
            return port


class Yard:
    """The whole: `cores` control members, `edges` edge machines, and a control member more that takes the place of one
    that is lost."""

    def __init__(self, folder: str, seed: int = 1, cores: int = 3, edges: int = 2, log: str = "WARNING") -> None:
        base = random.SystemRandom().randrange(1, 250)
        self.random, self.log = random.Random(seed), log
        ips = [f"127.0.{base}.{number}" for number in range(1, 2 + cores + edges)]
        self.port, self.telegraph, self.ready_port = (free_port(ips) for _ in range(3))
        self.tally = Tally()
        self.servers: list[StandIn] = []
        for service, count in (("views", 4), ("orders", 2), ("uploads", 2)):
            for number in range(count):
                ip = f"127.0.{base}.{100 + len(self.servers)}"
                address = ip, free_port([ip])
                self.servers.append(StandIn(f"{service}-{number}", service, address, self.tally, self.servers))
        self.cloud = (f"127.0.{base}.99", free_port([f"127.0.{base}.99"]))
        self.seeds = [f"{ip}:{self.port}" for ip in ips[:cores]]
        roles = ["control"] * cores + ["edge"] * edges
        self.machines = [self.machine(folder, role, ip, at) for at, (role, ip) in enumerate(zip(roles, ips))]
        self.spare = self.machine(folder, "control", ips[-1], len(roles))
        self.processes: dict[Machine, asyncio.subprocess.Process] = {}

    def machine(self, folder: str, role: str, ip: str, number: int) -> Machine:
        name = f"{role}-{number}"
        listens = (
            f'control_plane = "{ip}:{self.port}"'
            if role == "control"
            else f'frontend = "{ip}:{self.port}"\nreadiness = "{ip}:{self.ready_port}"'
        )
        text = f"""[local_system]
node_name = "{name}"
ip_address = "{ip}"
zone = "hall"
initial_boot = BOOT
data_directory = "{folder}/{name}"
[network]
internal_port_range = [{self.telegraph}, {self.telegraph}]
seed_nodes = {msgspec.json.encode(self.seeds).decode()}
[network.listen_addresses]
{listens}
[platform.cloud_api]
address = "{self.cloud[0]}:{self.cloud[1]}"
"""
        machine = Machine(role, ip, f"{folder}/{name}.toml")
        with open(machine.settings, "w") as file:
            file.write(text.replace("BOOT", "true"))
        return machine

    async def start(self, machine: Machine, again: bool = False) -> None:
        if again:
            with open(machine.settings) as file:
                text = file.read().replace("initial_boot = true", "initial_boot = false")
            with open(machine.settings, "w") as file:
                file.write(text)
        self.processes[machine] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kestrelplank.gateway",
            machine.role,
            f"--settings={machine.settings}",
            f"--level={self.log}",
        )

    def end(self, machine: Machine, number: int = signal.SIGKILL) -> None:
        process = self.processes.pop(machine)
        if process.returncode is None:
            process.send_signal(number)

    async def call(self, ip: str, port: int, method: str, path: str, body: bytes = b"", more: Any = ()) -> Any:
        """One call on a connection of its own; None where no answer came."""
        try:
            async with asyncio.timeout(2.0):
                line = await dial((ip, port), 1.0)
                try:
                    return await line.call(
                        method.encode(),
                        path.encode(),
                        [(b"Host", HOST.encode()), (b"Content-Length", str(len(body)).encode()), *more],
                        body,
                    )
                finally:
                    line.reset()
        except Exception:  # noqa: BLE001 - a client tells one failure from another as little
            return None

    async def configure(self, version: int) -> bool:
        kinds = {"views": "idempotent", "orders": "non_idempotent", "uploads": "upload"}
        routes = [
            {
                "name": name,
                "path_prefix": path,
                "route_type": kinds[name],
                "timeout_s": 1.5,
                "target_latency_s": 0.5,
                "priority": 1,
                "target_service": name,
                "max_attempts": 2,
            }
            for name, (_, path) in CALLS.items()
        ]
        text = msgspec.json.encode(
            {
                "config_version": f"{version:08x}",
                "service_table": [{"name": name, "sharded": name == "views"} for name in CALLS],
                "virtual_hosts": [{"host_name": HOST, "host_routes": routes}],
            }
        )
        for _ in range(60):
            for machine in self.machines:
                if machine.role == "control" and machine in self.processes:
                    answer = await self.call(machine.ip, self.port, "POST", "/api/configuration/replace", text)
                    if answer is not None and answer.status == 200:
                        return True
            await asyncio.sleep(0.2)
        return False

    async def ready(self) -> bool:
        """Whether all edges say so, and all keys are held."""
        until = time.monotonic() + PATIENCE
        while time.monotonic() < until:
            asked = [
                await self.call(machine.ip, self.ready_port, "GET", "/api/readiness")
                for machine in self.processes
                if machine.role == "edge"
            ]
            now = time.monotonic()
            held = all(any(one.holds_key(key, now) for one in self.servers) for key in range(0, 65536, 512))
            if held and asked and all(answer is not None and answer.status == 200 for answer in asked):
                return True
            await asyncio.sleep(0.1)
        return False

    async def request(self, number: int) -> None:
        """One client: a request, and once more where it was promised that it has not run."""
        kind = self.random.choice(("views", "views", "views", "orders", "uploads"))
        method, path = CALLS[kind]
        body = b"x" * (20_000 if kind == "uploads" else 200) if method == "POST" else b""
        self.tally.asked += 1
        for again in range(3):
            attempt = f"r-{number}-{again}"
            edges = [machine for machine in self.processes if machine.role == "edge"]
            edge = self.random.choice(edges)
            if kind != "views":
                self.tally.once[attempt] = None
            answer = await self.call(
                edge.ip,
                self.port,
                method,
                f"{path}{number}",
                body,
                [
                    (b"X-Attempt-Id", attempt.encode()),
                    (b"X-Deadline-Remaining", b"1500"),
                    (b"X-Shard-Key", str(self.random.randrange(65536)).encode()),
                ],
            )
            status = answer.status if answer else 0
            self.tally.answered[status] = self.tally.answered.get(status, 0) + 1
            if status == 200 and answer.body == b"%d" % len(body):
                self.tally.good += 1
                return
            if status in (408, 421, 429, 503):
                self.tally.promised_and_ran += kind != "views" and attempt in self.tally.runs
            elif kind != "views" and status:
                return
            await asyncio.sleep(0.1)

    async def load(self, requests: int, per_s: float) -> None:
        tasks = []
        for number in range(requests):
            tasks.append(asyncio.create_task(self.request(number)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    async def losses(self) -> list[str]:
        """The script: the control member that decides is killed and comes back, a server drains, one is lost, an edge
        machine is told to stop, and a control member is lost for good and replaced by an empty one."""
        told = []
        members = [machine for machine in self.machines if machine.role == "control"]
        edges = [machine for machine in self.machines if machine.role == "edge"]
        deciders = [machine for machine in members if await self.decides(machine)]
        lost = (deciders or members)[0]
        self.end(lost)
        told.append(f"killed {lost.ip}, which decided")
        await asyncio.sleep(0.5)
        self.servers[0].state = "draining"
        told.append(f"{self.servers[0].name} drains")
        await asyncio.sleep(1.0)
        self.end(edges[0], signal.SIGTERM)
        told.append(f"{edges[0].ip} is told to stop")
        await asyncio.sleep(1.0)
        await self.start(lost, again=True)
        self.servers[1].state = "gone"
        await self.servers[1].stop()
        told.append(f"{self.servers[1].name} is lost")
        await self.until(lambda: self.current(lost))
        gone = next(machine for machine in members if machine is not lost)
        self.end(gone)
        await self.start(self.spare, again=True)
        told.append(f"{gone.ip} is lost for good, {self.spare.ip} comes empty")
        return told

    async def until(self, condition: Callable[[], Awaitable[bool]]) -> bool:
        """Whether that comes true within what is waited for."""
        until = time.monotonic() + PATIENCE
        while time.monotonic() < until:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    async def status(self, machine: Machine) -> MemberStatus | None:
        """What that control member sees, if it answers."""
        answer = await self.call(machine.ip, self.port, "GET", "/api/status")
        return msgspec.json.decode(answer.body, type=MemberStatus) if answer and answer.status == 200 else None

    async def decides(self, machine: Machine) -> bool:
        seen = await self.status(machine)
        return seen is not None and any(service.assigned_here for service in seen.services.values())

    async def current(self, machine: Machine) -> bool:
        seen = await self.status(machine)
        return seen is not None and seen.current

    async def replaced(self) -> bool:
        """Whether the member that came empty counts, and has all that is agreed."""
        seen = await self.status(self.spare)
        return seen is not None and seen.current and seen.member in seen.voters

    async def run(self, requests: int, per_s: float) -> dict[str, Any]:
        """Plays the script. Returns what was seen."""
        front = create_server(Platform(self.servers).app, 10, 1)
        serving = asyncio.create_task(front.serve([listening_socket(*self.cloud)]))
        try:
            for one in self.servers:
                await one.start()
            began = time.monotonic()
            for machine in self.machines:
                await self.start(machine)
            if not await self.configure(1) or not await self.ready():
                return {"ready": False, "replaced": False}
            ready_s = time.monotonic() - began
            loading = asyncio.create_task(self.load(requests, per_s))
            told = await self.losses()
            await loading
            replaced = await self.until(self.replaced)
            twice = [attempt for attempt in self.tally.once if self.tally.runs.get(attempt, 0) > 1]
            return {
                "ready": True,
                "ready_s": round(ready_s, 2),
                "losses": told,
                "replaced": replaced,
                "asked": self.tally.asked,
                "served": self.tally.good,
                "answers": dict(sorted(self.tally.answered.items())),
                "run_twice": len(twice),
                "promised_and_ran": self.tally.promised_and_ran,
                "held_twice": self.tally.held_twice,
                "holders": {
                    one.name: sum(last - first + 1 for first, last, _, until in one.holds if until > time.monotonic())
                    for one in self.servers
                    if one.front and one.service == "views"
                },
            }
        finally:
            for machine in list(self.processes):
                process = self.processes[machine]
                self.end(machine, signal.SIGTERM)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(8):
                        await process.wait()
            front.should_exit = True
            await serving
            for one in self.servers:
                await one.stop()


def play(requests: int = 300, per_s: float = 60.0, log: str = "WARNING") -> dict[str, Any]:
    """A small gateway through the script of losses, on loopback."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Yard(folder, log=log).run(requests, per_s))
