"""Whether an edge may be sent requests."""

from enum import Enum

from kestrelplank.transport.edge_view import EdgeView


class ReadinessState(Enum):
    """What the platform learns of this edge."""

    STARTING = "starting"  # no configuration or list of servers yet that may be served by
    READY = "ready"
    DRAINING = "draining"  # it is about to stop: each answer ends its connection


class Readiness:
    """The state of one edge. It starts once, and never ends to drain."""

    def __init__(self, view: EdgeView) -> None:
        self._view = view
        self.draining = False

    @property
    def state(self) -> ReadinessState:
        """The state now."""
        if self.draining:
            return ReadinessState.DRAINING
        return ReadinessState.READY if self._view.ready() else ReadinessState.STARTING

    def is_ready(self) -> bool:
        """Whether new connections may come here."""
        return self.state is ReadinessState.READY

    def begin_drain(self) -> None:
        """Be ready no longer."""
        self.draining = True
