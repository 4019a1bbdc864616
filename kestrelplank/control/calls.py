"""Calls of the operator: one handler object for each resource."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.configuration.route_table import Configuration
from kestrelplank.control.effects import AnswerOrder
from kestrelplank.control.status import MemberStatus
from kestrelplank.forwarding.errors import (
    BodyTooLargeError,
    InvalidConfigurationError,
    NoMajorityError,
    RequestError,
    ResourceNotFoundError,
)

MOST_BODY = 8 << 20  # a configuration goes to the other members in one message
Result = tuple[int, bytes]


@dataclass(frozen=True, slots=True)
class Shown:
    """What a read found. `known`: `text` is the newest configuration that was acknowledged, None if there is none."""

    known: bool
    text: bytes | None


class Acknowledged(msgspec.Struct, frozen=True):
    """The body that acknowledges an order."""

    config_version: str
    in_force: bool


def refusal(error: type[RequestError], why: str) -> Result:
    """The answer for a call that failed."""
    return error.status, msgspec.json.encode({"error": error.reason, "why": why})


class Member(Protocol):
    """What a handler may ask of the program."""

    async def put(self, configuration: Configuration) -> AnswerOrder: ...

    async def show(self) -> Shown: ...

    def status(self) -> MemberStatus: ...


class Replace:
    """`POST /api/configuration/replace`: a whole configuration. One that is not above the one in force is acknowledged
    and changes nothing; `in_force` in the answer tells it from one that prevailed."""

    method, path = "POST", "/api/configuration/replace"

    async def answer(self, member: Member, body: bytes) -> Result:
        found = parse_configuration(body)
        configuration = found.value_or(None)
        if configuration is None:
            return refusal(InvalidConfigurationError, str(found.failure()))
        result = await member.put(configuration)
        if not result.acknowledged:
            return refusal(NoMajorityError, "not enough members can keep it")
        return 200, msgspec.json.encode(Acknowledged(f"{configuration.key.version:08x}", result.in_force))


class Show:
    """`GET /api/configuration/show`: the newest configuration, to the byte as it was sent."""

    method, path = "GET", "/api/configuration/show"

    async def answer(self, member: Member, body: bytes) -> Result:
        shown = await member.show()
        if not shown.known:
            return refusal(NoMajorityError, "no member that is in touch with a majority answered")
        if shown.text is None:
            return refusal(ResourceNotFoundError, "no configuration has come yet")
        return 200, shown.text


class Status:
    """`GET /api/status`: this member as it sees itself and the others."""

    method, path = "GET", "/api/status"

    async def answer(self, member: Member, body: bytes) -> Result:
        return 200, msgspec.json.encode(member.status())


HANDLERS = (Replace(), Show(), Status())


def application(member: Member) -> Callable[..., Awaitable[None]]:
    """The ASGI application round the handlers."""
    by_place = {(handler.method, handler.path): handler for handler in HANDLERS}

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        parts, size = [], 0
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return
            parts.append(message["body"])
            size += len(message["body"])
            if not message.get("more_body") or size > MOST_BODY:
                break
        handler = by_place.get((scope["method"], scope["path"]))
        if size > MOST_BODY:
            status, body = refusal(BodyTooLargeError, f"over {MOST_BODY} bytes")
        elif handler is None:
            status, body = refusal(ResourceNotFoundError, scope["path"])
        else:
            status, body = await handler.answer(member, b"".join(parts))
        headers = [(b"content-type", b"application/json"), (b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    return app
