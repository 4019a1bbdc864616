"""The errors that clients and operators are answered with, one class a kind: the closed table of our own answers.

Each class says which status and body it is answered with, whether the request may have run, and whether the answer may
carry `Retry-After`. 408 and 503 of `NotExecutedError` promise that the request has not run and never will; 502 and 504
of `OutcomeUnknownError` promise nothing. `ERRORS` lists every kind (`tests/forwarding/test_errors.py`).
"""

from typing import ClassVar


class RequestError(Exception):
    """Ends a request, or an operator's call, with an answer of our own.

    :param retry_after_ns: how long the client should wait before it sends again, for `Retry-After`; 0: no such header.
    """

    status: ClassVar[int]
    reason: ClassVar[str]  # the body of the answer, and the kind's name in counters and logs
    may_have_run: ClassVar[bool] = False
    allows_retry_after: ClassVar[bool] = False

    def __init__(self, retry_after_ns: int = 0) -> None:
        super().__init__(self.reason)
        self.retry_after_ns = retry_after_ns if self.allows_retry_after else 0


class UnacceptableRequestError(RequestError):
    """The request can't be served as it is; the same request would be refused again."""


class NotExecutedError(RequestError):
    """The request has not run and never will: its client may send it again."""

    allows_retry_after = True


class UnprovenRequestError(RequestError):
    """The request may have run, or may run yet: nothing is promised."""

    may_have_run = True


class OperatorCallError(RequestError):
    """An operator's call at a control member failed."""


# What clients send.


class RouteNotFoundError(UnacceptableRequestError):
    """No route of the configuration matches host and path."""

    status, reason = 404, "no route"


class BadRequestError(UnacceptableRequestError):
    """The request is ambiguous, lacks its shard key, or can't be put on the wire."""

    status, reason = 400, "bad request"


class BodyTooLargeError(UnacceptableRequestError):
    """The body is larger than the operator allows."""

    status, reason = 413, "too large"


class BodyTimeoutError(NotExecutedError):
    """The body did not come in the time that the client waits."""

    status, reason = 408, "too slow"


# What the gateway or its servers lack.


class NotReadyError(NotExecutedError):
    """No configuration has come yet."""

    status, reason = 503, "not ready"


class BodyMemoryError(NotExecutedError):
    """The bodies of requests in hand take all the memory that they may."""

    status, reason = 503, "no memory for the body"


class NoServerError(NotExecutedError):
    """No server of the service can be used, or none could be connected to."""

    status, reason = 503, "no server"


class NoKeyHolderError(NotExecutedError):
    """No server holds the request's shard key, as far as is known."""

    status, reason = 503, "nobody holds the key"


class ServersFullError(NotExecutedError):
    """The servers that may run the request have as many requests in hand as this edge may give them."""

    status, reason = 503, "full"


class DeadlineTooNearError(NotExecutedError):
    """Too little of the deadline is left for an attempt."""

    status, reason = 503, "too late to begin"


class ShuttingDownError(NotExecutedError):
    """The time that requests have to finish after SIGTERM is over."""

    status, reason = 503, "stopping"


class GatewayDefectError(NotExecutedError):
    """An exception of ours ended the request before any server saw it."""

    status, reason = 503, "a defect of the gateway"


# An attempt may have run.


class OutcomeUnknownError(UnprovenRequestError):
    """An attempt ended without an answer and without proof that it has not run."""

    status, reason = 502, "unknown outcome"


class AttemptTimeoutError(UnprovenRequestError):
    """No answer came until the deadline."""

    status, reason = 504, "timed out"


# Calls of the operator.


class InvalidConfigurationError(OperatorCallError):
    """The configuration is refused; nothing has changed."""

    status, reason = 400, "invalid"


class NoMajorityError(OperatorCallError):
    """Too few members can be reached; a change may be in force later, or never."""

    status, reason, may_have_run = 503, "no majority", True


class ResourceNotFoundError(OperatorCallError):
    """There is no such resource, or it has no content yet."""

    status, reason = 404, "no such resource"


ERRORS: tuple[type[RequestError], ...] = (
    RouteNotFoundError,
    BadRequestError,
    BodyTooLargeError,
    BodyTimeoutError,
    NotReadyError,
    BodyMemoryError,
    NoServerError,
    NoKeyHolderError,
    ServersFullError,
    DeadlineTooNearError,
    ShuttingDownError,
    GatewayDefectError,
    OutcomeUnknownError,
    AttemptTimeoutError,
    InvalidConfigurationError,
    NoMajorityError,
    ResourceNotFoundError,
)
