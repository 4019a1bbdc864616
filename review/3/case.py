"""Case 3: an edge gets SIGTERM while repeatable requests are at work at servers, and answers some itself."""

import asyncio
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CouldNotRunError,
    Gateway,
    Platform,
    Record,
    Run,
    Server,
    call,
    configuration,
    play,
    request,
    route,
    service,
)

HOST = "shop.example"
SERVERS, REQUESTS = 10, 14  # each server works on two requests at a time
WORK_MS, DEADLINE_S, TIMEOUT_S, GRACE_S = 900, 1.5, 1.5, 6.0
BEFORE_SIGTERM_S = 0.1
BREAK_OFF_S = 0.1  # at most, from the end of the connection to the server until the answer is seen


@dataclass
class Sent:
    """A client's request and its answer."""

    attempt: str
    sent_at: float
    answered_at: float = 0.0
    status: int | None = None
    sealed: bool = False  # the answer is a server's


async def send(record: Record, address: tuple[str, int]) -> Sent:
    """Send a request that is at work for `WORK_MS`, and return it with its answer."""
    sent = Sent(f"{random.getrandbits(64):016x}", record.now())
    headers = {"Host": HOST, "X-Attempt-Id": sent.attempt, "X-Deadline-Remaining": str(int(DEADLINE_S * 1000))}
    record.write(f"client sends {sent.attempt}")
    answer = await call(address, "GET", f"/a/x?work-ms={WORK_MS}", headers, timeout_s=DEADLINE_S)
    sent.answered_at = record.now()
    if answer:
        sent.status, sent.sealed = answer[0], "x-server-seal" in answer[1]
    text = f"{answer[0]} {answer[2][:40]!r}" if answer else "no answer"
    seconds = sent.answered_at - sent.sent_at
    record.write(f"client: {sent.attempt} is answered after {seconds:.3f} s: {text}, seal {sent.sealed}")
    return sent


async def script(record: Record, folder: Path) -> int:
    """Play the case and return its result."""
    gateway = Gateway(record, folder, controls=3, edges=2)
    servers = [
        Server(record, "alpha", gateway.other_address(), gateway.zones[number % 3], sharded=False)
        for number in range(SERVERS)
    ]
    platform_address = gateway.other_address()
    platform = Platform(record, platform_address, servers, crashed_listed_s=3.0)
    wanted = route("/a/", "alpha", timeout_s=TIMEOUT_S, target_latency_s=0.4)
    try:
        for server in servers:
            await server.start()
        await platform.start()
        await gateway.start({machine.name: platform_address for machine in gateway.machines})
        await gateway.replace(configuration(1, HOST, [service("alpha", sharded=False)], [wanted]))
        await gateway.wait_until_ready()
        edge = gateway.of_role("edge")[0]
        address = gateway.front_address(edge)
        for _ in range(60):
            if await request(record, address, HOST, "/a/x") != 200:  # noqa: PLR2004
                raise CouldNotRunError("the route is not served before the trouble")
        await asyncio.sleep(4)  # contact_s and more without any trouble
        requests = [asyncio.create_task(send(record, address)) for _ in range(REQUESTS)]
        await asyncio.sleep(BEFORE_SIGTERM_S)
        stopped_at = record.now()
        if TROUBLE:
            gateway.processes[edge.name].send_signal(signal.SIGTERM)
            record.write(f"{edge.name} gets SIGTERM")
        answered = await asyncio.gather(*requests)
        runs = [run for server in servers for run in server.runs]
        return judge(record, answered, runs, stopped_at)
    finally:
        await gateway.stop()


def was_at_work(run: Run, answered_at: float) -> bool:
    """Whether the server was at work until the edge broke the request off, just before its own answer."""
    return run.done_at > answered_at and (run.dropped_at is None or run.dropped_at > answered_at - BREAK_OFF_S)


def judge(record: Record, answered: list[Sent], runs: list[Run], stopped_at: float) -> int:
    """Find requests that the edge broke off at a server and answered itself, between SIGTERM and 1 s after grace_s."""
    broken = 0
    for sent in answered:
        at_work = [run for run in runs if run.attempt == sent.attempt and was_at_work(run, sent.answered_at)]
        early = sent.answered_at < sent.sent_at + min(DEADLINE_S, TIMEOUT_S)
        in_time = stopped_at <= sent.answered_at <= stopped_at + GRACE_S + 1
        if at_work and early and in_time and not sent.sealed:
            broken += 1
            run, seconds = at_work[-1], sent.answered_at - sent.sent_at
            record.write(
                f"LOST: {sent.attempt} is answered {sent.status} by the edge after {seconds:.3f} s;"
                f" {run.life} was at work on it, and {run.done_at - sent.answered_at:.3f} s of the work were left"
            )
    record.write(f"{broken} of {len(answered)} requests were broken off and answered by the edge")
    return BROKEN if broken and TROUBLE else HELD


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, script)
