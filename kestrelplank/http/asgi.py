"""The types of the ASGI specification, version 3: https://asgi.readthedocs.io/en/latest/specs/main.html."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Scope = MutableMapping[str, Any]  # the type of a value depends on its key
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

Headers = list[tuple[bytes, bytes]]
