"""Draws the requests of a soak's clients: routes of every state, keys of every kind."""

from random import Random
from typing import NamedTuple

from kestrelplank.rehearsal.loopback import HOST_NAME
from kestrelplank.rehearsal.services import SERVICES, RehearsedService
from kestrelplank.rehearsal.soak_records import ClientAttempt, SoakRecords
from kestrelplank.rehearsal.soak_server import digest

KEYS = 1 << 16
DEADLINES_S = {"idempotent": 2.0, "non_idempotent": 2.5, "upload": 3.0}
EXTRA_ROUTE_SHARE, NEVER_ROUTE_SHARE = 0.25, 0.02
OLD_KEY_SHARE, UNKNOWN_KEY_SHARE, NO_KEY_SHARE = 0.1, 0.04, 0.04
FORGED_TENANT_SHARE = 0.1
SLOW_UPLOAD_SHARE = 0.3
UPLOAD_PARTS = 5
UPLOADS = next(service for service in SERVICES if service.route_type == "upload")


class DrawnRequest(NamedTuple):
    """A request: its record, and the parts in which it is written, with a pause (s) before each but the first."""

    attempt: ClientAttempt
    parts: list[bytes]
    pause_s: float


class RequestSource:
    """Draws requests from a seeded source of chance."""

    def __init__(self, random: Random, records: SoakRecords) -> None:
        self._random, self._records = random, records

    def draw(self, edge: str, may_be_slow: bool) -> DrawnRequest:
        """Return a new request for that edge; its record is kept."""
        service, path = self._route()
        body = self._random.randbytes(service.body_bytes)
        api_key = self._api_key()
        deadline_s = DEADLINES_S[service.route_type]
        attempt = ClientAttempt(
            attempt_id=f"{self._random.getrandbits(64):016x}",
            edge=edge,
            method=service.method,
            path=path,
            body_digest=digest(body),
            repeatable=not service.runs_at_most_once,
            api_key=api_key,
            deadline_s=deadline_s,
            sent_from=self._records.now(),
        )
        self._records.attempts[attempt.attempt_id] = attempt
        slow = may_be_slow and service is UPLOADS and self._random.random() < SLOW_UPLOAD_SHARE
        head = self._head(attempt, len(body))
        if not slow:
            return DrawnRequest(attempt, [head + body], 0.0)
        size = len(body) // UPLOAD_PARTS
        parts = [body[index : index + size] for index in range(0, len(body), size)]
        return DrawnRequest(attempt, [head, *parts], self._random.uniform(0.02, 0.25))

    def _route(self) -> tuple[RehearsedService, str]:
        """Return the kind of request, and its path."""
        draw, number = self._random.random(), self._random.randrange(1000)
        idempotent = SERVICES[0]
        if draw < NEVER_ROUTE_SHARE:
            prefixes = [
                route.prefix for c in self._records.configurations if c.planned.defect for route in c.planned.routes
            ]
            markers = [prefix for prefix in prefixes if "invalid" in prefix]
            return idempotent, f"{self._random.choice([*markers, '/never/'])}{number}"
        if draw < NEVER_ROUTE_SHARE + EXTRA_ROUTE_SHARE:
            versions = [call.planned for call in self._records.configurations if call.planned.defect is None]
            extra = {route.prefix for version in versions for route in version.routes if "extra" in route.prefix}
            return idempotent, f"{self._random.choice([*sorted(extra), '/open/'])}{number}?q={number}"
        service = self._random.choice([*SERVICES, idempotent])
        return service, f"{service.path_prefix}{number}"

    def _api_key(self) -> str | None:
        versions = self._records.valid_calls()
        newest = max(versions, key=lambda call: call.planned.version, default=None)
        if newest is None or newest.planned.tenants is None:
            return None
        draw = self._random.random()
        if draw < NO_KEY_SHARE:
            return None
        if draw < NO_KEY_SHARE + UNKNOWN_KEY_SHARE:
            return f"unknown-{self._random.getrandbits(64):016x}"
        if draw < NO_KEY_SHARE + UNKNOWN_KEY_SHARE + OLD_KEY_SHARE:
            newest = self._random.choice(versions)
        tenants = [tenant for tenant in newest.planned.tenants or () if tenant.api_keys]
        return self._random.choice(self._random.choice(tenants).api_keys)

    def _head(self, attempt: ClientAttempt, body_bytes: int) -> bytes:
        lines = [
            f"{attempt.method} {attempt.path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"X-Attempt-Id: {attempt.attempt_id}",
            f"X-Deadline-Remaining: {round(attempt.deadline_s * 1000)}",
            f"X-Shard-Key: {self._random.randrange(KEYS)}",
        ]
        if body_bytes or attempt.method != "GET":
            lines.append(f"Content-Length: {body_bytes}")
        if attempt.api_key is not None:
            lines.append(f"Authorization: Bearer {attempt.api_key}")
            if self._random.random() < FORGED_TENANT_SHARE:
                lines.append("X-Tenant-Name: forged")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"
