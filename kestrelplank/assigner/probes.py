"""Checks of single nodes: a kept connection each, made at the first check of a node."""

from collections.abc import Callable

from kestrelplank.assigner.counters import Counters
from kestrelplank.assigner.front import load
from kestrelplank.decode import NS_PER_MS, Malformed
from kestrelplank.interface import Event, HealthChecked
from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.connection import address
from kestrelplank.sockets.http import Client
from kestrelplank.sockets.loop import Loop

MOST_NODES = 256  # connections kept, of the nodes checked last
MOST_BODY = 1 << 14
ANSWERS_WITHIN = 1000 * NS_PER_MS


class Check:
    """The checks of one node, one at a time."""

    def __init__(self, probes: "Probes", node: int, to: str) -> None:
        self._probes, self._node, self._asked_at = probes, node, 0
        self.client = Client(probes.loop, probes.pool, to, self, probes.dial, MOST_BODY)

    def ask(self) -> None:
        if not self.client.busy:
            self._probes.counters.add("probes_sent")
            self._asked_at = self._probes.loop.now()
            self.client.call("GET", self._probes.path, b"", ANSWERS_WITHIN)

    def on_answer(self, status: int, body: bytes) -> None:
        try:
            pairs = (pair.split("=") for pair in body.decode(errors="replace").strip().split(","))
            report = load(pairs) if status == 200 else {}
        except Malformed:
            report = {}
        self._tell("ok" if status == 200 else "full" if status == 503 else "failed", report)

    def on_broken(self, why: str) -> None:
        verdict = {"silent": "timed out", "does not come up": "unreachable", "ECONNREFUSED": "unreachable"}
        self._tell(verdict.get(why, "broken"), {})

    def _tell(self, verdict: str, report: dict[str, float]) -> None:
        self._probes.counters.add("probes_answered")
        duration_ns = self._probes.loop.now() - self._asked_at
        self._probes.on_event(HealthChecked(self._node, verdict, duration_ns, report))


class Probes:
    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        counters: Counters,
        addresses: dict[int, str],
        allowed: bool,
        dial: int,
        with_load: bool,
        on_event: Callable[[Event], None],
    ) -> None:
        self.loop, self.pool, self.counters, self.on_event = loop, pool, counters, on_event
        self._addresses, self._allowed, self.dial = addresses, allowed, dial
        self.path = "/status/load" if with_load else "/health"
        self._checks: dict[int, Check] = {}

    def probe(self, node: int) -> None:
        to = self._addresses.get(node, "")
        try:
            address(to)
        except ValueError:
            to = ""
        if not self._allowed or not to:
            self.counters.trouble("probes_not_sent", "not allowed" if to else f"node {node} has no address")
            return
        check = self._checks.pop(node, None)
        if check is None or check.client.to != to:
            if check:
                check.client.close()
            check = Check(self, node, to)
        self._checks[node] = check  # the last in the order of use
        if len(self._checks) > MOST_NODES:
            self._checks.pop(next(iter(self._checks))).client.close()
        check.ask()

    def forget(self, node: int) -> None:
        check = self._checks.pop(node, None)
        if check:
            check.client.close()

    def close(self) -> None:
        for check in self._checks.values():
            check.client.close()
