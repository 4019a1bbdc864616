"""Runs a `Policy` for each instance that the simulator has created, on the instance's events of each batch."""

import sys
from collections.abc import Sequence
from typing import NamedTuple

from kestrelplank.decode import Ids, MalformedError, duration_from_ms, non_negative_int, parse_json, read_settings
from kestrelplank.interface import Event, PolicySettings
from kestrelplank.policy import Policy
from kestrelplank.simulator_protocol.events import EVENT_READERS, read_event
from kestrelplank.simulator_protocol.orders import OrderLines


class Instance(NamedTuple):
    """One simulated assigner: its policy, and the indices of the names that it received."""

    policy: Policy
    ids: Ids


def log_skipped_line(line_number: int, reason: str) -> None:
    """Write the number of a skipped line and the reason to standard error."""
    print(f"line {line_number}: {reason}", file=sys.stderr, flush=True)


def field_at(message: Sequence[object], position: int) -> object:
    """Return one field of a line, or None if it is absent."""
    return message[position] if position < len(message) else None


class Host:
    """All instances of a simulation, and the events of the batch that is being read."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self._events: dict[int, list[Event]] = {}
        self._now: int | None = None

    def read(self, raw: bytes, line_number: int) -> list[bytes] | None:
        """Process one line of input; return the lines of the reply if it completes a batch, otherwise None."""
        try:
            return self._read(raw)
        except MalformedError as err:
            log_skipped_line(line_number, str(err))
        return None

    def _read(self, raw: bytes) -> list[bytes] | None:
        message = parse_json(raw)
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise MalformedError(f"expected an array that begins with the name of an event, got {raw[:60]!r}")
        name = message[0]
        if name == "GO":
            return self._reply()
        if name == "ROUND":
            self._begin_batch(message)
        elif self._now is None:
            raise MalformedError(f"{name}: expected a valid ROUND line first")
        elif name not in EVENT_READERS and name not in ("CREATE", "KILLED"):
            raise MalformedError(f"{name}: unknown event")
        else:
            self._handle_event(self._now, message)
        return None

    def _begin_batch(self, message: Sequence[object]) -> None:
        """Discard an unfinished batch, and set the clock of the new one."""
        self._events = {}
        try:
            self._now = duration_from_ms(field_at(message, 1))
        except MalformedError as err:
            raise MalformedError(f"ROUND, field clock: {err}") from None

    def _handle_event(self, now: int, message: Sequence[object]) -> None:
        """Process one line that concerns one instance."""
        name = message[0]
        try:
            number = non_negative_int(field_at(message, 1))
        except MalformedError as err:
            raise MalformedError(f"{name}, field Conductor: {err}") from None
        if name == "CREATE":
            self._create(now, number, message)
        elif name == "KILLED":
            self.instances.pop(number, None)
            self._events.pop(number, None)
        elif number not in self.instances:
            raise MalformedError(f"{name}, field Conductor: instance {number} has not been created")
        else:
            event = read_event(message, self.instances[number].ids)
            self._events.setdefault(number, []).append(event)

    def _create(self, now: int, number: int, message: Sequence[object]) -> None:
        """Create an instance; it runs a round in this batch even without events."""
        try:
            seed = non_negative_int(field_at(message, 2))
        except MalformedError as err:
            raise MalformedError(f"CREATE, field RandomSeed: {err}") from None
        ids = Ids(non_negative_int)
        settings = read_settings(field_at(message, 3), ids, "CREATE, field Conf")
        self.instances[number] = Instance(Policy(now, seed, PolicySettings.from_mapping(settings)), ids)
        self._events[number] = []

    def _reply(self) -> list[bytes]:
        """Run a round of each instance that received events, and return the lines of the reply."""
        reply: list[bytes] = []
        for number, events in self._events.items():
            policy, ids = self.instances[number]
            if self._now is not None:
                policy.round(self._now, events, OrderLines(number, ids, reply))
        self._events = {}
        reply.append(b'["DONE"]')
        return reply
