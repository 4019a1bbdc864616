"""How nodes and whole zones that come back are fed: little at first, more as they prove themselves, and after several
losses in a row only once they have stayed for a while. Times are whole ns.
"""

from typing import NamedTuple

BAD = 1.5  # times the usual time of an answer, from which a node that returns is given no more than it has
MOST_FAILED = 0.1  # share of failures that has the same effect


class Warmth(NamedTuple):
    """The settings' figures: a node starts at `cold_from` of its capacity and is warm after `warm_up`; sent more than
    `multiple` times what it can do at the moment it falls over. `part` is how much of that may be used at all."""

    cold_from: float
    warm_up: int
    multiple: float
    part: float = 0.5


class Ramp:
    """One node since its start. Its age counts only while its answers are good: a node that was promised to be warm and
    is not yet is given more only as it shows it.

    `allowance` is for one of `feeders` that may all send to it and do not hear each other: each keeps to its part of
    the budget, so that all together stay under the multiple (rule 4). Harm: where the others send nothing, the node is
    filled more slowly than it could be."""

    def __init__(self, warmth: Warmth, started: int, now: int) -> None:
        self._warmth, self.started = warmth, started
        # Whoever sees the node in the middle of its warm-up has no proof of how it did: it begins anew, never at full.
        self._seen, self._held, self._good = now, 0, True

    def report(self, now: int, acked: int, failed: int, time: float | None, usual: float | None) -> None:
        """What a period has shown of it: ops acked and failed, the mean time of answers, and the usual one of the
        fleet."""
        self._count(now)
        tries = acked + failed
        slow = time is not None and usual is not None and time > BAD * usual
        if tries:
            self._good = not slow and failed <= MOST_FAILED * tries

    def _count(self, now: int) -> None:
        if not self._good:
            self._held += max(0, now - self._seen)
        self._seen = max(self._seen, now)

    def age(self, now: int) -> int:
        """Its age as far as it counts."""
        bad = 0 if self._good else max(0, now - self._seen)
        return max(0, now - self.started - self._held - bad)

    def warmth(self, now: int) -> float:
        """The share of its capacity that it surely has by now."""
        warmth = self._warmth
        if not warmth.warm_up:
            return 1.0
        return min(1.0, warmth.cold_from + (1 - warmth.cold_from) * self.age(now) / warmth.warm_up)

    def allowance(self, now: int, capacity: float, feeders: int) -> float:
        """The work a second that one of so many feeders may send it by now; `capacity` is what it does when warm. A
        warm node's is its capacity in parts: the multiple is for cold ones alone."""
        share = self.warmth(now)
        most = capacity if share >= 1.0 else min(capacity, capacity * share * self._warmth.multiple * self._warmth.part)
        return most / max(1, feeders)

    def warm(self, now: int) -> bool:
        return self.warmth(now) >= 1.0


class Damping(NamedTuple):
    """`free` losses within `window` cost nothing; each further one holds the zone down for twice as long as the one
    before, from `first` to `most`. After `quiet` without a loss all is forgotten."""

    window: int = 60_000_000_000
    free: int = 1
    first: int = 5_000_000_000
    most: int = 120_000_000_000
    quiet: int = 180_000_000_000


class Flaps:
    """One zone (or node) that comes and goes. Guards against work that follows a flapping zone back and forth, each
    time onto cold nodes. Harm: after three quick losses a sound zone stands idle for some seconds.

    Source: the damping of routes that flap (RFC 2439, 1998), with doubling in place of a decaying penalty."""

    def __init__(self, damping: Damping) -> None:
        self._damping, self._losses = damping, []
        self._holds, self.held_until, self.up = 0, 0, True

    def lost(self, now: int) -> None:
        """It is gone. Told again while it is gone changes nothing."""
        if not self.up:
            return
        self.up = False
        damping = self._damping
        if self._losses and now - self._losses[-1] >= damping.quiet:
            self._losses, self._holds = [], 0
        self._losses = [at for at in self._losses if now - at < damping.window] + [now]
        if len(self._losses) > damping.free:
            span = min(damping.most, damping.first << min(self._holds, 40))
            self._holds += 1
            self.held_until = now + span

    def back(self, now: int) -> int:
        """It is there again. Returns when it may be fed: now, or once its hold is over."""
        self.up = True
        return max(now, self.held_until)

    def feeds(self, now: int) -> bool:
        return self.up and now >= self.held_until
