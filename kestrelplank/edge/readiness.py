"""The readiness of an edge to accept requests."""

from enum import Enum

from kestrelplank.transport.edge_view import EdgeView


class ReadinessState(Enum):
    """The states of an edge; the platform's readiness check succeeds only in `READY`."""

    STARTING = "starting"  # no server list yet, or no configuration that a current member has confirmed
    READY = "ready"
    DRAINING = "draining"  # shutting down: each answer closes its connection


class Readiness:
    """The readiness of one edge; draining is final."""

    def __init__(self, view: EdgeView) -> None:
        self._view = view
        self.draining = False

    @property
    def state(self) -> ReadinessState:
        """The current state."""
        if self.draining:
            return ReadinessState.DRAINING
        return ReadinessState.READY if self._view.ready() else ReadinessState.STARTING

    def is_ready(self) -> bool:
        """Whether the edge accepts new connections."""
        return self.state is ReadinessState.READY

    def begin_drain(self) -> None:
        """Start draining: the readiness check fails from now on."""
        self.draining = True
