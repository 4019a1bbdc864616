"""What proxies and assigners of a simulation have in common: a process that may end, start anew, and be paused."""

from collections.abc import Callable

from kestrelplank.emulator.virtual_clock import Clock


class ProcessActor:
    """A process by its number, over its incarnations."""

    def __init__(self, clock: Clock, number: int, zone: int) -> None:
        self.clock, self.number, self.zone = clock, number, zone
        self.alive, self.incarnation, self.paused_until = False, 0, 0

    def call_in_this_incarnation(self, at: int, callback: Callable[[], None]) -> None:
        """Call the callback at that instant, unless the incarnation has ended by then."""
        incarnation = self.incarnation

        def call() -> None:
            if self.alive and self.incarnation == incarnation:
                callback()

        self.clock.at(at, call)

    def pause(self, until: int) -> None:
        """Let the process stand still until that instant."""
        self.paused_until = max(self.paused_until, until)
