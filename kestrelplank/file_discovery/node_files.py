"""Nodes from watched files: reads the files, passes their content to `state/`, and notifies the policy.

Decisions are made elsewhere: `Debounce` decides when a file's content is stable, `NodeSetInForce` whether the resulting
set of nodes takes effect; `NodeListReporter` converts that set into events for the policy.
"""

import os
from collections.abc import Callable

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import Ids, MalformedError
from kestrelplank.file_discovery.atomic_write import write_atomically
from kestrelplank.file_discovery.file_watcher import FileWatcher
from kestrelplank.file_discovery.node_list import parse_node_list
from kestrelplank.file_discovery.node_list_reporter import NodeListReporter
from kestrelplank.interface import Event
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.operator import NodeFileSettings
from kestrelplank.sockets.loop import Loop, Timer
from kestrelplank.state.change_guard import ChangeLimits, Decision
from kestrelplank.state.debounce import Debounce, DebounceResult
from kestrelplank.state.node_set import NodeList
from kestrelplank.state.node_set_in_force import NodeSetInForce, StoredNodeSet, decode_stored_node_set
from kestrelplank.state.reported_nodes import ReportSettings
from kestrelplank.state.sealed import digest_of


def read_bounded_file(path: str, max_bytes: int) -> bytes:
    """Return a file's bytes.

    :raises OSError: the file can't be read.
    :raises InvalidSettingsError: the file is larger than `max_bytes`.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)  # a named pipe must not block the event loop
    with open(descriptor, "rb") as file:  # noqa: PTH123 - a descriptor, not a path
        data = file.read(max_bytes + 1) or b""
    if len(data) > max_bytes:
        raise InvalidSettingsError(f"larger than {max_bytes} bytes", file=path)
    return data


def load_state(path: str) -> StoredNodeSet | None:
    """Return the node set stored in a state file; None if there is no such file yet.

    :raises InvalidSettingsError: the file can't be read or parsed.
    """
    try:
        with open(path, "rb") as file:  # noqa: PTH123 - one call fewer than with Path, at startup
            return decode_stored_node_set(file.read())
    except FileNotFoundError:
        return None
    except OSError as err:
        raise InvalidSettingsError(f"can't be read: {err.strerror}", file=path) from None
    except MalformedError as err:
        raise InvalidSettingsError(str(err), file=path) from None


class NodeFiles:
    """Watched node lists, from a changed file to the policy's events.

    :param settings: the section on node files in the operator's file.
    :param default_grace_ns: used if the operator's file sets no grace period.
    :param addresses: discovery's addresses by node index, for health checks; addresses from the files are added.
    :param on_event: called with events for the policy.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        settings: NodeFileSettings,
        default_grace_ns: int,
        ids: Ids,
        addresses: dict[int, str],
        on_event: Callable[[Event], None],
    ) -> None:
        self._loop, self._counters, self._settings = loop, counters, settings
        self._default_grace_ns = default_grace_ns
        self._debounce = Debounce(settings.quiet_period_ns)
        self._reporter = NodeListReporter(
            counters, ids, addresses, self._report_settings(), settings.authority, on_event
        )
        self._read_timers: dict[str, Timer] = {}  # by path, for files to be read again
        self._decide_timer: Timer | None = None
        self._report_timer: Timer | None = None
        self.node_set_in_force = self._restore_node_set_in_force()
        self._report_accepted()
        self._watcher = self._new_watcher()

    def on_event(self, event: Event) -> None:
        """Pass an event of discovery to the policy, merged with the nodes from files."""
        self._reporter.on_discovery_event(event)

    def forget(self, node: int) -> None:
        """Forget a node that the policy has forgotten."""
        self._reporter.forget(node)

    def reload(self, settings: NodeFileSettings) -> None:
        """Apply a reloaded operator's file; files that no longer match its patterns leave the set."""
        self._settings = settings
        self.node_set_in_force.limits = self._change_limits()
        self._reporter.set_settings(self._report_settings())
        former_paths = self._watcher.paths()
        self._watcher.close()
        self._watcher = self._new_watcher()
        self._watcher.poll()  # now, so that `paths` is complete below
        for path in former_paths:
            if path not in self._watcher.paths():
                self._debounce.forget(path)
                self.node_set_in_force.remove_file(path)
        self._decide()

    def close(self) -> None:
        """Stop watching and cancel all timers."""
        for timer in (*self._read_timers.values(), self._decide_timer, self._report_timer):
            if timer is not None:
                timer.cancel()
        self._watcher.close()

    # Settings and components

    def _report_settings(self) -> ReportSettings:
        grace_ns = self._settings.grace_ns
        return ReportSettings(self._default_grace_ns if grace_ns is None else grace_ns, self._settings.weight_step)

    def _change_limits(self) -> ChangeLimits:
        settings = self._settings
        return ChangeLimits(settings.max_closed_fraction, settings.confirmation_period_ns, settings.zone_may_empty)

    def _new_watcher(self) -> FileWatcher:
        return FileWatcher(
            self._loop,
            self._settings.files,
            self._settings.poll_interval_ns,
            use_events=self._settings.events,
            on_change=self._read,
            on_problem=lambda reason: self._counters.record_fault("files_watch_troubles", reason),
        )

    def _restore_node_set_in_force(self) -> NodeSetInForce:
        if not self._settings.state_path:
            return NodeSetInForce(self._change_limits())
        try:
            state = load_state(self._settings.state_path)
        except InvalidSettingsError as err:  # the set in force is lost and is built anew from the files
            self._counters.record_fault("files_state_refused", err)
            return NodeSetInForce(self._change_limits())
        if state is None:
            return NodeSetInForce(self._change_limits())
        node_set, version, _ = state
        self._counters.info("files_restored", version=version, hash=node_set.short_hash, nodes=len(node_set))
        return NodeSetInForce(self._change_limits(), *state)

    # Reading files

    def _read(self, path: str) -> None:
        """Read a file that may have changed; decide once its content, and that of all other files, is stable."""
        now, problem, data = self._loop.now(), "", b""
        try:
            data = read_bounded_file(path, self._settings.max_file_bytes)
            digest: str | None = digest_of(data)
        except FileNotFoundError:
            digest, problem = None, f"{path}: there is no such file"
        except OSError as err:
            digest, problem = f"!{err.errno}", f"{path}: can't be read: {err.strerror}"
        except InvalidSettingsError as err:
            digest, problem = "!size", str(err)
        outcome = self._debounce.observe(now, path, digest)
        if outcome is DebounceResult.SETTLED:
            self._counters.add("files_read")
            self.node_set_in_force.update_file(path, problem or self._parse_list(path, data))
        elif isinstance(outcome, int):
            self._read_again_at(path, outcome)
        if outcome in (DebounceResult.SETTLED, DebounceResult.SAME) and self._debounce.may_decide(now):
            self._decide()

    def _parse_list(self, path: str, data: bytes) -> NodeList | str:
        """Return the parsed node list, or the reason why it is invalid."""
        settings = self._settings
        try:
            return parse_node_list(path, data, max_nodes=settings.max_nodes, trailer_required=settings.trailer_required)
        except InvalidSettingsError as err:
            return str(err)

    def _read_again_at(self, path: str, at: int) -> None:
        if path in self._read_timers:
            self._read_timers[path].cancel()
        self._read_timers[path] = self._loop.at(at, lambda: self._read(path))

    # Carrying out decisions of `NodeSetInForce`

    def _decide(self) -> None:
        outcome = self.node_set_in_force.decide(self._loop.now())
        if self.node_set_in_force.decide_at is not None:
            self._decide_timer = self._reschedule(self._decide_timer, self.node_set_in_force.decide_at, self._decide)
        if outcome is None:
            return
        if outcome.decision is Decision.ACCEPTED:
            self._counters.add("files_accepted")
            self._counters.info("files_accepted", why=outcome.reason, version=outcome.version, hash=outcome.short_hash)
            self._save()
            self._report_accepted()
        else:
            name = "files_refused" if outcome.decision is Decision.REFUSED else "files_waiting"
            self._counters.record_fault(name, outcome.reason, in_force=outcome.version, hash=outcome.short_hash)

    def _save(self) -> None:
        path = self._settings.state_path
        if path:
            try:
                write_atomically(path, self.node_set_in_force.encode())
            except OSError as err:  # the set stays in force, but a restart would restore an older one
                self._counters.record_fault("files_state_not_saved", f"{path}: {err.strerror}")

    def _report_accepted(self) -> None:
        """Report the set in force to the policy, if there is one."""
        if self.node_set_in_force.node_set is not None:
            self._reporter.accept(self._loop.now(), self.node_set_in_force.node_set)
            self._report()

    def _report(self) -> None:
        """Report due changes to the policy, and set a timer for the next ones."""
        due = self._reporter.report(self._loop.now())
        if due is not None:
            self._report_timer = self._reschedule(self._report_timer, due, self._report)

    def _reschedule(self, timer: Timer | None, at: int, callback: Callable[[], None]) -> Timer:
        """Cancel a timer and return its replacement."""
        if timer is not None:
            timer.cancel()
        return self._loop.at(at, callback)
