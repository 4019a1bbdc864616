"""The edge program on sockets, round `forwarding` and `transport.outlook`: it translates and sends, no more."""

import asyncio
import logging
import signal
import time
from random import Random, SystemRandom
from typing import Any
from zlib import crc32

from kestrelplank.config.platform import Settings, endpoint, ns
from kestrelplank.edge.lines import HOP, Lines
from kestrelplank.forwarding.kinds import ANSWERS, Fault
from kestrelplank.forwarding.passage import ForwardedRequest, Forwarder
from kestrelplank.http.serve import Duties, listener, server
from kestrelplank.transport.outlook import SILENT, EdgeView
from kestrelplank.transport.wire import Frame, FrameConnection

S = 1_000_000_000
DIAL = 0.6  # s for a session to come up
AGAIN = 0.25  # s between dials
BEAT = 0.4  # s between our words to each member
REPORT = 0.5  # s between reports of load
LEAVE = 2.3  # s after SIGTERM in which the platform learns that we take nothing new
BODIES = 0.25  # of this machine's memory may be bodies that are on their way
DEFAULT_WAIT = 30 * S  # of a client that does not say how long it waits
log = logging.getLogger("edge")


class EdgeProgram:
    """The program: one loop, one application for clients and for the platform's question."""

    def __init__(self, settings: Settings, trace: int = 0) -> None:
        self.settings, self.trace = settings, trace
        local, bounds = settings.local_system, settings.bounds
        self.random = Random(SystemRandom().getrandbits(64))
        self.outlook = EdgeView(local.node_name, tuple(settings.network.seed_nodes))
        self.junction = Forwarder(
            self.random, self.outlook, local.zone, bounds.retry_budget_ratio, bounds.retry_allowance, ns(bounds.drain_s)
        )
        self.lines = Lines(time.monotonic_ns)
        self.readiness_port = settings.listen("readiness")[1]
        self.stopping = False
        self.changed = asyncio.Event()
        self.sessions: dict[str, asyncio.Task[None]] = {}
        self.wires: dict[str, FrameConnection] = {}
        self.heard: dict[FrameConnection, int] = {}
        self.counts: dict[str, int] = {}
        self.held, self.holds = 0, int(local.limits.memory_mb * (1 << 20) * BODIES)  # bytes of bodies, and their bound

    # Requests.

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["server"][1] == self.readiness_port:
            good = self.outlook.ready() and not self.stopping
            await self.answer(send, 200 if good else 503, [], b"")
            return
        came = time.monotonic_ns()
        fields = dict(scope["headers"])
        taken = [0]
        try:
            body = await self.body(receive, taken)
            if isinstance(body, Fault):
                await self.refuse(send, body, S // 2 if ANSWERS[body].promises else 0)
            elif body is not None:  # else the client has gone
                await self.pass_on(scope, fields, body, came, receive, send)
        finally:
            self.held -= taken[0]

    async def pass_on(
        self, scope: dict[str, Any], fields: dict[bytes, bytes], body: bytes, came: int, receive: Any, send: Any
    ) -> None:
        """A request that is here whole, and came at that time."""
        now = time.monotonic_ns()
        passage, step = self.junction.begin(
            now,
            fields.get(b"host", b"").decode("latin-1"),
            scope["path"],
            fields.get(b"x-shard-key", b"").decode("latin-1") or None,
            waits(fields) - (now - came),
            len(body),
        )
        if passage is None:
            await self.refuse(send, step[1], step[2])
            return
        gone = asyncio.ensure_future(receive())
        tries: list[dict[str, Any]] = []
        try:
            await self.carry(scope, fields, body, passage, step, send, gone, tries)
        finally:
            gone.cancel()
            attempt = fields.get(b"x-attempt-id", b"")
            if self.trace and crc32(attempt) % self.trace == 0:
                log.info(
                    "Edge: request",
                    extra={
                        "attempt": attempt.decode("latin-1"),
                        "path": scope["path"],
                        "service": passage.service,
                        "key": passage.key,
                        "tries": tries,
                        "ms": (time.monotonic_ns() - came) // 1_000_000,
                    },
                )

    async def body(self, receive: Any, taken: list[int]) -> bytes | Fault | None:
        """The whole body; a fault where it can't be taken, None where the client has gone. What it holds of the memory
        for bodies is added to `taken`, for who gives it back."""
        parts, size = [], 0
        most = self.outlook.timetable.max_body if self.outlook.timetable else 1 << 20
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return None
            parts.append(message["body"])
            size += len(message["body"])
            taken[0] += len(message["body"])
            self.held += len(message["body"])
            if size > most:
                return Fault.TOO_LARGE
            if self.held > self.holds:
                return Fault.NO_MEMORY
            if not message.get("more_body"):
                return b"".join(parts)

    async def carry(
        self,
        scope: dict[str, Any],
        fields: dict[bytes, bytes],
        body: bytes,
        passage: ForwardedRequest,
        step: tuple[Any, ...],
        send: Any,
        gone: asyncio.Future[Any],
        tries: list[dict[str, Any]],
    ) -> None:
        """Does what the junction says until the request has its answer; `tries` tells them."""
        method = scope["method"].encode()
        target = scope["raw_path"] + (b"?" + scope["query_string"] if scope["query_string"] else b"")
        attempt = fields.get(b"x-attempt-id", b"")
        passed = [
            (name, value)
            for name, value in scope["headers"]
            if name not in HOP and name not in (b"x-deadline-remaining", b"x-target-instance")
        ]
        if body or b"content-length" in fields or b"transfer-encoding" in fields:
            passed.append((b"content-length", str(len(body)).encode()))
        outcome = None
        while True:
            word = step[0]
            if word == "send":
                _, stand, within = step
                headers = [
                    *passed,
                    (b"x-deadline-remaining", str(max(1, within // 1_000_000)).encode()),
                    (b"x-target-instance", stand.server.encode()),
                ]
                trying = asyncio.ensure_future(
                    self.lines.carry(
                        stand.address,
                        method,
                        target,
                        headers,
                        body,
                        attempt,
                        within,
                        self.junction.connections(passage.service),
                    )
                )
                await asyncio.wait((trying, gone), return_when=asyncio.FIRST_COMPLETED)
                if not trying.done():
                    if passage.route.repeatable:
                        trying.cancel()  # nobody waits for it, and another run would do no harm
                    await asyncio.wait((trying,))
                    self.junction.ended(time.monotonic_ns(), passage, "silent", 0, None)
                    return
                outcome = trying.result()
                status = outcome.answer.status if outcome.answer else 0
                step = self.junction.ended(time.monotonic_ns(), passage, outcome.kind, status, outcome.load())
                stand.kept = self.lines.unused(stand.address)
                self.count(f"try {outcome.kind}")
                tries.append(
                    {
                        "server": stand.server,
                        "ended": outcome.kind,
                        "status": status,
                        "ms": (time.monotonic_ns() - passage.sent_at) // 1_000_000,
                    }
                )
                self.wake()
            elif word == "wait":
                self.count("wait")
                left = max(0, step[1] - time.monotonic_ns()) / S
                changed = asyncio.ensure_future(self.changed.wait())
                await asyncio.wait((changed, gone), timeout=left, return_when=asyncio.FIRST_COMPLETED)
                changed.cancel()
                if gone.done():
                    return
                step = self.junction.again(time.monotonic_ns(), passage)
            elif word == "give":
                answer = outcome.answer
                headers = [(name.lower(), value) for name, value in answer.headers if name.lower() not in HOP]
                await self.answer(send, answer.status, headers, answer.body)
                return
            else:
                await self.refuse(send, step[1], step[2])
                return

    async def refuse(self, send: Any, fault: Fault, after: int) -> None:
        """An answer of our own, as the table of errors has it."""
        self.count(f"refused: {fault.value}")
        headers = [(b"retry-after", f"{after / S:.3f}".encode())] if after else []
        await self.answer(send, ANSWERS[fault].status, headers, fault.value.encode())

    async def answer(self, send: Any, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        headers.append((b"content-length", str(len(body)).encode()))
        if self.stopping:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    def tell(self) -> None:
        """What this member has counted and sees, as one line of the log."""
        now = time.monotonic_ns()
        log.info(
            "Edge: counts",
            extra={
                "counts": self.counts,
                "held": self.held,
                "ready": self.outlook.ready(),
                "sessions": {
                    member: (now - self.heard.get(wire, now)) // 1_000_000 for member, wire in self.wires.items()
                },
                "busy": {
                    name: round(stand.load(now), 1)
                    for name, stand in self.junction.stands.by_name.items()
                    if stand.load(now) >= 1
                },
            },
        )

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # Sessions.

    def on_frame(self, wire: FrameConnection, frame: Frame) -> None:
        now = time.monotonic_ns()
        self.heard[wire] = now
        what = self.outlook.frame(now, wire.peer, frame)
        if what is None:
            return
        if what == "word":
            timetable = self.outlook.timetable
            self.front.config.timeout_keep_alive = timetable.idle / S
            log.info("Edge: configuration %08x", timetable.key.version)
        elif what == "roster":
            self.junction.stands.listed(now, self.outlook.roster.fetched_at, self.outlook.roster.entries.values())
        elif what == "members":
            self.meet()
        self.junction.budget.edges = self.outlook.edges
        self.wake()

    def wake(self) -> None:
        """Requests that wait look again."""
        self.changed.set()
        self.changed.clear()

    def meet(self) -> None:
        """Sessions with all members, and with nobody else."""
        for member in self.outlook.members:
            if member not in self.sessions:
                self.sessions[member] = asyncio.create_task(self.session(member))
        for member in [member for member in self.sessions if member not in self.outlook.members]:
            self.sessions.pop(member).cancel()

    async def session(self, member: str) -> None:
        """A session with that member, begun anew whenever it has ended or stands silent."""
        host = endpoint(member)[0]
        loop = asyncio.get_running_loop()
        while True:
            wire = None
            try:
                async with asyncio.timeout(DIAL):
                    _, wire = await loop.create_connection(
                        lambda: FrameConnection(self.on_frame, self.on_end), host, self.settings.telegraph_port()
                    )
                wire.peer, self.wires[member] = member, wire
                self.heard[wire] = time.monotonic_ns()
                while wire.open and time.monotonic_ns() - self.heard[wire] < SILENT:
                    wire.send(self.outlook.stand())
                    await asyncio.sleep(BEAT)
            except (OSError, TimeoutError):
                pass
            finally:
                if wire is not None:
                    wire.reset()
                    self.heard.pop(wire, None)
                    if self.wires.get(member) is wire:
                        del self.wires[member]
            await asyncio.sleep(AGAIN * (1 + self.random.random()))

    def on_end(self, wire: FrameConnection) -> None:
        """The session's own task sees that it has ended."""

    async def reporting(self) -> None:
        """Tells deciders what was seen, and closes what has been idle too long."""
        while True:
            await asyncio.sleep(REPORT)
            for service, found in self.junction.report().items():
                wire = self.wires.get(self.outlook.decider(service) or "")
                if wire is not None and (found["keys"] or found["servers"]):
                    wire.send({"t": "report", "service": service, **found})
            for stand in self.junction.stands.by_name.values():
                stand.kept = self.lines.unused(stand.address)
            self.lines.tidy({stand.address for stand in self.junction.stands.by_name.values() if stand.ready})

    # The whole.

    def listen(self) -> None:
        """Takes connections from now on."""
        sockets = [listener(*self.settings.listen(name)) for name in ("frontend", "readiness")]
        self.front = server(self.app, 15, self.settings.bounds.grace_s - LEAVE - 0.5)
        self.serving = asyncio.create_task(self.front.serve(sockets))

    async def leave(self, within: float) -> None:
        """Stops in order: for so many seconds we say that we are not ready, and each answer that its connection ends;
        then nothing new is taken, and what is in hand is finished."""
        self.stopping = True
        await asyncio.sleep(within)
        self.front.should_exit = True
        await self.serving

    async def run(self) -> int:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        loop.add_signal_handler(signal.SIGUSR1, self.tell)
        self.listen()
        self.meet()
        duties = Duties("Edge", stop)
        duties.add(self.reporting())
        log.info("Edge: started")
        await stop.wait()
        log.info("Edge: stopping")
        await self.leave(LEAVE)
        duties.cancel()
        for task in self.sessions.values():
            task.cancel()
        log.info("Edge: stopped", extra={"counts": self.counts})
        return 1 if duties.failed else 0


def waits(fields: dict[bytes, bytes]) -> int:
    """How long the client waits (ns)."""
    try:
        return max(0, round(float(fields.get(b"x-deadline-remaining", b"")) * 1_000_000))
    except (ValueError, OverflowError):
        return DEFAULT_WAIT


async def run(settings: Settings, trace: int = 0) -> int:
    """Runs the program until SIGTERM; `trace`: one in so many requests is logged, 0 for none. Returns the exit code."""
    return await EdgeProgram(settings, trace).run()
