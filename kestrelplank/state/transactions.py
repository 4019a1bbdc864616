"""A change of configuration as a transaction: staged at the relays, decided, used by all, or by none.

A change is decided once a quorum of the relays holds it for the same epoch; only then is any told to use it. A
conductor leads in an epoch of its own, higher than any before: relays that have answered it refuse what an older one
still sends, and tell what they hold. Whoever takes over finishes what may have been decided and drops what can't have
been. That is one instance of single-decree Paxos a version (L. Lamport, 1998), with relays as acceptors; an undo is a
new version, so nobody ever goes back to an older one.

No I/O and no clock. A step returns what to do, in order: ("store", record) before anything behind it is sent,
("to", relay, message), and ("told", outcome, version, why) for whoever asked.
"""

from typing import Any, NamedTuple

IDLE, ASKING, STAGING = "idle", "asking", "staging"
COMMITTED, CONFIRMED, UNDONE = "committed", "confirmed", "undone"


class Held(NamedTuple):
    """What one relay holds: the epoch it has promised to follow, the version staged for it (version, epoch, content)
    and the version in use with its content. A relay keeps this where it has a disk; one that has lost it has no vote
    until it has been brought up to a decided version."""

    promised: int = 0
    staged: tuple[int, int, Any] | None = None
    version: int = 0
    content: Any = None


def follow(held: Held, message: tuple) -> tuple[Held, tuple]:
    """One message at a relay: what it holds then, and its answer. A message that comes twice changes nothing more and
    is answered again.

        ("who", epoch)                       -> ("state", epoch, version, content, staged)
        ("stage", epoch, version, content)   -> ("staged", epoch, version)
        ("use", epoch, version, content)     -> ("uses", epoch, version)
        an older epoch than promised         -> ("fenced", epoch, promised)

    What is decided is used whoever tells it, but never a version below the one in use."""
    word, epoch, *fields = message
    if word == "use":
        version, content = fields
        if version > held.version:
            staged = held.staged if held.staged and held.staged[0] > version else None
            held = held._replace(version=version, content=content, staged=staged)
        return held, ("uses", epoch, held.version)
    if epoch < held.promised:
        return held, ("fenced", epoch, held.promised)
    held = held._replace(promised=epoch)
    if word == "who":
        return held, ("state", epoch, held.version, held.content, held.staged)
    version, content = fields
    if version <= held.version:
        return held, ("uses", epoch, held.version)
    return held._replace(staged=(version, epoch, content)), ("staged", epoch, version)


class Stale(ValueError):
    """A change was made from another version than the one in use; the text says which."""


class Busy(ValueError):
    """Another change is on its way."""


class Terms(NamedTuple):
    """`voters`: relays that count for a quorum, by number. `within` (ns): staging that is not done by then is given up,
    or goes on without the silent, if no more than the share `silent` of the joined are."""

    voters: tuple[int, ...]
    within: int
    silent: float


class Leader:
    """One conductor's lead in one epoch. `version` and `content` are what is known to be decided."""

    __slots__ = (
        "epoch",
        "phase",
        "version",
        "content",
        "joined",
        "_terms",
        "_wanted",
        "_answers",
        "_staged",
        "_uses",
        "_deadline",
        "_mine",
    )

    def __init__(self, epoch: int, terms: Terms, version: int = 0, content: Any = None) -> None:
        self.epoch, self._terms, self.version, self.content = epoch, terms, version, content
        self.phase, self.joined = IDLE, ()
        self._wanted: tuple[int, Any] | None = None  # version and content being staged
        self._answers: dict[int, tuple] = {}  # voter to (version, content, staged), in this epoch
        self._staged: dict[int, None] = {}
        self._uses: dict[int, int] = {}
        self._deadline, self._mine = 0, False

    def copy(self) -> "Leader":
        other = Leader(self.epoch, self._terms, self.version, self.content)
        other.phase, other.joined, other._wanted = self.phase, self.joined, self._wanted
        other._answers, other._staged, other._uses = dict(self._answers), dict(self._staged), dict(self._uses)
        other._deadline, other._mine = self._deadline, self._mine
        return other

    def state(self) -> tuple:
        """All that tells one state from another, for who compares them."""
        return (
            self.epoch,
            self.phase,
            self.version,
            self.content,
            self.joined,
            self._wanted,
            self._mine,
            tuple(sorted(self._answers.items())),
            tuple(sorted(self._staged)),
            tuple(sorted(self._uses.items())),
        )

    def shown(self, now: int) -> dict:
        """What an operator is told of a lead: phase, versions, whom it waits for, and for how long yet (ns)."""
        if self.phase == ASKING:
            waits = [relay for relay in self._terms.voters if relay not in self._answers]
        elif self.phase == STAGING:
            waits = [relay for relay in self.joined if relay not in self._staged]
        else:
            waits = [relay for relay in self.joined if self._uses.get(relay, 0) < self.version]
        busy = self.phase in (ASKING, STAGING)
        return {
            "epoch": self.epoch,
            "phase": self.phase,
            "version": self.version,
            "staging": self._wanted[0] if self._wanted else None,
            "taken over": bool(self._wanted) and not self._mine,
            "waits for": waits,
            "left": max(0, self._deadline - now) if busy else 0,
        }

    def _quorum(self) -> int:
        return len(self._terms.voters) // 2 + 1

    def _all(self, message: tuple) -> list[tuple]:
        return [("to", relay, message) for relay in self.joined]

    # What happens.

    def take_over(self, now: int, joined: tuple[int, ...]) -> list[tuple]:
        """This conductor leads from now on: it asks all what they hold before it does anything else."""
        self.joined, self.phase, self._deadline = joined, ASKING, now + self._terms.within
        self._answers, self._staged, self._wanted = {}, {}, None
        return [("store", ("epoch", self.epoch)), *self._all(("who", self.epoch))]

    def propose(self, now: int, base: int, content: Any) -> list[tuple]:
        """A change made from version `base`. Raises Stale or Busy, with nothing done."""
        if self.phase != IDLE:
            raise Busy(f"the lead of epoch {self.epoch} is {self.phase}")
        if base != self.version:
            raise Stale(f"the change was made from version {base}, in use is {self.version}")
        return self._stage(now, self.version + 1, content, True)

    def _stage(self, now: int, version: int, content: Any, mine: bool) -> list[tuple]:
        self.phase, self._wanted, self._staged, self._mine = STAGING, (version, content), {}, mine
        self._deadline = now + self._terms.within
        return [("store", ("stage", self.epoch, version, content)), *self._all(("stage", self.epoch, version, content))]

    def came(self, now: int, relay: int) -> list[tuple]:
        """A relay has joined. It is brought up to what is decided, and takes part in what is on its way."""
        if relay not in self.joined:
            self.joined = (*self.joined, relay)
        self._uses.pop(relay, None)
        return self._for(relay)

    def _for(self, relay: int) -> list[tuple]:
        """What a relay has not answered yet."""
        if self.phase == ASKING:
            return [("to", relay, ("who", self.epoch))] if relay not in self._answers else []
        steps: list[tuple] = []
        if self.version and self._uses.get(relay, 0) < self.version:
            steps.append(("to", relay, ("use", self.epoch, self.version, self.content)))
        if self.phase == STAGING and relay not in self._staged:
            steps.append(("to", relay, ("stage", self.epoch, *self._wanted)))
        return steps

    def went(self, now: int, relay: int) -> list[tuple]:
        """A relay has left, or stands still for so long that it counts as gone: it votes no less for that, but nobody
        waits for it."""
        self.joined = tuple(one for one in self.joined if one != relay)
        return self._look(now)

    def heard(self, now: int, relay: int, answer: tuple) -> list[tuple]:
        """A relay's answer. One to another epoch means nothing, but that of a higher one ends this lead."""
        word, epoch, *fields = answer
        if word == "fenced" and fields[0] > self.epoch:
            return self._end("a newer epoch leads")
        if word == "uses" and fields[0] > self._uses.get(relay, 0):
            self._uses[relay] = fields[0]
            if fields[0] > self.version:
                return self._end(f"relay {relay} uses version {fields[0]}, which this lead knows nothing of")
            return self._confirm(now)
        if epoch != self.epoch:
            return []
        if word == "state" and self.phase == ASKING and relay in self._terms.voters:
            self._answers[relay] = tuple(fields)
        elif word == "staged" and self.phase == STAGING and fields[0] == self._wanted[0]:
            self._staged[relay] = None
        return self._look(now)

    def tick(self, now: int) -> list[tuple]:
        """Sends again what has not been answered, and looks whether a deadline is over."""
        return self._look(now) or [step for relay in self.joined for step in self._for(relay)]

    # What is decided.

    def _look(self, now: int) -> list[tuple]:
        if self.phase == ASKING:
            every = all(relay in self._answers for relay in self._terms.voters)
            enough = len(self._answers) >= self._quorum()
            waits = any(relay in self.joined and relay not in self._answers for relay in self._terms.voters)
            if every or enough and (not waits or now >= self._deadline):
                return self._choose(now)
        elif self.phase == STAGING:
            voted = sum(relay in self._terms.voters for relay in self._staged)
            missing = [relay for relay in self.joined if relay not in self._staged]
            late = now >= self._deadline
            left_behind = late and len(missing) <= self._terms.silent * len(self.joined)
            if voted >= self._quorum() and (not missing or left_behind):
                return self._decide(now)
            if late:  # what is staged somewhere may be decided by whoever leads next: a new epoch finds out
                return self._end("not staged in time")
        return []

    def _choose(self, now: int) -> list[tuple]:
        """A quorum has answered, and refuses all older epochs from now on. What one of it uses is decided. What one of
        it has staged for the next version may have been decided, unless too few can hold it; of several the one of the
        highest epoch."""
        for version, content, _ in self._answers.values():
            if version > self.version:
                self.version, self.content = version, content
        staged = [held for _, _, held in self._answers.values() if held and held[0] == self.version + 1]
        unheard = sum(relay not in self._answers for relay in self._terms.voters)
        self._uses.update((relay, version) for relay, (version, _, _) in self._answers.items())
        self.phase = IDLE
        steps = [step for relay in self.joined for step in self._for(relay)]
        if staged:
            _, epoch, content = max(staged, key=lambda held: held[1])
            if sum(held[1] == epoch for held in staged) + unheard >= self._quorum():
                return steps + self._stage(now, self.version + 1, content, False)
        return steps

    def _decide(self, now: int) -> list[tuple]:
        version, content = self._wanted
        self.version, self.content, self._wanted, self.phase = version, content, None, IDLE
        return [
            ("store", ("decided", self.epoch, version, content)),
            *self._all(("use", self.epoch, version, content)),
            ("told", COMMITTED, version, ""),
        ]

    def _confirm(self, now: int) -> list[tuple]:
        """All that are joined use what is decided."""
        behind = [relay for relay in self.joined if self._uses.get(relay, 0) < self.version]
        if self.phase == IDLE and self.version and not behind:
            return [("told", CONFIRMED, self.version, "")]
        return []

    def _end(self, why: str) -> list[tuple]:
        """This lead is over; another epoch settles what was on its way."""
        was, self.phase, wanted = self.phase, "over", self._wanted
        self._wanted = None
        return [("told", UNDONE, wanted[0] if wanted else self.version, why)] if was != "over" else []


# Contents that are mappings, node to what is said of it.


def changed(base: dict, new: dict) -> dict:
    """What `new` changes of `base`: key to its new value, None where it goes."""
    found = {key: value for key, value in new.items() if base.get(key) != value}
    return dict(sorted((found | {key: None for key in base if key not in new}).items()))


def merged(base: dict, current: dict, new: dict) -> dict:
    """A change made from `base` put onto `current`, which others have changed meanwhile. Raises Stale, naming what both
    touch; where both say the same of it there is nothing to settle."""
    theirs, mine = changed(base, current), changed(base, new)
    both = [key for key in mine if key in theirs and mine[key] != theirs[key]]
    if both:
        raise Stale(f"changed by others meanwhile: {', '.join(map(str, both))}")
    found = dict(current)
    for key, value in mine.items():
        if value is None:
            found.pop(key, None)
        else:
            found[key] = value
    return found


def undone(before: dict, current: dict, closed: dict) -> tuple[dict, list]:
    """What an undo makes of `current`: `before`, but with every node that drains or was withdrawn since (`closed`: node
    to what is said of it now) left as it is. Returns that, and the nodes that stay closed."""
    found, stays = dict(before), []
    for node in sorted(closed):
        if found.get(node) != closed[node]:
            found[node] = closed[node]
            stays.append(node)
    return found, stays
