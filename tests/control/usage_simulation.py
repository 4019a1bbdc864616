"""The simulation of control members with edges that count usage, wrong wall clocks, and a platform that takes reports.

The platform checks the rules after each call: a window is accepted with one content only, a fencing token has one
holder, and a call with a lower token than one seen before is rejected.
"""

import json
from collections import Counter
from dataclasses import replace

from control.simulation import NAMES, Simulation

from kestrelplank.control.effects import ReportUsage
from kestrelplank.roles.role_names import USAGE_REPORT
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.usage.counts_sender import CountsSender
from kestrelplank.usage.edge_usage import EdgeUsage
from kestrelplank.usage.policy import UsagePolicy
from kestrelplank.usage.usage_reporter import CallResult, call_result
from kestrelplank.usage.windows import window_end

POLICY = UsagePolicy(calls_per_s=50)
EPOCH = 1_800_000_000 * SECOND  # true time at 0 of the steady clocks
SESSION_TIMEOUT_NS = 3 * SECOND // 2  # without a path, the connection between edge and member is replaced
CALL_TIMEOUT_NS = 4 * SECOND


class SimulatedEdge:
    """An edge's process: its usage, and one sender for each connection."""

    def __init__(self, name, incarnation):
        self.name = name
        self.usage = EdgeUsage(name, incarnation, POLICY.interval_ns)
        self.senders = {}  # by member: the member's start, when it was last reached, sender


class Platform:
    """Takes reports; `modes` by member: how its calls fare, else they are answered in time."""

    def __init__(self):
        self.accepted, self.tokens, self.highest_token = {}, {}, -1
        self.accepted_at, self.calls = {}, []
        self.mode = "up"

    def handle(self, now, holder, call):
        """Return the status."""
        assert self.tokens.setdefault(call.token, holder) == holder
        self.calls.append((now, holder, call))
        if self.mode == "throttled":
            return 429
        if call.token < self.highest_token:
            return 409
        self.highest_token = call.token
        report = json.loads(call.content)
        assert report["window_number"] == call.window
        assert self.accepted.setdefault(call.window, call.content) == call.content  # ONE
        self.accepted_at.setdefault(call.window, now)
        return 200


class UsageSimulation(Simulation):
    """`clock_errors`: errors of wall clocks by machine, in ns; 0 for those not named."""

    def __init__(self, seed, edges=4, names=NAMES, clock_errors=None):
        self.clock_errors = clock_errors or {}
        self.platform = Platform()
        self.truth = {}  # executed requests by window, then by tenant
        self.incarnations, self.edges, self.cut_edges = 0, {}, set()
        self.requests_per_step, self.draining = 0, set()
        super().__init__(seed, names=names)
        for number in range(edges):
            self.start_edge(f"edge-{number}")

    def profile(self, name, seeds=None):
        return replace(super().profile(name, seeds), usage=POLICY, roles=(USAGE_REPORT,))

    # Edges.

    def start_edge(self, name):
        self.incarnations += 1
        self.edges[name] = SimulatedEdge(name, self.incarnations)

    def kill_edge(self, name):
        del self.edges[name]

    def start_up(self):
        """Start members, then requests: no edge is ready before a current member has answered it."""
        super().start_up()
        self.run_for(1)
        self.requests_per_step = 1

    def stop_edge(self, name, restart=False):
        """Stop an edge as SIGTERM does: attempts end, then the last counts are sent."""
        self.draining.add(name)
        self.schedule(SECOND, self.end_edge, name, restart)

    def end_edge(self, name, restart):
        self.edges[name].usage.counter.close()
        self.send_counts(self.edges[name])
        del self.edges[name]
        self.draining.remove(name)
        if restart:
            self.start_edge(name)

    def true_time(self):
        return EPOCH + self.now

    def wall_time(self, machine):
        return self.true_time() + self.clock_errors.get(machine, 0)

    def run_requests(self):
        """Each edge runs requests: most of one tenant, some of others; one in ten proves not to have run."""
        for edge in self.edges.values():
            if edge.name in self.frozen or edge.name in self.draining:
                continue
            for _ in range(self.requests_per_step):
                tenant = self.random.choice(("large", "large", "large", "small", "other"))
                window = edge.usage.attempt_started(self.now, tenant)
                if window is None:
                    continue
                executed = self.random.random() < 0.9
                if executed:
                    counts = self.truth.setdefault(self.true_time() // POLICY.interval_ns, Counter())
                    counts[tenant] += 1
                self.schedule(
                    self.random.choice((50, 300, 900)) * MILLISECOND, self.end_attempt, edge, window, tenant, executed
                )

    def end_attempt(self, edge, window, tenant, executed):
        edge.usage.counter.attempt_ended(window, tenant, executed=executed)

    def send_counts(self, edge):
        """Send counts to each member in reach; a connection is replaced after a restart of either end or a long cut."""
        for name, member in self.members.items():
            if name in self.frozen or edge.name in self.frozen:
                continue
            if edge.name in self.cut_edges or frozenset((edge.name, name)) in self.partitions:
                continue
            start, reached_at, sender = edge.senders.get(name, (None, 0, None))
            if start != self.starts[name] or self.now - reached_at > SESSION_TIMEOUT_NS:
                sender = CountsSender(edge.usage, name)
            edge.senders[name] = self.starts[name], self.now, sender
            message = sender.next_message(self.now, self.wall_time(edge.name))
            reply = member.handle_usage_counts(self.now, message)
            sender.handle_reply(self.now, reply)

    # Members and the platform.

    def tick(self, name):
        member = self.members[name]
        self.carry_out(name, member.tick(self.now, self.disks[name].size_bytes, self.wall_time(name)))
        if member.server_fetch_due_in_ns(self.now) == 0:
            self.carry_out(name, member.handle_servers_fetched(self.now, self.listed_servers()))
        if name in self.stopping and member.may_stop(self.now):
            self.kill(name)

    def carry_out(self, name, effects):
        super().carry_out(name, [effect for effect in effects if not isinstance(effect, ReportUsage)])
        for effect in effects:
            if isinstance(effect, ReportUsage):
                delay = self.random.choice((1, 5, 40)) * MILLISECOND  # to connect
                self.schedule(delay, self.call_platform, name, self.starts[name], effect.call)

    def call_platform(self, name, start_number, call):
        if self.starts[name] != start_number:
            return
        if name in self.frozen:  # the token is checked when the member resumes, as in the adapter
            self.schedule(10 * MILLISECOND, self.call_platform, name, start_number, call)
            return
        if not self.members[name].may_report_usage(self.now, call):
            self.end_call(name, start_number, call, CallResult.NOT_SENT)
        elif self.platform.mode == "down" or frozenset((name, "platform")) in self.partitions:
            self.schedule(CALL_TIMEOUT_NS, self.end_call, name, start_number, call, CallResult.UNANSWERED)
        else:
            delay = self.random.choice((1, 2, 30)) * MILLISECOND
            self.schedule(delay, self.deliver_call, name, start_number, call)

    def deliver_call(self, name, start_number, call):
        result = call_result(self.platform.handle(self.now, name, call))
        delay = self.random.choice((1, 2, 30)) * MILLISECOND
        if self.platform.mode == "answers lost":
            result, delay = CallResult.UNANSWERED, CALL_TIMEOUT_NS
        self.schedule(delay, self.end_call, name, start_number, call, result)

    def end_call(self, name, start_number, call, result):
        if self.starts[name] != start_number or name not in self.members:
            return
        if name in self.frozen:
            self.schedule(10 * MILLISECOND, self.end_call, name, start_number, call, result)
            return
        self.carry_out(name, self.members[name].handle_usage_call_ended(self.now, call, result))

    def step(self):
        super().step()
        if self.now % (20 * MILLISECOND) == 0:
            self.run_requests()
        if self.now % (400 * MILLISECOND) == 0:
            for edge in list(self.edges.values()):
                self.send_counts(edge)

    # Observations.

    def holder(self):
        """The member that may report now; there is at most one."""
        holders = [
            name for name, member in self.members.items() if member.role_token(self.now, USAGE_REPORT) is not None
        ]
        assert len(holders) <= 1
        return holders[0] if holders else None

    def due_windows(self):
        """Windows whose report is due by now, that have requests."""
        limit = self.true_time() - POLICY.delay_ns
        return [window for window in sorted(self.truth) if window_end(window, POLICY.interval_ns) <= limit]

    def reported(self, window):
        """The accepted counts of a window; None: there is no accepted report."""
        content = self.platform.accepted.get(window)
        return None if content is None else json.loads(content)["counts"]

    def lateness_ns(self, window):
        """Time from the end of a window until its report was accepted."""
        return self.platform.accepted_at[window] + EPOCH - window_end(window, POLICY.interval_ns)

    def check_reports(self, tolerance=0.05, skip=()):
        """Check that all due windows were reported in time, each tenant's count within the tolerance."""
        for window in self.due_windows():
            if window in skip:
                continue
            counts, truth = self.reported(window), self.truth[window]
            assert counts is not None, window
            for tenant in truth:
                assert abs(counts.get(tenant, 0) - truth[tenant]) <= tolerance * truth[tenant], (window, counts, truth)
            assert self.lateness_ns(window) <= POLICY.delay_ns, (window, self.lateness_ns(window) / SECOND)
