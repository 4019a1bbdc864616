"""The errors of a call without a complete answer, by what was sent and received.

`forwarding.retry_policy` decides from them whether the request may have run.
"""

from typing import ClassVar


class NoAnswerError(OSError):
    """A call ended without a complete answer."""

    reason: ClassVar[str] = "no answer"

    def __init__(self, cause: str = "") -> None:
        super().__init__(f"{self.reason}: {cause}" if cause else self.reason)


class RequestUnsendableError(NoAnswerError):
    """The request can't be serialized; no byte of it was sent."""

    reason = "unsendable"


class RequestNotSentError(NoAnswerError):
    """The connection had ended before any byte of the request was sent."""

    reason = "not sent"


class ConnectionResetWithoutAnswerError(NoAnswerError):
    """The connection was reset after the first byte was sent and before any byte of an answer was received."""

    reason = "reset"


class ConnectionClosedWithoutAnswerError(NoAnswerError):
    """The peer closed the connection after the first byte was sent and before any byte of an answer was received."""

    reason = "closed"


class AnswerTruncatedError(NoAnswerError):
    """The connection ended before the answer was complete."""

    reason = "truncated"


class AnswerMalformedError(NoAnswerError):
    """The bytes received are not a valid answer, or the answer is too large."""

    reason = "malformed"
