"""Whether an edge may be sent requests."""

from enum import Enum

from kestrelplank.transport.edge_view import EdgeView


class ReadinessState(Enum):
    """The states of an edge; the platform's readiness check succeeds in `READY` alone."""

    STARTING = "starting"  # no list of servers, or no configuration that a current member has vouched for
    READY = "ready"
    DRAINING = "draining"  # it is about to stop: each answer ends its connection


class Readiness:
    """The state of one edge: it only goes forward, and draining is final."""

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
        """Fail the readiness check from now on."""
        self.draining = True
