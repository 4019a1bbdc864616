"""The operators' HTTP API: one handler object for each resource."""

from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Protocol

import msgspec

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.configuration.route_table import Configuration
from kestrelplank.control.effects import AnswerOrder, AnswerRead
from kestrelplank.control.status import MemberStatus
from kestrelplank.forwarding.errors import (
    BodyTooLargeError,
    InvalidConfigurationError,
    NoMajorityError,
    RequestError,
    ResourceNotFoundError,
)

MAX_BODY_BYTES = 8 << 20  # a configuration goes to the other members in one message

Result = tuple[int, bytes]  # status and body
Scope = MutableMapping[str, object]
Message = MutableMapping[str, object]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class Acknowledged(msgspec.Struct, frozen=True):
    """The body that acknowledges an order."""

    config_version: str
    in_force: bool


def rejected(error: type[RequestError], why: str) -> Result:
    """Return the answer to a call that failed."""
    return error.status, msgspec.json.encode({"error": error.reason, "why": why})


class OperatorCallTarget(Protocol):
    """What a handler may ask of the control program, which hands it on to its member."""

    async def replace_configuration(self, configuration: Configuration) -> AnswerOrder:
        """Return what became of an order."""
        ...

    async def show_configuration(self) -> AnswerRead:
        """Return the newest configuration, if the member can know it."""
        ...

    def status(self) -> MemberStatus:
        """Return the member as it sees itself and the others."""
        ...


class Handler(Protocol):
    """A resource of the API, which is called by one method."""

    @property
    def method(self) -> str:
        """The HTTP method."""
        ...

    @property
    def path(self) -> str:
        """The path, all of it."""
        ...

    async def answer(self, member: OperatorCallTarget, body: bytes) -> Result:
        """Return status and body of the answer to a call with that body."""
        ...


class ReplaceConfiguration:
    """`POST /api/configuration/replace`: a complete configuration.

    One that is not above the one in force is acknowledged and changes nothing; `in_force` in the answer tells it from
    one that prevailed.
    """

    method, path = "POST", "/api/configuration/replace"

    async def answer(self, member: OperatorCallTarget, body: bytes) -> Result:
        """Put the configuration in force, once enough members have it."""
        parsed = parse_configuration(body)
        configuration = parsed.value_or(None)
        if configuration is None:
            return rejected(InvalidConfigurationError, str(parsed.failure()))
        answer = await member.replace_configuration(configuration)
        if not answer.acknowledged:
            return rejected(NoMajorityError, "not enough members can keep it")
        version = f"{configuration.key.version:08x}"
        return HTTPStatus.OK, msgspec.json.encode(Acknowledged(version, answer.in_force))


class ShowConfiguration:
    """`GET /api/configuration/show`: the newest configuration, to the byte as it was sent."""

    method, path = "GET", "/api/configuration/show"

    async def answer(self, member: OperatorCallTarget, body: bytes) -> Result:  # noqa: ARG002 every handler takes a body
        """Return the configuration."""
        answer = await member.show_configuration()
        if not answer.known:
            return rejected(NoMajorityError, "no member that is in touch with a majority answered")
        if answer.text is None:
            return rejected(ResourceNotFoundError, "no configuration has come yet")
        return HTTPStatus.OK, answer.text


class ShowStatus:
    """`GET /api/status`: this member as it sees itself and the others."""

    method, path = "GET", "/api/status"

    async def answer(self, member: OperatorCallTarget, body: bytes) -> Result:  # noqa: ARG002 every handler takes a body
        """Return the status."""
        return HTTPStatus.OK, msgspec.json.encode(member.status())


HANDLERS: tuple[Handler, ...] = (ReplaceConfiguration(), ShowConfiguration(), ShowStatus())


def application(member: OperatorCallTarget) -> Application:
    """Return the ASGI application round the handlers."""
    handlers = {(handler.method, handler.path): handler for handler in HANDLERS}

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        body = await read_body(receive)
        if body is None:
            return
        method, path = str(scope["method"]), str(scope["path"])
        status, answer = await answer_call(handlers.get((method, path)), path, member, body)
        headers = [(b"content-type", b"application/json"), (b"content-length", str(len(answer)).encode())]
        await send({"type": "http.response.start", "status": int(status), "headers": headers})
        await send({"type": "http.response.body", "body": answer})

    return app


async def read_body(receive: Receive) -> bytes | None:
    """Return a request's body, cut off once it is over `MAX_BODY_BYTES`; None where the client went before its end."""
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        chunk = message["body"]
        assert isinstance(chunk, bytes)
        chunks.append(chunk)
        size += len(chunk)
        if not message.get("more_body") or size > MAX_BODY_BYTES:
            return b"".join(chunks)


async def answer_call(handler: Handler | None, path: str, member: OperatorCallTarget, body: bytes) -> Result:
    """Return status and body of the answer to a call.

    :param handler: of the resource at `path`; None where there is none.
    """
    if len(body) > MAX_BODY_BYTES:
        return rejected(BodyTooLargeError, f"over {MAX_BODY_BYTES} bytes")
    if handler is None:
        return rejected(ResourceNotFoundError, path)
    return await handler.answer(member, body)
