"""A server of a service, simulated on loopback: it owns the keys granted to it, and counts the requests it runs."""

import asyncio
import random
import time
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec

from kestrelplank.http.asgi import Headers, Receive, Scope, Send
from kestrelplank.http.server import Server, create_server
from kestrelplank.http.socket_options import listening_socket
from kestrelplank.rehearsal.asgi import receive_body, send_answer
from kestrelplank.rehearsal.observations import Observations

WORK_RANGE_S = (0.01, 0.03)  # of a request
SLOTS = 4
IDLE_TIMEOUT_S, GRACE_S = 10, 1
NOT_EXECUTED = (b"x-not-executed", b"1")
GRANT_PATH, RELEASE_PATH = "/api/grant", "/api/release"


class KeyGrant(NamedTuple):
    """A range of keys that the server owns until `until` (s, monotonic clock)."""

    first_key: int
    last_key: int
    fencing_token: int
    until: float


class GrantCall(
    msgspec.Struct,
    frozen=True,
    rename={"first_key": "source", "last_key": "target_version", "fencing_token": "fence"},
):
    """A call of a control member that grants or releases a range of keys."""

    first_key: int
    last_key: int
    fencing_token: int
    hold_s: float = 0.0


class SimulatedServer:
    """One server of a service.

    :param peers: all servers of the rehearsal, to detect keys that two of them own.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        observations: Observations,
        peers: Sequence["SimulatedServer"],
    ) -> None:
        self.name, self.service, self.address = name, service, address
        self.observations, self.peers = observations, peers
        self.grants: list[KeyGrant] = []
        self.state = "ready"  # as the platform lists it
        self.requests_running = 0
        self._http_server: Server | None = None

    @property
    def is_running(self) -> bool:
        """Whether the server is serving."""
        return self._http_server is not None

    async def start(self) -> None:
        """Start serving on the server's address."""
        self._http_server = create_server(self.app, IDLE_TIMEOUT_S, GRACE_S)
        self._serving = asyncio.create_task(self._http_server.serve([listening_socket(*self.address)]))

    async def stop(self) -> None:
        """Stop serving; running requests are answered."""
        if self._http_server is not None:
            self._http_server.should_exit, self._http_server = True, None
            await self._serving

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a call of a control member, or a request."""
        body = await receive_body(receive)
        if body is None:
            return
        if scope["path"] in (GRANT_PATH, RELEASE_PATH):
            await self.answer_key_call(scope["path"], body, send)
        else:
            await send_answer(send, *await self.request(dict(scope["headers"]), body))

    async def answer_key_call(self, path: str, body: bytes, send: Send) -> int:
        """Answer a call that grants or releases keys, made at `GRANT_PATH` or `RELEASE_PATH`; return the status."""
        call = msgspec.json.decode(body, type=GrantCall)
        is_grant = path == GRANT_PATH
        status = self.grant(call) if is_grant else self.release(call)
        await send_answer(send, status, [] if is_grant else [(b"x-handover", b"h")], b"")
        return status

    # Keys.

    def holds_key(self, key: int, now: float) -> bool:
        """Whether the key is granted to this server at that time (s)."""
        return any(grant.first_key <= key <= grant.last_key and grant.until > now for grant in self.grants)

    def keys_held(self, now: float) -> int:
        """Return how many keys are granted to this server at that time (s)."""
        return sum(grant.last_key - grant.first_key + 1 for grant in self.grants if grant.until > now)

    def grant(self, call: GrantCall) -> int:
        """Accept a grant; return the HTTP status, 409 if a newer grant for some of the keys is known."""
        overlapping = (
            grant for grant in self.grants if grant.first_key <= call.last_key and call.first_key <= grant.last_key
        )
        if any(grant.fencing_token > call.fencing_token for grant in overlapping):
            return 409
        self._set_grant(call, time.monotonic() + call.hold_s)
        return 200

    def release(self, call: GrantCall) -> int:
        """Release keys, but keep the grant's fencing token; return the HTTP status."""
        self._set_grant(call, 0.0)
        return 200

    def _set_grant(self, call: GrantCall, until: float) -> None:
        unchanged = []  # grants, or what is left of them, outside the call's range
        for first, last, fencing_token, granted_until in self.grants:
            below, above = (first, min(last, call.first_key - 1)), (max(first, call.last_key + 1), last)
            unchanged += [KeyGrant(a, b, fencing_token, granted_until) for a, b in (below, above) if a <= b]
        self.grants = [*unchanged, KeyGrant(call.first_key, call.last_key, call.fencing_token, until)]

    # Requests.

    async def request(self, fields: Mapping[bytes, bytes], body: bytes) -> tuple[int, Headers, bytes]:
        """Run a request, or reject it; return status, headers and body of the answer.

        :param fields: the request's headers by lower-case name.
        """
        rejection = self._rejection(fields)
        if rejection is not None:
            return rejection
        attempt_id = fields.get(b"x-attempt-id", b"")
        self._observe(attempt_id, fields.get(b"x-shard-key"))
        self._observe_tenant(attempt_id, fields)
        self.requests_running += 1
        await asyncio.sleep(random.uniform(*WORK_RANGE_S))
        self.requests_running -= 1
        headers = [
            (b"x-attempt-id", attempt_id),
            (b"x-server-seal", self.name.encode()),
            (b"x-server-load", b"%d,0,%d" % (self.requests_running + 1, SLOTS)),
        ]
        return 200, headers, b"%d" % len(body)

    def _rejection(self, fields: Mapping[bytes, bytes]) -> tuple[int, Headers, bytes] | None:
        target, key = fields.get(b"x-target-instance"), fields.get(b"x-shard-key")
        if target is not None and target.decode() != self.name:
            return 421, [(b"x-instance-id", self.name.encode()), NOT_EXECUTED], b""
        if self.service == "views" and (key is None or not self.holds_key(int(key), time.monotonic())):
            return 421, [NOT_EXECUTED], b""
        return None

    def _observe(self, attempt_id: bytes, key: bytes | None) -> None:
        now = time.monotonic()
        if key is not None and sum(peer.holds_key(int(key), now) for peer in self.peers if peer.is_running) > 1:
            self.observations.keys_with_two_owners += 1
        self.observations.runs[attempt_id.decode()] += 1

    def _observe_tenant(self, attempt_id: bytes, fields: Mapping[bytes, bytes]) -> None:
        tenant = self.observations.tenants.get(attempt_id.decode())
        expected = None if tenant is None else tenant.encode()
        if fields.get(b"x-tenant-name") != expected or b"authorization" in fields:
            self.observations.wrong_tenant += 1
