"""The control program on sockets and disk, round `box.Box`: it translates, sends and writes, and decides nothing."""

import asyncio
import logging
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random, SystemRandom
from typing import Any

import msgspec

from kestrelplank.config.platform import Settings, endpoint, ns
from kestrelplank.configuration.keeping import SETTLED
from kestrelplank.configuration.plan import Configuration
from kestrelplank.control.box import Box, Effect
from kestrelplank.control.calls import application
from kestrelplank.control.server_calls import FAILED, ServerCalls
from kestrelplank.http.call import Line as Connection
from kestrelplank.http.call import dial
from kestrelplank.http.serve import Duties, listener, server
from kestrelplank.sharding.lines import Line
from kestrelplank.storage.store import Store
from kestrelplank.transport.sessions import Sessions
from kestrelplank.transport.wire import Frame, FrameConnection, packed

S = 1_000_000_000
TICK = 0.05
DIAL = 0.6  # s, for a connection to come up
AGAIN = 0.25  # s between dials of a member that does not answer
POLL, POLL_RANK = S // 2, S // 2  # how old the platform's list may become, and how much older by rank
EDGE_SILENT = 2 * S
log = logging.getLogger("control")


class ControlProgram:
    """The program. One loop; the disk has a thread of its own."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        local = settings.local_system
        host, port = settings.listen("control_plane")
        self.me = f"{host}:{port}"
        self.store = Store(local.data_directory or f"/tmp/{local.node_name}")
        self.disk = ThreadPoolExecutor(1)
        self.box: Box | None = None
        self.peers: dict[str, FrameConnection] = {}  # those we dialled, by member
        self.edges, self.speakers = Sessions(), Sessions()  # edge members, and the other control members
        self.wires: dict[FrameConnection, int] = {}  # all that came in, with when they last said anything
        self.callers: dict[str, ServerCalls] = {}
        self.tickets: dict[int, asyncio.Future[Any]] = {}
        self.ticket = 0
        self.cloud: Connection | None = None
        self.learnt: asyncio.Future[tuple[str, ...]] | None = None
        self.random = Random(SystemRandom().getrandbits(64))

    # What the box wants done.

    def carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            word = effect[0]
            if word == "send":
                wire = self.peers.get(effect[1])
                if wire is not None:
                    wire.send({**effect[2], "from": self.me})
            elif word == "frames":
                frames = [packed(frame) for frame in effect[1]]
                for wire in self.edges.wires():
                    for frame in frames:
                        wire.send(frame)
            elif word == "disk":
                asyncio.ensure_future(self.write(*effect[1:]))
            elif word == "call":
                caller = self.callers.get(effect[4])
                if caller is None:
                    caller = self.callers[effect[4]] = ServerCalls(self.called, effect[4])
                caller.queue.put_nowait(effect)
            elif word in ("answer", "show"):
                future = self.tickets.pop(effect[1], None)
                if future is not None and not future.done():
                    future.set_result(effect)
            elif word == "log":
                log.info("Control: %s", effect[1])

    async def write(self, what: str, payload: Any, then: list[Effect]) -> None:
        """Writes in the disk's thread, again and again where the disk refuses; what follows, follows once it lasts."""
        while True:
            try:
                await asyncio.get_running_loop().run_in_executor(self.disk, self.write_now, what, payload)
                break
            except Exception as err:  # noqa: BLE001 - whatever a disk in trouble raises: the member goes on without it
                log.warning("Storage: can't write %s: %s", what, err)
                await asyncio.sleep(0.3)
        now = time.monotonic_ns()
        for effect in then:
            if effect[0] == "stored":
                self.carry_out(self.box.stored(now, effect[1]))
            elif effect[0] == "adopted":
                log.info("Control: back with what the others told")
                self.carry_out(self.box.adopted(now))
            elif effect[1] == self.me:
                self.carry_out(self.box.frame(now, self.me, effect[2]))
            else:
                self.carry_out([effect])

    def write_now(self, what: str, payload: Any) -> None:
        if what == "word":
            self.store.keep_word(payload)
        elif what == "register":
            self.store.keep_registers({payload[0]: payload[1]})
        else:
            members, registers, word = payload
            self.store.keep_registers(registers)
            if word is not None:
                self.store.keep_word(word)
            self.store.keep_roll(members)

    def called(self, service: str, word: str, line: Line, sent: bool, status: int | None, handover: str | None) -> None:
        self.carry_out(self.box.called(time.monotonic_ns(), service, word, line, sent, status, handover))

    # Calls of the operator.

    async def wait_for(self, start: Any, *given: Any) -> Effect:
        self.ticket += 1
        ticket = self.ticket
        future = self.tickets[ticket] = asyncio.get_running_loop().create_future()
        self.carry_out(start(time.monotonic_ns(), ticket, *given))
        return await future

    async def put(self, timetable: Configuration) -> bool:
        if self.box is None:
            return False
        effect = await self.wait_for(self.box.put, timetable)
        return effect[2] == SETTLED

    async def show(self) -> tuple[bool, Configuration | None]:
        if self.box is None:
            return False, None
        effect = await self.wait_for(self.box.show)
        return effect[0] == "show", effect[2] if effect[0] == "show" else None

    def status(self) -> dict[str, Any]:
        if self.box is None:
            return {"member": self.me, "state": "looking for the others"}
        now = time.monotonic_ns()
        edges = {
            name: {
                "version": None if session.said is None else f"{session.said:08x}",
                "heard_s": round(session.silent_for(now) / S, 3),
            }
            for name, session in sorted(self.edges.by_name.items())
        }
        return {"member": self.me, "edges": edges, **self.box.status(now)}

    # Sessions.

    def on_frame(self, wire: FrameConnection, frame: Frame) -> None:
        """A frame on a connection that came in."""
        now = time.monotonic_ns()
        self.wires[wire] = now
        word = frame.get("t")
        if word == "who":
            wire.send({"t": "members", "members": self.box.members if self.box else ()})
        elif self.box is None:
            return
        elif "from" in frame:
            if frame["from"] in self.box.members and self.speakers.heard(now, wire, frame["from"]):
                self.carry_out(self.box.frame(now, frame["from"], frame))
        elif word == "at":
            session = self.edges.heard(now, wire, frame["edge"])
            if session is None:
                return
            session.said = frame["key"][0] if frame.get("key") else None
            wire.send(self.box.beat_frame(len(self.edges.by_name)))
            for answer in self.box.lacking(now, frame):
                wire.send(answer)
        elif word == "report":
            self.box.report(now, frame)

    def on_end(self, wire: FrameConnection) -> None:
        self.wires.pop(wire, None)
        for sessions in (self.edges, self.speakers):
            sessions.ended(wire)

    def on_reply(self, wire: FrameConnection, frame: Frame) -> None:
        """A frame on a connection that we dialled; only strangers to the roll are told anything there."""
        if frame.get("t") == "members" and frame["members"] and self.learnt and not self.learnt.done():
            self.learnt.set_result(tuple(frame["members"]))

    async def keep_dialled(self, member: str) -> None:
        """A connection to that member, dialled anew whenever it has ended or stands silent."""
        host = endpoint(member)[0]
        while True:
            ended = asyncio.get_running_loop().create_future()

            def over(wire: FrameConnection, ended: asyncio.Future[None] = ended) -> None:
                if not ended.done():
                    ended.set_result(None)

            try:
                async with asyncio.timeout(DIAL):
                    _, wire = await asyncio.get_running_loop().create_connection(
                        lambda: FrameConnection(self.on_reply, over), host, self.settings.telegraph_port()
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(AGAIN)
                continue
            if self.box is None:
                wire.send({"t": "who"})
            self.peers[member] = wire
            await ended
            if self.peers.get(member) is wire:
                del self.peers[member]
            await asyncio.sleep(AGAIN / 2)

    # The platform's list.

    async def poll(self) -> None:
        """Fetches the list where nobody in front of us has lately."""
        rank = self.box.members.index(self.me)
        while True:
            age = self.box.roster.age(time.monotonic_ns())
            if age is not None and age < POLL + rank * POLL_RANK:
                await asyncio.sleep(min(0.5, (POLL + rank * POLL_RANK - age) / S + 0.01))
                continue
            entries = await self.fetch()
            if entries is None:
                await asyncio.sleep(0.3 + self.random.random() * 0.2)
                continue
            now = time.monotonic_ns()
            changed = self.box.listed(now, 0, entries)
            frame = self.box.roster.frame(now)
            self.carry_out([("send", member, frame) for member in self.box.members if member != self.me])
            if changed:
                self.carry_out([("frames", [frame])])

    async def fetch(self) -> list[tuple[Any, ...]] | None:
        """The whole list, page by page; None where it could not be had."""
        entries, token = [], None
        address = endpoint(self.settings.cloud.address)
        try:
            async with asyncio.timeout(1.5):
                while True:
                    if self.cloud is None or self.cloud.surplus() or not self.cloud.keep:
                        self.cloud = await dial(address, DIAL)
                    target = "/instances" + (f"?page_token={token}" if token else "")
                    answer = await self.cloud.ask(b"GET", target.encode(), [(b"Host", b"platform")], b"")
                    if answer.status != 200:
                        return None
                    page = msgspec.json.decode(answer.body)
                    for one in page["instances"]:
                        entries.append(
                            (
                                one["server_id"],
                                one["target_service"],
                                one["address"],
                                one["zone"],
                                one["slots"],
                                one["state"],
                                ns(one["warmup_left_s"]),
                            )
                        )
                    token = page.get("next_token")
                    if not token:
                        return entries
        except (*FAILED, msgspec.DecodeError, KeyError, TypeError) as err:
            log.warning("Control: the platform's list can't be had: %s", type(err).__name__)
            if self.cloud is not None:
                self.cloud.reset()
            self.cloud = None
            return None

    # The whole.

    async def ticking(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            now = time.monotonic_ns()
            self.carry_out(self.box.tick(now))
            for wire, at in list(self.wires.items()):
                if now - at > EDGE_SILENT:
                    wire.reset()

    async def members(self) -> tuple[tuple[str, ...], bool]:
        """Who the counted members are, and whether our disk may be believed."""
        found = self.store.roll()
        if found is not None:
            return found, True
        seeds = tuple(sorted(self.settings.network.seed_nodes))
        if self.settings.local_system.initial_boot:
            self.store.keep_roll(seeds)
            return seeds, True
        self.learnt = asyncio.get_running_loop().create_future()
        asking = [asyncio.create_task(self.keep_dialled(seed)) for seed in seeds if seed != self.me]
        found = await self.learnt
        for task in asking:
            task.cancel()
        for wire in self.peers.values():
            wire.reset()
        self.peers.clear()
        return found, False

    async def run(self) -> int:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        sock = listener(*self.settings.listen("control_plane"))
        front = server(application(self), 15, 2)
        serving = asyncio.create_task(front.serve([sock]))
        telegraph = await loop.create_server(
            lambda: FrameConnection(self.on_frame, self.on_end),
            self.settings.local_system.ip_address,
            self.settings.telegraph_port(),
        )
        members, whole = await self.members()
        first = self.settings.local_system.initial_boot
        self.box = Box(
            time.monotonic_ns(), self.random, self.me, members, whole, first, self.store.word(), self.store.registers()
        )
        log.info("Control: member %s of %d%s", self.me, len(members), "" if whole else ", with an empty disk")
        duties = Duties("Control", stop)
        for member in members:
            if member != self.me:
                duties.add(self.keep_dialled(member))
        duties.add(self.poll())
        duties.add(self.ticking())
        await stop.wait()
        self.carry_out(self.box.resign(time.monotonic_ns()))
        telegraph.close()
        front.should_exit = True
        await serving
        duties.cancel()
        log.info("Control: stopped")
        return 1 if duties.failed else 0


async def run(settings: Settings) -> int:
    """Runs the program until SIGTERM. Returns the exit code."""
    return await ControlProgram(settings).run()
