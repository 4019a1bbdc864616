"""How members keep the operator's word: the highest configuration prevails, and counts as settled once a majority of
the counted members has it on disk. No I/O: each call returns effects, which an adapter carries out.

    ("keep", timetable)            write it to disk, then call `stored`
    ("send", member, frame)        to a member, where a session stands; lost otherwise, and told again by beats
    ("answer", ticket, kind)       the operator's call has ended: SETTLED, or NO_MAJORITY
    ("show", ticket, timetable)    what the operator asked to read; None where nothing has ever come

Frames: `copy` has a configuration, `have` says what its sender has on disk, `ask` and `told` read it from the others.
"""

from typing import Any, NamedTuple

from kestrelplank.configuration.plan import NOTHING, Configuration, Key

S = 1_000_000_000
PATIENCE = 800_000_000  # ns that a call of the operator waits for a majority: callers go elsewhere after a second
AGAIN = 700_000_000  # ns after which a copy that shows no effect is sent again
SETTLED, NO_MAJORITY = "settled", "no majority"
Effect = tuple[Any, ...]


class Reading(NamedTuple):
    """A call that asks for the newest: who has said what, and until when it waits."""

    until: int
    told: dict[str, Key]


class Keeper:
    """One of `members` (all counted ones, itself among them). `whole`: it may vouch for its disk; one that came back
    with an empty disk may not, until it has heard enough others (see `control.joining`)."""

    def __init__(self, me: str, members: tuple[str, ...], whole: bool, held: Configuration | None) -> None:
        self.me, self.members, self.whole, self.held = me, members, whole, held
        self.majority = len(members) // 2 + 1
        self.durable: dict[str, Key] = {me: held.key if held else NOTHING}
        self.force: Configuration | None = None  # the highest that is settled and that we have
        self._puts: dict[int, tuple[Key, int]] = {}
        self._reads: dict[int, Reading] = {}
        self._copied: dict[str, tuple[Key, int]] = {}

    def key(self) -> Key:
        return self.held.key if self.held else NOTHING

    def have(self) -> Key:
        """What this member may say that it has on disk."""
        return self.durable[self.me] if self.whole else NOTHING

    def settled(self) -> Key:
        """The highest version that a majority has on disk, or has overtaken there."""
        known = sorted((self.durable.get(member, NOTHING) for member in self.members), reverse=True)
        return known[self.majority - 1]

    def put(self, now: int, ticket: int, timetable: Configuration, reached: int) -> list[Effect]:
        """The operator sends a configuration that has passed the checks; `reached`: members in session, us included."""
        if reached < self.majority or not self.whole:
            return [("answer", ticket, NO_MAJORITY)]
        effects = self.take(now, timetable)
        self._puts[ticket] = (timetable.key, now + PATIENCE)
        return effects + self._settle(now)

    def take(self, now: int, timetable: Configuration) -> list[Effect]:
        """A configuration from wherever; what is not above the one held changes nothing."""
        if timetable.key <= self.key():
            return []
        self.held = timetable
        effects: list[Effect] = [("keep", timetable)]
        for member in self.members:
            if member != self.me and self.durable.get(member, NOTHING) < timetable.key:
                effects += self._copy(now, member)
        return effects

    def stored(self, now: int, key: Key) -> list[Effect]:
        """It is on our disk, and lasts."""
        self.durable[self.me] = max(self.durable[self.me], key)
        if not self.whole:
            return []
        return [("send", member, self.saying()) for member in self.members if member != self.me] + self._settle(now)

    def saying(self) -> dict[str, Any]:
        return {"t": "have", "key": self.have()}

    def heard(self, now: int, member: str, key: Key) -> list[Effect]:
        """A member says what it has on disk: less than before where it lost its disk."""
        if member not in self.members:
            return []
        self.durable[member] = key
        effects = self._settle(now)
        if key < self.key():
            effects += self._copy(now, member)
        return effects

    def show(self, now: int, ticket: int) -> list[Effect]:
        """The operator asks for the newest: a majority is asked, as a settled version may have passed us by."""
        if not self.whole:
            return [("answer", ticket, NO_MAJORITY)]
        self._reads[ticket] = Reading(now + PATIENCE, {self.me: self.key()})
        return [
            ("send", member, {"t": "ask", "ticket": ticket}) for member in self.members if member != self.me
        ] + self._settle(now)

    def asked(self, member: str, ticket: int) -> list[Effect]:
        if not self.whole:
            return []
        return [("send", member, {"t": "told", "ticket": ticket, "key": self.key()})]

    def told(self, now: int, member: str, ticket: int, key: Key) -> list[Effect]:
        if ticket in self._reads:
            self._reads[ticket].told[member] = key
        return self._settle(now)

    def tick(self, now: int) -> list[Effect]:
        """Ends what has waited too long."""
        effects: list[Effect] = []
        for ticket, (_, until) in list(self._puts.items()):
            if now >= until:
                del self._puts[ticket]
                effects.append(("answer", ticket, NO_MAJORITY))
        for ticket, reading in list(self._reads.items()):
            if now >= reading.until:
                del self._reads[ticket]
                effects.append(("answer", ticket, NO_MAJORITY))
        return effects

    def _copy(self, now: int, member: str) -> list[Effect]:
        key, at = self._copied.get(member, (NOTHING, 0))
        if key == self.key() and now - at < AGAIN:
            return []
        self._copied[member] = (self.key(), now)
        return [("send", member, {"t": "copy", "text": self.held.text})] if self.held else []

    def _settle(self, now: int) -> list[Effect]:
        effects: list[Effect] = []
        settled = self.settled()
        if self.held is not None and self.held.key <= settled and self.held is not self.force:
            self.force = self.held
        for ticket, (key, _) in list(self._puts.items()):
            if key <= settled:
                del self._puts[ticket]
                effects.append(("answer", ticket, SETTLED))
        for ticket, reading in list(self._reads.items()):
            # What is shown must last: the newest of a majority is had here, and by a majority on disk.
            newest = max(reading.told.values())
            if len(reading.told) >= self.majority and self.key() >= newest and settled >= newest:
                del self._reads[ticket]
                effects.append(
                    (
                        "show",
                        ticket,
                        self.held if self.held is None or self.held.key <= settled else self.force or self.held,
                    )
                )
        return effects
