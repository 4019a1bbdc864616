"""The clients of a simulation: when they request ops, from which proxy, and what they retry."""

from collections.abc import Sequence

from kestrelplank.emulator.client_op import ClientOp
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.load_profile import LoadProfile
from kestrelplank.emulator.proxies import EmulatedProxy, EndReasonOrOutcome
from kestrelplank.emulator.slice_store import SliceStore
from kestrelplank.emulator.usage_reports import UsageReports
from kestrelplank.load_balancing.operations import Op, Verdict
from kestrelplank.time_units import MILLISECOND, SECOND

NO_LOAD_INTERVAL_NS = 100 * MILLISECOND  # between checks of the load while it is 0


class EmulatedClients:
    """Clients that send each op to a random proxy that is alive."""

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
        self.proxy_of: dict[int, EmulatedProxy] = {}  # by op number: the proxy that handles it
        self._last_number = 0

    def begin(self) -> None:
        """Request ops from now on, until the end of the script."""
        self._schedule_next(self._clock.now())

    def _request_next(self, has_load: bool) -> None:
        """Request a new op if there is any load, and schedule the next one."""
        now = self._clock.now()
        if now >= self._environment.ends_at:
            return  # ops in progress still run to their end
        if has_load:
            client_op = self._load.draw_op(self.random, now)
            self._environment.score.op_requested(now, client_op.op_type)
            self._submit(client_op)
        self._schedule_next(now)

    def _schedule_next(self, now: int) -> None:
        ops_per_s = self._load.ops_per_s(now)
        wait_ns = self.random.expovariate(ops_per_s) * SECOND if ops_per_s else NO_LOAD_INTERVAL_NS
        self._clock.at(now + max(1, round(wait_ns)), lambda: self._request_next(ops_per_s > 0))

    def _submit(self, client_op: ClientOp) -> None:
        """Send the op to a proxy that is alive; if none is, the op gets no answer."""
        proxy = self._choose_proxy()
        client_op.attempts += 1
        self._last_number += 1
        number, owner = self._last_number, self._store.owner[client_op.slice]
        if owner is not None:
            self._reports.op_sum(owner, client_op.slice, client_op.op_type).count += 1
        if proxy.alive:
            self.proxy_of[number] = proxy
            proxy.call_when_resumed(lambda: proxy.submit(client_op, number))

    def _choose_proxy(self) -> EmulatedProxy:
        proxies = self._proxies
        proxy = proxies[self.random.randrange(len(proxies))]
        for _ in range(len(proxies)):
            if proxy.alive:
                break
            proxy = proxies[(proxy.number + 1) % len(proxies)]
        return proxy

    def receive_answer(self, client_op: ClientOp, op: Op, verdict: Verdict, reason: EndReasonOrOutcome) -> None:
        """Handle an answer; retry the op unless it may have run and must not run twice."""
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
