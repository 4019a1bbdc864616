"""The operators' HTTP API, with one handler object per resource."""

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

MAX_BODY_BYTES = 8 << 20  # a configuration is sent to other members in one message

Result = tuple[int, bytes]  # status and body
Scope = MutableMapping[str, object]
Message = MutableMapping[str, object]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class Acknowledged(msgspec.Struct, frozen=True):
    """The response body for an acknowledged order."""

    config_version: str
    in_force: bool


def rejected(error: type[RequestError], why: str) -> Result:
    """Return the response to a failed call."""
    return error.status, msgspec.json.encode({"error": error.reason, "why": why})


class OperatorCallTarget(Protocol):
    """The operations of the control program that handlers call; it passes them to its member."""

    async def replace_configuration(self, configuration: Configuration) -> AnswerOrder:
        """Submit a configuration and return the outcome."""
        ...

    async def show_configuration(self) -> AnswerRead:
        """Return the newest configuration, if the member can determine it."""
        ...

    def status(self) -> MemberStatus:
        """Return the member's view of itself and of the other members."""
        ...


class Handler(Protocol):
    """A resource of the API, which supports one HTTP method."""

    @property
    def method(self) -> str:
        """The HTTP method."""
        ...

    @property
    def path(self) -> str:
        """The complete path."""
        ...

    async def answer(self, member: OperatorCallTarget, body: bytes) -> Result:
        """Return status and body of the response to a call with that request body."""
        ...


class ReplaceConfiguration:
    """`POST /api/configuration/replace`: submit a complete configuration.

    A version that is not above the one in force is acknowledged without effect; `in_force` in the response says
    whether the submitted configuration is in force.
    """

    method, path = "POST", "/api/configuration/replace"

    async def answer(self, member: OperatorCallTarget, body: bytes) -> Result:
        """Put the configuration in force once a majority of voters has stored it."""
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
    """`GET /api/configuration/show`: the newest configuration, byte for byte as submitted."""

    method, path = "GET", "/api/configuration/show"

    async def answer(self, member: OperatorCallTarget, body: bytes) -> Result:  # noqa: ARG002 every handler takes a body
        """Return the configuration."""
        answer = await member.show_configuration()
        if not answer.known:
            return rejected(NoMajorityError, "no member that is in touch with a majority answered")
        if answer.text is None:
            return rejected(ResourceNotFoundError, "no configuration has been submitted yet")
        return HTTPStatus.OK, answer.text


class ShowStatus:
    """`GET /api/status`: this member's view of itself and of the other members."""

    method, path = "GET", "/api/status"

    async def answer(self, member: OperatorCallTarget, body: bytes) -> Result:  # noqa: ARG002 every handler takes a body
        """Return the status."""
        return HTTPStatus.OK, msgspec.json.encode(member.status())


HANDLERS: tuple[Handler, ...] = (ReplaceConfiguration(), ShowConfiguration(), ShowStatus())


def application(member: OperatorCallTarget) -> Application:
    """Return the ASGI application that dispatches to the handlers."""
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
    """Return a request's body, read until it exceeds `MAX_BODY_BYTES`; None if the client disconnects first."""
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
    """Return status and body of the response to a call.

    :param handler: for the resource at `path`; None if there is no such resource.
    """
    if len(body) > MAX_BODY_BYTES:
        return rejected(BodyTooLargeError, f"the body exceeds {MAX_BODY_BYTES} bytes")
    if handler is None:
        return rejected(ResourceNotFoundError, path)
    return await handler.answer(member, body)
