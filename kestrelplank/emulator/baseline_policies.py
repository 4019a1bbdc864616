"""Policies that the real one is held against."""

from collections.abc import Iterable

from kestrelplank.interface import Event, OrderWriter
from kestrelplank.policy import Policy


class StaticPolicy(Policy):
    """Every slice stays where it is until it has lost its node: no node is ejected, and no load moves."""

    def eject_unhealthy(self, now: int) -> None:
        """Eject nothing."""

    def balance(self, now: int) -> None:
        """Move nothing for its load."""


class IdlePolicy(StaticPolicy):
    """Orders nothing."""

    def round(self, now: int, events: Iterable[Event], out: OrderWriter) -> None:
        """Do nothing, as somebody else places slices."""
