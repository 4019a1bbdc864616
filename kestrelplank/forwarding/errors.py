"""All that can go wrong with a request or a call, and what each answers: the one table of errors of the gateway.

408, 421, 429 and 503 promise that the request has not run and never will; 502 and 504 promise nothing.
"""

from enum import Enum
from typing import NamedTuple


class Fault(Enum):
    """The closed list. Each is answered as `ANSWERS` says."""

    NO_ROUTE = "no route"
    BAD_REQUEST = "bad request"
    TOO_LARGE = "too large"
    TOO_SLOW = "too slow"
    NOT_READY = "not ready"
    NO_MEMORY = "no memory for the body"
    NO_SERVER = "no server"
    NO_HOLDER = "nobody holds the key"
    FULL = "full"
    TOO_LATE = "too late to begin"
    STOPPING = "stopping"
    DEFECT = "a defect of the gateway"
    UNKNOWN_OUTCOME = "unknown outcome"
    TIMED_OUT = "timed out"
    INVALID = "invalid"
    NO_MAJORITY = "no majority"
    NO_RESOURCE = "no such resource"


class Reply(NamedTuple):
    """`promises`: the request has not run and never will; then it may say when to come back."""

    status: int
    promises: bool = False


ANSWERS = {
    Fault.NO_ROUTE: Reply(404),
    Fault.BAD_REQUEST: Reply(400),
    Fault.TOO_LARGE: Reply(413),
    Fault.TOO_SLOW: Reply(408, True),
    Fault.NOT_READY: Reply(503, True),
    Fault.NO_MEMORY: Reply(503, True),
    Fault.NO_SERVER: Reply(503, True),
    Fault.NO_HOLDER: Reply(503, True),
    Fault.FULL: Reply(503, True),
    Fault.TOO_LATE: Reply(503, True),
    Fault.STOPPING: Reply(503, True),
    Fault.DEFECT: Reply(503, True),
    Fault.UNKNOWN_OUTCOME: Reply(502),
    Fault.TIMED_OUT: Reply(504),
    Fault.INVALID: Reply(400),
    Fault.NO_MAJORITY: Reply(503),
    Fault.NO_RESOURCE: Reply(404),
}
