"""Policies that the production policy is compared with."""

from collections.abc import Iterable

from kestrelplank.interface import Event, OrderWriter
from kestrelplank.policy import Policy


class StaticPolicy(Policy):
    """Keeps every slice on its node until that node is lost: it ejects no node and moves no load."""

    def eject_unhealthy(self, now: int) -> None:
        """Eject nothing."""

    def balance(self, now: int) -> None:
        """Move no slice because of its load."""


class IdlePolicy(StaticPolicy):
    """Issues no orders."""

    def round(self, now: int, events: Iterable[Event], out: OrderWriter) -> None:
        """Do nothing: the simulation places the slices."""
