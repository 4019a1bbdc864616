"""How a call can end without an answer, by what was seen on the wire. Whether it has run, `retry_policy` decides."""

from typing import ClassVar


class NoAnswerError(OSError):
    """A call has ended without a complete answer."""

    reason: ClassVar[str] = "no answer"

    def __init__(self, cause: str = "") -> None:
        super().__init__(f"{self.reason}: {cause}" if cause else self.reason)


class RequestUnsendableError(NoAnswerError):
    """The request can't be put on the wire: no byte of it was sent."""

    reason = "unsendable"


class RequestNotSentError(NoAnswerError):
    """The connection had ended: no byte of the request was sent."""

    reason = "not sent"


class ConnectionResetWithoutAnswerError(NoAnswerError):
    """The connection was reset after the first byte sent and before the first byte of an answer."""

    reason = "reset"


class ConnectionClosedWithoutAnswerError(NoAnswerError):
    """The other side closed the connection after the first byte sent and before the first byte of an answer."""

    reason = "closed"


class AnswerTruncatedError(NoAnswerError):
    """The connection ended within the answer."""

    reason = "truncated"


class AnswerMalformedError(NoAnswerError):
    """Bytes came that are no answer, or an answer that is too large."""

    reason = "malformed"
