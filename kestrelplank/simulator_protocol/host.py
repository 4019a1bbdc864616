"""Hosts one conductor an instance and hands each its events of a batch."""

import sys
from typing import Any

from kestrelplank.decode import Ids, Malformed, parsed, settings, shared, time, whole
from kestrelplank.policy import Conductor
from kestrelplank.simulator_protocol import wire


def complain(line_number: int, why: str) -> None:
    print(f"line {line_number}: {why}", file=sys.stderr, flush=True)


class Host:
    def __init__(self) -> None:
        self._instances: dict[int, tuple[Conductor, Ids]] = {}
        self._events: dict[int, list[tuple]] = {}
        self._now: int | None = None

    def read(self, raw: bytes, line_number: int) -> list[bytes] | None:
        """Take one line of input; the reply's lines once a batch is complete, else None."""
        try:
            return self._read(raw)
        except Malformed as err:
            complain(line_number, str(err))
        return None

    def _read(self, raw: bytes) -> list[bytes] | None:
        message = parsed(raw)
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise Malformed(f"expected an array that begins with a name, got {raw[:60]!r}")
        name = message[0]
        if name == "GO":
            return self._reply()
        if name == "ROUND":
            self._events = {}
            try:
                self._now = time(message[1] if len(message) > 1 else None)
            except Malformed as err:
                raise Malformed(f"ROUND, field clock: {err}") from None
            return None
        if self._now is None:
            raise Malformed(f"{name} came before a ROUND with a clock")
        if name not in wire.EVENTS and name not in ("CREATE", "KILLED"):
            raise Malformed(f"{name}: no event is called that")
        try:
            instance = whole(message[1] if len(message) > 1 else None)
        except Malformed as err:
            raise Malformed(f"{name}, field Conductor: {err}") from None
        if name == "CREATE":
            self._create(instance, message)
        elif name == "KILLED":
            self._instances.pop(instance, None)
            self._events.pop(instance, None)
        elif instance not in self._instances:
            raise Malformed(f"{name}, field Conductor: instance {instance} has not been created")
        else:
            ids = self._instances[instance][1]
            decoded = wire.event(message, ids)
            if decoded[0] == "peer" and (parts := shared(decoded[2] or b"", ids)) is not None:
                decoded = "shared", decoded[1], parts
            self._events.setdefault(instance, []).append(decoded)
        return None

    def _create(self, instance: int, message: list) -> None:
        seed: Any = message[2] if len(message) > 2 else None
        try:
            seed = whole(seed)
        except Malformed as err:
            raise Malformed(f"CREATE, field RandomSeed: {err}") from None
        ids = Ids(whole)
        found = settings(message[3] if len(message) > 3 else None, ids, "CREATE, field Conf")
        self._instances[instance] = Conductor(self._now, seed, found), ids
        self._events[instance] = []

    def _reply(self) -> list[bytes]:
        reply: list[bytes] = []
        for instance, events in self._events.items():
            conductor, ids = self._instances[instance]
            conductor.round(self._now, events, wire.Lines(instance, ids, reply))
        self._events = {}
        reply.append(b'["DONE"]')
        return reply
