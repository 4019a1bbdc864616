"""The common base of proxies and assigners: a process that can end, restart and be paused."""

from collections.abc import Callable

from kestrelplank.emulator.virtual_clock import Clock


class ProcessActor:
    """A process with a number, across its incarnations."""

    def __init__(self, clock: Clock, number: int, zone: int) -> None:
        self.clock, self.number, self.zone = clock, number, zone
        self.alive, self.incarnation, self.paused_until = False, 0, 0

    def call_in_this_incarnation(self, at: int, callback: Callable[[], None]) -> None:
        """Call the callback at that time, unless the incarnation has ended by then."""
        incarnation = self.incarnation

        def call() -> None:
            if self.alive and self.incarnation == incarnation:
                callback()

        self.clock.at(at, call)

    def pause(self, until: int) -> None:
        """Pause the process until that time."""
        self.paused_until = max(self.paused_until, until)
