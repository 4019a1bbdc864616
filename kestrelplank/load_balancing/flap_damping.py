"""Damping of zones (or nodes) that come and go: after several losses in a row they are used only after a hold."""

from typing import NamedTuple

from kestrelplank.time_units import SECOND

MAX_DOUBLINGS = 40  # of a hold, so that the number stays small


class FlapDampingSettings(NamedTuple):
    """How long a zone is held down.

    :param window_ns: `free_losses` within that time cost nothing.
    :param first_hold_ns: for the next loss; each further one holds the zone for twice as long, up to `max_hold_ns`.
    :param reset_after_ns: after that time without a loss all is forgotten.
    """

    window_ns: int = 60 * SECOND
    free_losses: int = 1
    first_hold_ns: int = 5 * SECOND
    max_hold_ns: int = 120 * SECOND
    reset_after_ns: int = 180 * SECOND


class FlapDamping:
    """One zone (or node) that comes and goes.

    Guards against work that follows a flapping zone back and forth, each time onto cold nodes. Harm: after three quick
    losses a healthy zone is unused for some seconds.

    Source: the damping of routes that flap (RFC 2439, 1998), with doubling in place of a decaying penalty.
    """

    def __init__(self, settings: FlapDampingSettings) -> None:
        self._settings = settings
        self._lost_at: list[int] = []
        self._holds = 0
        self.held_until = 0
        self.is_up = True

    def lost(self, now: int) -> None:
        """Take note that the zone is lost; more of the same changes nothing."""
        if not self.is_up:
            return
        self.is_up = False
        settings = self._settings
        if self._lost_at and now - self._lost_at[-1] >= settings.reset_after_ns:
            self._lost_at, self._holds = [], 0
        self._lost_at = [at for at in self._lost_at if now - at < settings.window_ns] + [now]
        if len(self._lost_at) > settings.free_losses:
            hold_ns = min(settings.max_hold_ns, settings.first_hold_ns << min(self._holds, MAX_DOUBLINGS))
            self._holds += 1
            self.held_until = now + hold_ns

    def recovered(self, now: int) -> int:
        """Take note that the zone is back; return when it may be used: now, or once its hold is over."""
        self.is_up = True
        return max(now, self.held_until)

    def is_usable(self, now: int) -> bool:
        """Whether the zone is up and not held."""
        return self.is_up and now >= self.held_until
