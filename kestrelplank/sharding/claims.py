"""Who decides for a sharded service: a claim that a majority of the counted members has promised, and that runs out by
the steady clock unless it is renewed. What the decider has laid down, the record, is known by a majority before it acts
on it, so whoever claims next learns it from any majority.

Source: the promise and the record are the two phases of single-decree Paxos (L. Lamport, 1998) used as a register, as
in Disk Paxos and Chubby's sessions; the lease counts from before the holder asked (C. Gray and D. Cheriton, 1989).

No I/O. Effects:

    ("send", member, frame)              to a member, to ourselves too
    ("register", service, register, member, frame)    write the register to disk, then send the frame
    ("office", record)                   we decide from now on, and this is what was laid down last (None: nothing yet)
    ("recorded", seq, record)            a majority has what was laid down
    ("lost",)                            we decide no longer
"""

from random import Random
from typing import Any, NamedTuple

S = 1_000_000_000
LEASE = 3 * S // 2  # of a claim; also how long a member that starts promises nothing, as it may have promised before
RENEW = 300_000_000
SLACK = 100_000_000  # the holder lets go so much before its promisers do
STAGGER = 150_000_000  # by place on the list
ROUND = 500_000_000  # ns after which a round without a majority is sent again, or given up
Ballot = tuple[int, str]
Effect = tuple[Any, ...]
NO_BALLOT: Ballot = (0, "")


class Register(NamedTuple):
    """What a member keeps on disk for a service: the highest ballot promised, and the last record with its ballot and
    number."""

    promised: Ballot = NO_BALLOT
    ballot: Ballot = NO_BALLOT
    seq: int = 0
    record: Any = None

    def newest(self) -> tuple[Ballot, int]:
        return self.ballot, self.seq

    def with_all_of(self, other: "Register") -> "Register":
        """The higher promise and the newer record of both."""
        return max(self, other, key=Register.newest)._replace(promised=max(self.promised, other.promised))


class Promiser:
    """One member's promises, by service. A member that has just started is `quiet`: it may have promised in its former
    life what it no longer knows the end of; only the holder of that promise itself it serves at once."""

    def __init__(self, now: int, registers: dict[str, Register], whole: bool, first: bool) -> None:
        self.registers, self.whole = registers, whole
        self._quiet = now if first else now + LEASE
        self._leases: dict[str, tuple[str, int]] = {}  # by service: who holds it and until when

    def holder(self, now: int, service: str) -> str | None:
        """Who decides, as far as is known here."""
        member, until = self._leases.get(service, ("", 0))
        return member if now < until else None

    def free_at(self, service: str, member: str = "") -> int:
        """From when on that member's claim is promised here; its own promise does not stand in its way."""
        register = self.registers.get(service, Register())
        holder, until = self._leases.get(service, (register.promised[1], 0))
        return 0 if member and member == holder else max(until, self._quiet)

    def take(self, now: int, member: str, frame: dict[str, Any]) -> list[Effect]:
        """A `claim`, `renew`, `record` or `yield` of a member."""
        if not self.whole:
            return []
        service, ballot = frame["service"], (frame["ballot"][0], frame["ballot"][1])
        register = self.registers.get(service, Register())
        answer = {
            "t": "promised",
            "service": service,
            "nonce": frame["nonce"],
            "ok": False,
            "n": register.promised[0],
            "wait": max(0, self.free_at(service, member) - now),
        }
        word = frame["t"]
        if word == "yield":
            if register.promised == ballot:
                self._leases[service] = (member, now)
            return []
        if word == "claim":
            if ballot <= register.promised or now < self.free_at(service, member):
                return [("send", member, answer)]
            register = register._replace(promised=ballot)
            answer |= {"ok": True, "at": register.newest(), "record": register.record}
        elif ballot < register.promised:
            return [("send", member, answer)]
        elif word == "renew":
            if ballot != register.promised:  # promised to us by others, while we were away
                return [("send", member, answer)]
            self._leases[service] = (member, now + LEASE)
            return [("send", member, answer | {"ok": True})]
        else:
            if (ballot, frame["seq"]) > register.newest():
                register = Register(ballot, ballot, frame["seq"], frame["record"])
            answer["ok"] = True
        self.registers[service] = register
        self._leases[service] = (member, now + LEASE)
        return [("register", service, register, member, answer)]


class Round:
    """One question to all members, and who said yes."""

    __slots__ = ("word", "sent_at", "yes", "no", "frame", "newest", "record")

    def __init__(self, word: str, sent_at: int, frame: dict[str, Any]) -> None:
        self.word, self.sent_at, self.frame = word, sent_at, frame
        self.yes: dict[str, None] = {}
        self.no: dict[str, None] = {}
        self.newest: tuple[Ballot, int] = (NO_BALLOT, 0)
        self.record: Any = None


class Claimer:
    """One member's wish to decide for one service. Each member wishes; who is nearer the front of the list wishes
    sooner, and nobody takes from a holder that is alive."""

    def __init__(
        self, now: int, random: Random, me: str, members: tuple[str, ...], service: str, promised: int = 0
    ) -> None:
        """`promised`: the number of the highest ballot on our own disk."""
        self.me, self.members, self.service = me, members, service
        self.majority = len(members) // 2 + 1
        self._random = random
        self.ballot: Ballot = NO_BALLOT
        self.in_office, self.until, self.seq = False, 0, 0
        self._rounds: dict[int, Round] = {}
        self._nonce = random.getrandbits(40) << 20  # late answers to a former life match nothing
        self._highest = promised
        self._found: Any = None  # the record that our claim met
        self._next = now + members.index(me) * STAGGER
        self._renew_at = 0

    def decides(self, now: int) -> bool:
        """Whether we may act on what was laid down, at this very moment."""
        return self.in_office and now < self.until

    def tick(self, now: int, free_at: int, reached: int, wants: bool) -> list[Effect]:
        """`free_at`: when our own promise to somebody runs out; `reached`: members in session, us included; `wants`:
        the service is there, and we are fit to decide."""
        effects: list[Effect] = []
        place = self.members.index(self.me)
        if self.ballot != NO_BALLOT and now >= self.until:
            if self.in_office:
                effects.append(("lost",))
            if self.in_office or not any(round_.word != "renew" for round_ in self._rounds.values()):
                self._drop(now)
        for nonce, round_ in list(self._rounds.items()):
            if now - round_.sent_at < ROUND:
                continue
            del self._rounds[nonce]
            if round_.word == "record" and self.ballot != NO_BALLOT and now < self.until:
                effects += self._ask(now, "record", round_.frame)
            elif round_.word == "claim":
                effects += self.resign(now)
        if self.ballot != NO_BALLOT and now >= self._renew_at and self.until:
            self._renew_at = now + RENEW
            effects += self._ask(now, "renew", {})
        from_then = max(self._next, free_at + place * STAGGER)
        if self.ballot == NO_BALLOT and wants and reached >= self.majority and now >= from_then:
            self._highest += 1
            self.ballot, self.until = (self._highest, self.me), 0
            effects += self._ask(now, "claim", {})
        return effects

    def lay_down(self, now: int, record: Any) -> list[Effect]:
        """A new record; ("recorded", seq, record) follows once a majority has it."""
        self.seq += 1
        return self._ask(now, "record", {"seq": self.seq, "record": record})

    def resign(self, now: int, wait: int = 0) -> list[Effect]:
        """We give up in order: who promised may promise others at once. Two that claim at the same time would else keep
        each other from it for a lease, and again at its end. `wait`: before the next claim of ours."""
        if self.ballot == NO_BALLOT:
            return []
        effects = self._ask(now, "yield", {})
        self._drop(now, wait)
        return effects

    def answered(self, now: int, member: str, frame: dict[str, Any]) -> list[Effect]:
        """A `promised` of a member."""
        round_ = self._rounds.get(frame["nonce"])
        self._highest = max(self._highest, frame.get("n", 0))
        if round_ is None:
            return []
        if not frame["ok"]:
            round_.no[member] = None
            beaten = len(round_.no) > len(self.members) - self.majority
            if frame["n"] > self.ballot[0] or round_.word == "claim" and beaten:
                lost = self.in_office
                effects = self.resign(now, frame.get("wait", 0))
                return [("lost",), *effects] if lost else effects
            return []
        round_.yes[member] = None
        if round_.word == "claim":
            newest = (tuple(frame["at"][0]), frame["at"][1])
            if newest > round_.newest:
                round_.newest, round_.record = newest, frame["record"]
        if len(round_.yes) < self.majority:
            return []
        del self._rounds[frame["nonce"]]
        self.until = max(self.until, round_.sent_at + LEASE - SLACK)
        if round_.word == "claim":
            self._renew_at = now + RENEW
            self.seq, self._found = 0, round_.record
            return self.lay_down(now, round_.record)  # under our own ballot: the next claimer must find it
        if round_.word == "record":
            if not self.in_office:
                self.in_office = True
                return [("office", self._found)]
            return [("recorded", round_.frame["seq"], round_.frame["record"])]
        return []

    def _ask(self, now: int, word: str, more: dict[str, Any]) -> list[Effect]:
        self._nonce += 1
        frame = {**more, "t": word, "service": self.service, "ballot": self.ballot, "nonce": self._nonce}
        if word != "yield":
            self._rounds[self._nonce] = Round(word, now, more)
        return [("send", member, frame) for member in self.members]

    def _drop(self, now: int, wait: int = 0) -> None:
        self.ballot, self.in_office, self.until = NO_BALLOT, False, 0
        self._rounds.clear()
        self._next = now + wait + self.members.index(self.me) * STAGGER + self._random.randrange(STAGGER)
