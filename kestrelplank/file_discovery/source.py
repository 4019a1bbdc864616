"""NodeFileSettings from watched files: reads them, hands what they say to the cores in `state/`, and tells the module.

It decides nothing: `Debounce` says when a reading counts, `Intake` whether the set it makes may hold, `Roster` what
that comes to over time, `Blend` how it goes together with discovery.
"""

import os
from collections.abc import Callable
from typing import Any

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import Ids, Malformed
from kestrelplank.file_discovery import nodelist
from kestrelplank.file_discovery.atomic_write import write_atomically
from kestrelplank.file_discovery.watch import Watch
from kestrelplank.interface import Event, NodeEntry, NodeListKind, NodeListUpdate
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.operator import NodeFileSettings
from kestrelplank.sockets.loop import Loop, Timer
from kestrelplank.state import guards, roster
from kestrelplank.state.intake import ACCEPTED, REFUSED, SAME, SETTLED, Debounce, Intake, restored
from kestrelplank.state.nodeset import NodeSet
from kestrelplank.state.sealed import digest_of
from kestrelplank.state.sources import DISCOVERY, FILES, Blend


def bytes_of(path: str, most: int) -> bytes:
    """A file's bytes; raises OSError, or InvalidSettingsError where it is larger than `most` or no file."""
    fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)  # a pipe put there must not hold the loop up
    with open(fd, "rb") as file:
        data = file.read(most + 1) or b""
    if len(data) > most:
        raise InvalidSettingsError(f"{path}: over {most} bytes")
    return data


def load(path: str) -> tuple[NodeSet, int, tuple[tuple, ...]] | None:
    """The state that a file keeps; None where there is none yet. Raises InvalidSettingsError, naming the file."""
    try:
        with open(path, "rb") as file:
            return restored(file.read())
    except FileNotFoundError:
        return None
    except OSError as err:
        raise InvalidSettingsError(f"{path}: can't be read: {err.strerror}") from None
    except Malformed as err:
        raise InvalidSettingsError(f"{path}: {err}") from None


class Source:
    """`on_event` takes the module's events, `addresses` (index to address) is discovery's, for probes. `grace` in ns
    holds where the operator's file has none."""

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        nodes: NodeFileSettings,
        grace: int,
        ids: Ids,
        addresses: dict[int, str],
        on_event: Callable[[Event], None],
    ) -> None:
        self._loop, self._counters, self._nodes, self._ids = loop, counters, nodes, ids
        self._addresses, self._on_event = addresses, on_event
        self._debounce = Debounce(nodes.quiet_period_ns)
        self._roster = roster.Roster(self._pace(nodes, grace))
        self._blend = Blend(nodes.authority)
        self._timers: dict[str, Timer] = {}  # of files to be read again; and of what is due by itself
        self._grace, self._told = grace, False
        self.intake = self._restored()
        self._watch: Watch | None = None
        if self.intake.force is not None:
            self._accepted()
        self._watch = self._watching()

    def _pace(self, nodes: NodeFileSettings, grace: int) -> roster.Terms:
        return roster.Terms(grace if nodes.grace_ns is None else nodes.grace_ns, nodes.weight_step)

    def _terms(self) -> guards.Terms:
        return guards.Terms(
            self._nodes.max_closed_fraction, self._nodes.confirmation_period_ns, self._nodes.zone_may_empty
        )

    def _watching(self) -> Watch:
        return Watch(
            self._loop,
            self._nodes.files,
            self._nodes.poll_interval_ns,
            self._nodes.events,
            self._read,
            lambda why: self._counters.trouble("files_watch_troubles", why),
        )

    def _restored(self) -> Intake:
        if self._nodes.state_path:
            try:
                found = load(self._nodes.state_path)
            except InvalidSettingsError as err:  # what stood is lost; the files still say what shall
                self._counters.trouble("files_state_refused", err)
            else:
                if found:
                    self._counters.info("files_restored", version=found[1], hash=found[0].short, nodes=len(found[0]))
                    return Intake(self._terms(), *found)
        return Intake(self._terms())

    # Reading.

    def _read(self, path: str) -> None:
        now, problem, data = self._loop.now(), "", b""
        try:
            data = bytes_of(path, self._nodes.max_file_bytes)
            digest: str | None = digest_of(data)
        except FileNotFoundError:
            digest, problem = None, f"{path}: there is no such file"
        except OSError as err:
            digest, problem = f"!{err.errno}", f"{path}: can't be read: {err.strerror}"
        except InvalidSettingsError as err:
            digest, problem = "!size", str(err)
        step = self._debounce.see(now, path, digest)
        if step == SETTLED:
            self._counters.add("files_read")
            self.intake.take(path, problem or self._parsed(path, data))
        elif step != SAME:
            self._set(path, step, lambda: self._read(path))
        if step in (SETTLED, SAME) and self._debounce.at_rest(now):
            self._decide()

    def _parsed(self, path: str, data: bytes) -> Any:
        try:
            return nodelist.read(path, data, self._nodes.max_nodes, self._nodes.trailer_required)
        except InvalidSettingsError as err:
            return str(err)

    def _set(self, name: str, at: int, callback: Callable[[], None]) -> None:
        if name in self._timers:
            self._timers[name].cancel()
        self._timers[name] = self._loop.at(at, callback)

    # Deciding is the cores' part; this says what came of it.

    def _decide(self) -> None:
        outcome = self.intake.decide(self._loop.now())
        if self.intake.due is not None:
            self._set("", self.intake.due, self._decide)
        if outcome is None:
            return
        fields = {"version": outcome.version, "hash": outcome.short}
        if outcome.how == ACCEPTED:
            self._counters.add("files_accepted")
            self._counters.info("files_accepted", why=outcome.why, **fields)
            self._save()
            self._accepted()
        else:
            name = "files_refused" if outcome.how == REFUSED else "files_waiting"
            self._counters.trouble(name, outcome.why, in_force=outcome.version, hash=outcome.short)

    def _save(self) -> None:
        if self._nodes.state_path:
            try:
                write_atomically(self._nodes.state_path, self.intake.stored())
            except OSError as err:  # the set holds all the same; a restart would know an older one
                self._counters.trouble("files_state_not_saved", f"{self._nodes.state_path}: {err.strerror}")

    def _accepted(self) -> None:
        self._roster.accept(self._loop.now(), self.intake.force)
        self._advance()

    def _advance(self) -> None:
        now = self._loop.now()
        entries = self._roster.advance(now)
        if self._told:
            self._tell(FILES, "delta", entries)
        else:
            self._told = True
            self._tell(FILES, "full", self._roster.whole())
        due = self._roster.due(now)
        if due is not None:
            self._set(" ", due, self._advance)

    def _tell(self, side: str, how: str, entries: list[tuple]) -> None:
        if side == FILES:
            named, entries = entries, []
            for name, condition, zone, cell, weight, boot in named:
                index = self._ids.node(name)
                entries.append((index, condition, self._ids.zone(zone), cell, weight, boot))
                if name in self.intake.force.nodes:
                    self._addresses[index] = self.intake.force.nodes[name].address
        how, entries = self._blend.take(side, how, entries)
        if entries or how != "delta":
            self._counters.add("files_told")
            self._on_event(NodeListUpdate(how, [NodeEntry(*entry) for entry in entries]))

    def on_event(self, event: Event) -> None:
        """Discovery's events, on their way to the module."""
        if isinstance(event, NodeListUpdate) and event.kind != NodeListKind.FAILED:
            self._tell(DISCOVERY, event.kind, list(event.entries))
        else:
            self._on_event(event)

    def forget(self, node: int) -> None:
        self._blend.forget(node)

    def reload(self, nodes: NodeFileSettings) -> None:
        """The operator's file was read anew: its terms hold from now on, and files that are gone are no longer
        waited for."""
        self._nodes = nodes
        self.intake.terms = self._terms()
        self._roster.terms = self._pace(nodes, self._grace)
        before = self._watch.paths()
        self._watch.close()
        self._watch = self._watching()
        self._watch.look()  # now, so that what is there is known below
        for path in before:
            if path not in self._watch.paths():
                self._debounce.forget(path)
                self.intake.drop(path)
        self._decide()

    def close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        self._watch.close()
