"""A server of a soak: it records each request as it came.

Some it sheds, fails, answers late, twice, with a wrong status or not at all.
"""

import asyncio
import hashlib
from collections.abc import Sequence
from http import HTTPStatus
from random import Random
from weakref import WeakKeyDictionary

from kestrelplank.http.asgi import Headers, Receive, Scope, Send
from kestrelplank.http.client_protocol import ClientProtocol
from kestrelplank.rehearsal.asgi import receive_body, send_answer
from kestrelplank.rehearsal.observations import Observations
from kestrelplank.rehearsal.simulated_server import (
    GRANT_PATH,
    NOT_EXECUTED,
    RELEASE_PATH,
    SLOTS,
    GrantCall,
    SimulatedServer,
)
from kestrelplank.rehearsal.soak_records import KeyConflict, ServerCall, SoakRecords
from kestrelplank.rehearsal.soak_terms import BOUNDS, REJECTIONS

HEALTH_PATH = "/health"
WORK_S, LONG_WORK_S = (0.005, 0.06), (0.3, 1.4)
LONG_SHARE, SHED_SHARE, FAILURE_SHARE = 0.15, 0.02, 0.01
LOST_ANSWER_SHARE, SURPLUS_ANSWER_SHARE = 0.01, 0.01
UNPROVEN_REFUSAL_SHARE = 0.02  # of requests that run: their answer has the status of a refusal
REFUSAL_COPY_SHARE = 0.5  # of refusals: a copy follows, in the place of the connection's next answer
REFUSAL_COPY = b"HTTP/1.1 %d X\r\nx-attempt-id: %b\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
SURPLUS_ANSWER = b"HTTP/1.1 200 OK\r\nx-attempt-id: 0\r\nx-server-seal: 0\r\ncontent-length: 7\r\n\r\nsurplus"


def digest(body: bytes) -> str:
    """Return the short digest under which a body is recorded."""
    return hashlib.blake2s(body, digest_size=8).hexdigest()


class SoakServer(SimulatedServer):
    """One life of a server.

    :param peers: all servers that are up, to detect keys that two of them own.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        records: SoakRecords,
        peers: Sequence["SoakServer"],
        random: Random,
    ) -> None:
        super().__init__(name, service, address, Observations(), peers)
        self._records, self._soak_peers, self._random = records, peers, random
        self._late_grants: list[GrantCall] = []  # that arrived right after their sender may have been thawed
        self._refusal_copies: WeakKeyDictionary[ClientProtocol, bytes] = WeakKeyDictionary()

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a call of a control member, a health check, or a request."""
        body = await receive_body(receive)
        if body is None:
            return
        if scope["path"] in (GRANT_PATH, RELEASE_PATH):
            await self._answer_key_call(scope, body, send)
        elif scope["path"] == HEALTH_PATH:
            status = HTTPStatus.OK if self.state == "ready" else HTTPStatus.SERVICE_UNAVAILABLE
            await send_answer(send, status, [(b"x-instance-id", self.name.encode())], b"")
        else:
            await self._answer_request(scope, body, receive, send)

    # Keys.

    async def _answer_key_call(self, scope: Scope, body: bytes, send: Send) -> None:
        """Answer a grant or release; a copy of the refusal of a grant may follow."""
        connection = scope["connection"]
        self._send_refusal_copy(connection)
        status = await self.answer_key_call(scope["path"], body, send)
        if status != HTTPStatus.OK:
            self._plan_refusal_copy(connection, status, b"")

    def grant(self, call: GrantCall) -> int:
        """Accept a grant, and remember one that may have been sent by a member that was frozen."""
        now = self._records.now()
        thaws = [d.end for d in self._records.disturbances if d.kind == "SIGSTOP"]
        if any(0 <= now - thaw <= BOUNDS.thaw_slack_s for thaw in thaws):
            self._late_grants.append(call)
        return super().grant(call)

    def holds_late(self, key: int) -> bool:
        """Whether the key came by a grant that does not count."""
        return any(call.first_key <= key <= call.last_key for call in self._late_grants)

    def _record_conflict(self, key: int, now: float) -> None:
        """Record it if another server that is up holds the key too."""
        holders = [peer for peer in self._soak_peers if peer.is_running and peer.holds_key(key, now)]
        if len(holders) > 1 and not any(peer.holds_late(key) for peer in holders):
            names = tuple(peer.name for peer in holders)
            self._records.conflicts.append(KeyConflict(self._records.now(), key, self.name, names))

    # Requests.

    async def _answer_request(self, scope: Scope, body: bytes, receive: Receive, send: Send) -> None:
        headers: Headers = scope["headers"]
        call = self._record(scope, headers, body)
        fields = dict(headers)
        self._send_refusal_copy(scope["connection"])
        rejection = self._rejection(fields) or self._shed()
        if rejection is not None:
            await self._refuse(call, rejection, scope["connection"], send)
            return
        call.executed = True
        if b"x-shard-key" in fields and self.service == "views":
            self._record_conflict(int(fields[b"x-shard-key"]), asyncio.get_running_loop().time())
        status, answer_headers = await self._work(call)
        call.ended_at = self._records.now()
        draw, transport = self._random.random(), scope["connection"].transport
        if draw < LOST_ANSWER_SHARE:
            transport.abort()
            await receive()  # the disconnect
            return
        await send_answer(send, status, answer_headers, call.answer_body)
        if draw > 1 - SURPLUS_ANSWER_SHARE and not transport.is_closing():
            transport.write(SURPLUS_ANSWER)

    async def _refuse(
        self, call: ServerCall, rejection: tuple[int, Headers, bytes], connection: ClientProtocol, send: Send
    ) -> None:
        """Refuse a request; a copy of the refusal may follow, with its id."""
        status, answer_headers, answer_body = rejection
        call.status, call.ended_at = status, self._records.now()
        attempt_id = call.attempt_id.encode("latin-1")
        await send_answer(send, status, [(b"x-attempt-id", attempt_id), *answer_headers], answer_body)
        self._plan_refusal_copy(connection, status, attempt_id)

    def _plan_refusal_copy(self, connection: ClientProtocol, status: int, attempt_id: bytes) -> None:
        """Decide whether a copy of a refusal is sent on this connection later."""
        if self._random.random() < REFUSAL_COPY_SHARE:
            self._refusal_copies[connection] = REFUSAL_COPY % (status, attempt_id)

    def _send_refusal_copy(self, connection: ClientProtocol) -> None:
        """Send the copy of an earlier refusal on this connection, if one is due, before the present answer."""
        copy = self._refusal_copies.pop(connection, None)
        if copy is not None and not connection.transport.is_closing():
            connection.transport.write(copy)
            self._records.refusal_copies += 1

    def _record(self, scope: Scope, headers: Headers, body: bytes) -> ServerCall:
        fields, query = dict(headers), scope["query_string"].decode("latin-1")
        call = ServerCall(
            attempt_id=fields.get(b"x-attempt-id", b"").decode("latin-1"),
            server=self.name,
            service=self.service,
            at=self._records.now(),
            method=scope["method"],
            path=scope["raw_path"].decode("latin-1") + ("?" + query if query else ""),
            body_digest=digest(body),
            tenants=tuple(value.decode("latin-1") for name, value in headers if name == b"x-tenant-name"),
            key_passed_on=any(name == b"authorization" for name, _ in headers),
            executed=False,
        )
        remaining_ms = fields.get(b"x-deadline-remaining", b"")
        if remaining_ms.isdigit():
            call.deadline_at = call.at + int(remaining_ms) / 1000
        self._records.calls.setdefault(call.attempt_id, []).append(call)
        return call

    def _shed(self) -> tuple[int, Headers, bytes] | None:
        if self._random.random() >= SHED_SHARE:
            return None
        return HTTPStatus.SERVICE_UNAVAILABLE, [NOT_EXECUTED], b""

    async def _work(self, call: ServerCall) -> tuple[int, Headers]:
        """Work on a request, then return status and headers of the answer; its body is recorded first."""
        is_long, fails = self._random.random() < LONG_SHARE, self._random.random() < FAILURE_SHARE
        call.status = HTTPStatus.INTERNAL_SERVER_ERROR if fails else HTTPStatus.OK
        if self._random.random() < UNPROVEN_REFUSAL_SHARE:
            call.status = self._random.choice(REJECTIONS)
        call.answer_body = f"{call.attempt_id} {self.name} {call.body_digest} {self._random.random()}".encode()
        work_s, left_s = self._random.uniform(*(LONG_WORK_S if is_long else WORK_S)), call.deadline_at - call.at
        if work_s > left_s:
            call.status = HTTPStatus.GATEWAY_TIMEOUT
        self.requests_running += 1
        try:
            await asyncio.sleep(min(work_s, left_s))
        finally:
            self.requests_running -= 1
        return call.status, [
            (b"x-attempt-id", call.attempt_id.encode("latin-1")),
            (b"x-server-seal", digest(call.answer_body).encode()),
            (b"x-server-load", b"%d,0,%d" % (self.requests_running + 1, SLOTS)),
        ]
