"""What the parts of a rehearsal's world have in common."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from kestrelplank.emulator.clock import chance

if TYPE_CHECKING:
    from kestrelplank.emulator.world import World


class Part:
    """One of its kind in the world, with a chance of its own that the name tells from others."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.clock, self.random = world, world.clock, chance(world.seed, name)


class Actor:
    """A relay or a conductor, by number, over its lives."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.clock = world, world.clock
        self.number, self.zone = number, number % len(world.script.site.zones)
        self.alive, self.life, self.paused_until = False, 0, 0

    def in_this_life(self, at: int, do: Callable, *arguments: Any) -> None:
        """Does it at that time (ns), unless its life has ended by then."""
        life = self.life
        self.clock.at(at, lambda: do(*arguments) if self.alive and self.life == life else None)

    def pause(self, until: int) -> None:
        """It stands still until then (ns)."""
        self.paused_until = max(self.paused_until, until)
