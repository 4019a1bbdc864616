"""Flap damping: a zone (or node) that is lost repeatedly is used again only after a hold-down time."""

from typing import NamedTuple

from kestrelplank.time_units import SECOND

MAX_DOUBLINGS = 40  # of the hold-down time, to bound the shift


class FlapDampingSettings(NamedTuple):
    """Settings for hold-down times.

    :param window_ns: up to `free_losses` losses within this time cause no hold-down.
    :param first_hold_ns: hold-down time for the next loss; it doubles with each further loss, up to `max_hold_ns`.
    :param reset_after_ns: time without a loss after which earlier losses are disregarded.
    """

    window_ns: int = 60 * SECOND
    free_losses: int = 1
    first_hold_ns: int = 5 * SECOND
    max_hold_ns: int = 120 * SECOND
    reset_after_ns: int = 180 * SECOND


class FlapDamping:
    """The losses and hold-down of one zone (or node).

    Guards against load that moves back and forth with a flapping zone, each time onto nodes that are not warmed up.
    Drawback: after more than `free_losses` quick losses a healthy zone is unused for some seconds.

    Source: BGP route flap damping (RFC 2439, 1998), with doubling in place of a decaying penalty.
    """

    def __init__(self, settings: FlapDampingSettings) -> None:
        self._settings = settings
        self._lost_at: list[int] = []
        self._holds = 0
        self.held_until = 0
        self.is_up = True

    def lost(self, now: int) -> None:
        """Record that the zone is lost; no effect if it is already down."""
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
        """Record that the zone is up again; return when it may be used: `now` or the end of its hold-down."""
        self.is_up = True
        return max(now, self.held_until)

    def is_usable(self, now: int) -> bool:
        """Whether the zone is up and not held down."""
        return self.is_up and now >= self.held_until
