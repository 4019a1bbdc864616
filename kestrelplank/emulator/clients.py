"""The clients of a simulation: when they ask for ops, of whom, and what they ask for again."""

from collections.abc import Sequence

from kestrelplank.emulator.client_op import ClientOp
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.load_profile import LoadProfile
from kestrelplank.emulator.proxies import EmulatedProxy, EndReasonOrOutcome
from kestrelplank.emulator.slice_store import SliceStore
from kestrelplank.emulator.usage_reports import UsageReports
from kestrelplank.load_balancing.operations import Op, Verdict
from kestrelplank.time_units import MILLISECOND, SECOND

NO_LOAD_INTERVAL_NS = 100 * MILLISECOND  # between looks whether clients ask for anything again


class EmulatedClients:
    """Each op goes to a proxy that is alive, drawn by chance."""

    def __init__(
        self,
        environment: Environment,
        load: LoadProfile,
        proxies: Sequence[EmulatedProxy],
        store: SliceStore,
        reports: UsageReports,
    ) -> None:
        self._environment, self._load, self._proxies = environment, load, proxies
        self._store, self._reports = store, reports
        self._clock = environment.clock
        self.random = environment.random("clients")
        self.proxy_of: dict[int, EmulatedProxy] = {}  # by op, the proxy that it waits for
        self._last_number = 0

    def begin(self) -> None:
        """Let clients ask for ops from now on, until the script's length is over."""
        self._schedule_next(self._clock.now())

    def _ask_for_next(self, asks: bool) -> None:
        """Ask for a new op, if there is any load, and schedule the next."""
        now = self._clock.now()
        if now >= self._environment.ends_at:
            return  # what was asked for may end yet
        if asks:
            client_op = self._load.draw_op(self.random, now)
            self._environment.score.op_requested(now, client_op.op_type)
            self._submit(client_op)
        self._schedule_next(now)

    def _schedule_next(self, now: int) -> None:
        ops_per_s = self._load.ops_per_s(now)
        wait_ns = self.random.expovariate(ops_per_s) * SECOND if ops_per_s else NO_LOAD_INTERVAL_NS
        self._clock.at(now + max(1, round(wait_ns)), lambda: self._ask_for_next(ops_per_s > 0))

    def _submit(self, client_op: ClientOp) -> None:
        """Send the op to some proxy that is alive; with none, nobody answers."""
        proxy = self._choose_proxy()
        client_op.attempts += 1
        self._last_number += 1
        number, owner = self._last_number, self._store.owner[client_op.slice]
        if owner is not None:
            self._reports.op_sum(owner, client_op.slice, client_op.op_type).count += 1
        if proxy.alive:
            self.proxy_of[number] = proxy
            proxy.when_awake(lambda: proxy.submit(client_op, number))

    def _choose_proxy(self) -> EmulatedProxy:
        proxies = self._proxies
        proxy = proxies[self.random.randrange(len(proxies))]
        for _ in range(len(proxies)):
            if proxy.alive:
                break
            proxy = proxies[(proxy.number + 1) % len(proxies)]
        return proxy

    def receive_answer(self, client_op: ClientOp, op: Op, verdict: Verdict, reason: EndReasonOrOutcome) -> None:
        """Take an answer; the client may ask again, but not for what may have run and must not run again."""
        del self.proxy_of[op.number]
        now, score = self._clock.now(), self._environment.score
        score.op_ended(now - op.deadline)
        if verdict is Verdict.ACKED:
            runs = self._environment.rules.runs(op.number)
            score.op_acked(now, client_op.op_type, client_op.requested_at, runs)
            return
        owner = self._store.owner[client_op.slice]
        if verdict is Verdict.ABORTED and owner is not None:
            self._reports.op_sum(owner, client_op.slice, client_op.op_type).aborted += 1
        if self._retries(now, client_op, verdict):
            self._clock.at(now + self._environment.script.clients.wait, lambda: self._submit(client_op))
        else:
            score.op_lost(now, client_op.op_type, verdict, reason)

    def _retries(self, now: int, client_op: ClientOp, verdict: Verdict) -> bool:
        behaviour, op_type = self._environment.script.clients, self._environment.op_types[client_op.op_type]
        in_time = now + behaviour.wait - client_op.requested_at < op_type.timeout
        allowed = verdict is Verdict.REJECTED or op_type.effect == "retryable"
        return client_op.attempts <= behaviour.retries and in_time and allowed
