"""One control member without I/O: the word, claims and lines joined, and what edge members are told.

Effects besides those of `configuration.keeping` and `sharding`:

    ("frames", [frame])                   to every edge member in session
    ("disk", what, payload, then)         write; once it lasts, carry out the effects in `then`
    ("call", word, service, server, address, line, until)    a grant or release; the claim runs out at `until`
    ("log", text)                         a line in the log
"""

from random import Random
from typing import Any

from kestrelplank.configuration.keeping import Keeper
from kestrelplank.configuration.plan import Configuration, Key, read
from kestrelplank.sharding.claims import NO_BALLOT, Claimer, Promiser, Register
from kestrelplank.sharding.lines import HELD, KEYS, KeyRanges, Line, Server
from kestrelplank.sharding.placing import Placing
from kestrelplank.transport.roster import READY, ServerList

S = 1_000_000_000
BEAT = S // 5
SILENT = S  # a session ends when nothing has come for so long
PIECES = 4  # lines that a server's part of the keys is made of at first
SETTLING = 8 * S // 5  # ns that the list must have stood before the first keys are given out: it fills slowly
Effect = tuple[Any, ...]


def parts_of(record: Any) -> tuple[list[Any], dict[str, Any]]:
    """The lines of a record and what its decider had learnt of servers. Records of before that had lines alone; None is
    none at all."""
    if record and isinstance(record[-1], dict):
        return record[0], record[1]
    return record or [], {}


class Decision:
    """One service that this member may decide for. `told`: what edge members were last told to be recorded, and where
    that stands among records."""

    def __init__(self, claimer: Claimer) -> None:
        self.claimer = claimer
        self.lines: KeyRanges | None = None
        self.placing: Placing | None = None
        self.told: list[Any] = []
        self.told_at: tuple[Any, int] = (NO_BALLOT, 0)

    def changed_frame(self, seq: int, record: list[Any]) -> dict[str, Any]:
        """What differs between the last record told and this one, which is number `seq`: by the fence, as a line may
        leave its server and come back to it. What is on its way to another server is told to be nobody's."""
        known = {(parts[0], parts[1], parts[4]) for parts in self.told}
        now = {line.first: line.server if line.state == HELD else "" for line in self.lines.lines}
        since, self.told_at, self.told = self.told_at, (self.claimer.ballot, seq), record
        changes = [
            parts[:4] if now.get(parts[0], parts[2]) == parts[2] else (*parts[:2], "", "")
            for parts in record
            if (parts[0], parts[1], parts[4]) not in known
        ]
        return {"t": "changed", "service": self.claimer.service, "since": since, "at": self.told_at, "lines": changes}

    def leaving_frame(self, lines: list[Line]) -> dict[str, Any]:
        """Lines that just leave their servers: requests for these keys had better wait."""
        return {
            "t": "leaving",
            "service": self.claimer.service,
            "since": self.told_at,
            "at": self.told_at,
            "lines": sorted((line.first, line.last, "", "") for line in lines),
        }


class Box:
    """One of the counted `members`. `whole`: its disk may be believed; `first`: the system has never run before."""

    def __init__(
        self,
        now: int,
        random: Random,
        me: str,
        members: tuple[str, ...],
        whole: bool,
        first: bool,
        word: Configuration | None,
        registers: dict[str, Register],
    ) -> None:
        self.me, self.members, self._random = me, members, random
        self.keeper = Keeper(me, members, whole, word)
        self.promiser = Promiser(now, registers, whole, first)
        self.roster = ServerList()
        self.heard_at: dict[str, int] = {}
        self.decisions: dict[str, Decision] = {}
        self._beat_at = now
        self._told_key: Key | None = None
        self._joined: dict[str, dict[str, Any]] = {}
        self._join_at = now
        self._stopping = False

    @property
    def whole(self) -> bool:
        return self.keeper.whole

    def reached(self, now: int) -> int:
        """Members in session, ourselves included."""
        return 1 + sum(now - at < SILENT for member, at in self.heard_at.items() if member != self.me)

    # What comes in.

    def frame(self, now: int, member: str, frame: dict[str, Any]) -> list[Effect]:
        """A frame of another member (or of ourselves)."""
        self.heard_at[member] = now
        word = frame["t"]
        if word in ("beat", "have"):
            effects = self.keeper.heard(now, member, Key(*frame["key"]))
        elif word == "copy":
            found = read(frame["text"]).value_or(None)
            effects = self.keeper.take(now, found) if found is not None else []
        elif word == "ask":
            effects = self.keeper.asked(member, frame["ticket"])
        elif word == "told":
            effects = self.keeper.told(now, member, frame["ticket"], Key(*frame["key"]))
        elif word in ("claim", "renew", "record", "yield"):
            effects = self.promiser.take(now, member, frame)
        elif word == "promised":
            decision = self.decisions.get(frame["service"])
            effects = decision.claimer.answered(now, member, frame) if decision else []
            return self._done(now, effects, decision)
        elif word == "roster":
            self.listed(now, frame["age"], frame["list"])
            effects = []
        elif word == "join":
            effects = self._join(member)
        elif word == "joined":
            effects = self._take_joined(now, member, frame)
        else:
            effects = []
        return self._done(now, effects, None)

    def listed(self, now: int, age: int, entries: list[Any]) -> bool:
        """The platform's list, fetched by us (age 0) or by another member. Returns whether it says anything new."""
        if not self.roster.take(now, age, entries):
            return False
        for service, decision in self.decisions.items():
            if decision.lines is not None:
                decision.lines.listed(now, self._servers(now, service))
                decision.placing.listed()
        return True

    def put(self, now: int, ticket: int, timetable: Configuration) -> list[Effect]:
        return self._done(now, self.keeper.put(now, ticket, timetable, self.reached(now)), None)

    def show(self, now: int, ticket: int) -> list[Effect]:
        return self._done(now, self.keeper.show(now, ticket), None)

    def stored(self, now: int, key: Key) -> list[Effect]:
        return self._done(now, self.keeper.stored(now, key), None)

    def called(
        self, now: int, service: str, word: str, line: Line, sent: bool, status: int | None, handover: str | None
    ) -> list[Effect]:
        """A grant or release has ended."""
        decision = self.decisions.get(service)
        if decision is None or decision.lines is None or line not in decision.lines.lines:
            return []
        decision.lines.called(now, word, line, sent, status, handover)
        if line.state == HELD:
            return []  # the next tick has it: a renewal's answer changes nothing that the pass need know
        return self._work(now, service, decision)

    def report(self, now: int, frame: dict[str, Any]) -> None:
        """What an edge member has seen of servers and keys."""
        decision = self.decisions.get(frame["service"])
        if decision is not None and decision.lines is not None:
            decision.placing.report(now, frame["keys"], frame["servers"])

    def resign(self, now: int) -> list[Effect]:
        """We stop in order."""
        self._stopping = True
        effects: list[Effect] = []
        for decision in self.decisions.values():
            effects += decision.claimer.resign(now)
            decision.lines = None
        return effects

    # What is due.

    def tick(self, now: int) -> list[Effect]:
        """Beats, claims, renewals."""
        effects = self._done(now, self.keeper.tick(now), None)
        if now >= self._beat_at:
            self._beat_at = now + BEAT
            beat = {"t": "beat", "key": self.keeper.have(), "whole": self.whole}
            effects += [("send", member, beat) for member in self.members if member != self.me]
        if not self.whole and now >= self._join_at:
            self._join_at = now + S // 2
            effects += [("send", member, {"t": "join"}) for member in self.members if member != self.me]
        for service in self._sharded():
            decision = self.decisions.get(service)
            if decision is None:
                claimer = Claimer(
                    now,
                    self._random,
                    self.me,
                    self.members,
                    service,
                    self.promiser.registers.get(service, Register()).promised[0],
                )
                decision = self.decisions[service] = Decision(claimer)
            wants = self.whole and not self._stopping and self.roster.fetched_at is not None
            effects += self._done(
                now,
                decision.claimer.tick(now, self.promiser.free_at(service, self.me), self.reached(now), wants),
                decision,
            )
            effects += self._work(now, service, decision)
        return effects

    def _sharded(self) -> list[str]:
        force = self.keeper.force
        return [service.name for service in force.services.values() if service.sharded] if force else []

    def _servers(self, now: int, service: str) -> list[Server]:
        return [
            Server(
                entry.server,
                entry.address,
                entry.zone,
                entry.slots,
                entry.state == READY,
                (self.roster.fetched_at or 0) + entry.warm,
            )
            for entry in self.roster.entries.values()
            if entry.service == service
        ]

    def _work(self, now: int, service: str, decision: Decision) -> list[Effect]:
        """What the decider does about its lines."""
        claimer, lines = decision.claimer, decision.lines
        if lines is None or not claimer.decides(now):
            return []
        if not lines.lines:
            if not lines.servers or now - self.roster.changed_at < SETTLING:
                return []
            lines.divide(PIECES * len(lines.servers))
        decision.placing.turn(now)
        effects: list[Effect] = []
        leaving: list[Line] = []
        for effect in lines.tick(now):
            if effect[0] == "lay":
                effects += self._done(now, claimer.lay_down(now, [effect[1], decision.placing.learnt()]), decision)
            elif effect[0] == "leaving":
                leaving.append(effect[1])
            elif effect[0] == "bare":
                _, line, spell = effect
                effects.append(("log", f"{service}: keys {line.first}-{line.last} had no holder for {spell / S:.3f} s"))
            else:
                word, server, address, line = effect
                effects.append(("call", word, service, server, address, line, claimer.until))
        return [("frames", [decision.leaving_frame(leaving)]), *effects] if leaving else effects

    # Between the parts.

    def _done(self, now: int, effects: list[Effect], decision: Decision | None) -> list[Effect]:
        """Carries out what concerns our own parts; returns the rest."""
        left: list[Effect] = []
        for effect in effects:
            word = effect[0]
            if word == "send" and effect[1] == self.me:
                left += self.frame(now, self.me, effect[2])
            elif word == "keep":
                left.append(("disk", "word", effect[1], [("stored", effect[1].key)]))
            elif word == "register":
                _, service, register, member, frame = effect
                left.append(("disk", "register", (service, register), [("send", member, frame)]))
            elif word == "office":
                service = decision.claimer.service
                servers = self._servers(now, service)
                found, known = parts_of(effect[1])
                decision.lines = KeyRanges(now, decision.claimer.ballot[0], found)
                decision.lines.listed(now, servers)
                target = min(
                    (
                        route.aim
                        for places in self.keeper.force.hosts.values()
                        for route in places.values()
                        if any(name == service for name, _ in route.split)
                    ),
                    default=S,
                )
                decision.placing = Placing(now, self._random.getrandbits(32), decision.lines, target, known)
                left.append(("log", f"deciding for {service} by ballot {decision.claimer.ballot[0]}"))
                decision.told, decision.told_at = found, (decision.claimer.ballot, decision.claimer.seq)
                left.append(("frames", [self.lines_frame(service, decision.told_at, decision.told)]))
            elif word == "lost":
                decision.lines = None
                left.append(("log", f"no longer deciding for {decision.claimer.service}"))
            elif word == "recorded":
                if decision.lines is not None:
                    decision.lines.laid(now)
                    left.append(("frames", [decision.changed_frame(effect[1], effect[2][0])]))
                    left += self._work(now, decision.claimer.service, decision)
            else:
                left.append(effect)
        force = self.keeper.force
        if force is not None and force.key != self._told_key:
            self._told_key = force.key
            left.append(("frames", [self.word_frame()]))
            left.append(("log", f"configuration {force.key.version:08x} is in force"))
        return left

    def status(self, now: int) -> dict[str, Any]:
        """This member as an operator sees it: sessions, versions, who decides, lines. Ages in seconds;
        `bare_s`: how long keys had no holder since this member decides, times their part of all keys."""
        services = {}
        for service in self._sharded():
            decision, register = self.decisions.get(service), self.promiser.registers.get(service, Register())
            lines = decision.lines.lines if decision and decision.lines else ()
            services[service] = {
                "decides": bool(decision and decision.claimer.decides(now)),
                "holder": self.promiser.holder(now, service),
                "ballot": register.ballot[0],
                "record": register.seq,
                "bare_s": round(decision.lines.bare / KEYS / S, 3) if lines else None,
                "lines": [
                    {
                        "first": line.first,
                        "last": line.last,
                        "server": line.server,
                        "fence": line.fence,
                        "state": line.state,
                        "runs_out_s": round((line.until - now) / S, 3),
                    }
                    for line in lines
                ],
            }
        age = self.roster.age(now)
        force = self.keeper.force
        return {
            "whole": self.whole,
            "in_force": f"{force.key.version:08x}" if force else None,
            "held": {
                member: f"{key.version:08x}" if key.version >= 0 else None
                for member, key in sorted(self.keeper.durable.items())
            },
            "members": {
                member: {"heard_s": round((now - self.heard_at[member]) / S, 3) if member in self.heard_at else None}
                for member in self.members
            },
            "servers": len(self.roster.entries),
            "list_age_s": None if age is None else round(age / S, 3),
            "services": services,
        }

    # What edge members are told.

    def word_frame(self) -> dict[str, Any]:
        force = self.keeper.force
        return {"t": "word", "key": force.key, "text": force.text}

    @staticmethod
    def lines_frame(service: str, at: tuple[Any, int], lines: list[Any]) -> dict[str, Any]:
        return {"t": "lines", "service": service, "at": at, "lines": [parts[:4] for parts in lines]}

    def beat_frame(self, edges: int) -> dict[str, Any]:
        """Told to an edge member in every beat: what this member vouches for, who
        the counted members are, and how many edge members there are."""
        force = self.keeper.force
        return {
            "t": "beat",
            "key": force.key if force else None,
            "whole": self.whole,
            "members": self.members,
            "edges": edges,
        }

    def lacking(self, now: int, frame: dict[str, Any]) -> list[dict[str, Any]]:
        """What an edge member that says where it stands has not got yet."""
        frames = []
        force = self.keeper.force
        key = frame.get("key")
        if force is not None and (key is None or Key(*key) < force.key):
            frames.append(self.word_frame())
        for service in self._sharded():
            register = self.promiser.registers.get(service, Register())
            told = frame.get("lines", {}).get(service)
            at = ((told[0][0], told[0][1]), told[1]) if told else (NO_BALLOT, -1)
            if register.newest() > at:
                frames.append(self.lines_frame(service, register.newest(), parts_of(register.record)[0]))
        if self.roster.fetched_at is not None and frame.get("roster") != self.roster.digest():
            frames.append(self.roster.frame(now))
        return frames

    # A member that came back with an empty disk.

    def _join(self, member: str) -> list[Effect]:
        if not self.whole:
            return []
        held = self.keeper.held
        registers = {service: tuple(register) for service, register in self.promiser.registers.items()}
        return [("send", member, {"t": "joined", "text": held.text if held else None, "registers": registers})]

    def _take_joined(self, now: int, member: str, frame: dict[str, Any]) -> list[Effect]:
        """What we might have promised or kept is known once so many others have told theirs that every majority we can
        have been part of has one of them."""
        if self.whole:
            return []
        self._joined[member] = frame
        if len(self._joined) < len(self.members) - self.keeper.majority + 1:
            return []
        registers: dict[str, Register] = {}
        effects: list[Effect] = []
        for told in self._joined.values():
            for service, parts in told["registers"].items():
                other = Register(tuple(parts[0]), tuple(parts[1]), parts[2], parts[3])
                registers[service] = registers.get(service, Register()).with_all_of(other)
            found = read(told["text"]).value_or(None) if told["text"] else None
            if found is not None:
                effects += self.keeper.take(now, found)
        self.promiser.registers = registers
        effects.append(("disk", "adopt", (self.members, registers, self.keeper.held), [("adopted",)]))
        return effects

    def adopted(self, now: int) -> list[Effect]:
        """All that others told is on our disk, which may be believed from now on."""
        self.keeper.whole = self.promiser.whole = True
        if self.keeper.held is not None:
            return self._done(now, self.keeper.stored(now, self.keeper.held.key), None)
        return []
