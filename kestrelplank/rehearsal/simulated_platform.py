"""The platform, simulated on loopback: it lists the servers."""

from collections.abc import Sequence

import msgspec

from kestrelplank.http.asgi import Receive, Scope, Send
from kestrelplank.rehearsal.asgi import send_answer
from kestrelplank.rehearsal.simulated_server import SLOTS, SimulatedServer

ZONE = "hall"


class SimulatedPlatform:
    """Answers every call with the list of servers, except those that are gone."""

    def __init__(self, servers: Sequence[SimulatedServer]) -> None:
        self._servers = servers

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:  # noqa: ARG002 - as ASGI calls it
        """Answer a call with the list."""
        await receive()
        instances = [self._entry(server) for server in self._servers if server.state != "gone"]
        await send_answer(send, 200, [], msgspec.json.encode({"instances": instances, "next_token": None}))

    @staticmethod
    def _entry(server: SimulatedServer) -> dict[str, str | int]:
        return {
            "server_id": server.name,
            "target_service": server.service,
            "address": "%s:%d" % server.address,
            "zone": ZONE,
            "slots": SLOTS,
            "state": server.state,
            "warmup_left_s": 0,
        }
