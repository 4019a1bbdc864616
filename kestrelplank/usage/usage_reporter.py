"""The reports of fixed windows to the platform by the holder of the role: what to send when. No I/O.

next_call ─> PlatformCall ─> handle_result ─┬─> accepted: the next window
                ▲                           ├─> rejected (409): the token is not used again
                └──────── backoff ──────────┴─> failed or throttled: the same content again
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from random import Random

from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.usage.policy import UsagePolicy
from kestrelplank.usage.windows import NO_WINDOW

MIN_BACKOFF_NS, MAX_BACKOFF_NS = 300 * MILLISECOND, 4 * SECOND
BACKOFF_JITTER = 0.5
RATE_SHARE = 0.5  # of the calls that the platform accepts from all members together
UNREACHABLE_TIMEOUT_NS = 5 * SECOND  # without any answer of the platform, until the role is released


@dataclass(frozen=True, slots=True)
class PlatformCall:
    """One report to send.

    :param content: as fixed in the log; every call for the window has the same bytes.
    :param token: the fencing token; the call must not be sent once it is not valid any more.
    """

    window: int
    content: bytes
    token: int


class CallResult(Enum):
    """How a call ended."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"  # the platform has seen a higher fencing token
    THROTTLED = "throttled"  # more calls than the platform accepts
    FAILED = "failed"  # any other answer
    UNANSWERED = "unanswered"  # no complete answer, so that the platform may have accepted it
    NOT_SENT = "not sent"  # the token was not valid any more


def call_result(status: int) -> CallResult:
    """Return the result that the status of the platform's answer means."""
    match status:
        case HTTPStatus.OK:
            return CallResult.ACCEPTED
        case HTTPStatus.CONFLICT:
            return CallResult.REJECTED
        case HTTPStatus.TOO_MANY_REQUESTS:
            return CallResult.THROTTLED
        case _:
            return CallResult.FAILED


class UsageReporter:
    """Sends each fixed window until the platform has accepted it, one call at a time, the oldest window first.

    Invariants, each with its test in `tests/usage/test_usage_reporter.py`:

    - There is one call at a time (`test_there_is_one_call_at_a_time_and_the_oldest_window_goes_first`).
    - A call that failed is repeated with the same content after a growing delay
      (`test_a_failed_call_is_repeated_with_the_same_content_after_a_growing_delay`).
    - A rejected token is never used again (`test_a_rejected_token_is_never_used_again`).
    - Calls stay below the platform's rate (`test_a_backlog_is_sent_below_the_rate_of_the_platform`).
    - The role is released only if the platform is silent while something is due
      (`test_the_role_is_released_if_the_platform_does_not_answer`).
    """

    def __init__(self, random: Random, policy: UsagePolicy) -> None:
        self._random = random
        self._min_interval_ns = int(SECOND / (RATE_SHARE * policy.calls_per_s))
        self._accepted: list[int] = []  # windows accepted by the platform and not yet marked so in the log, ascending
        self._call: PlatformCall | None = None  # in flight
        self._next_call_at = 0
        self._failures = 0  # since the last accepted call
        self._rejected_token = -1
        self._unanswered_since: int | None = None

    def next_call(self, now: int, token: int, unreported: Mapping[int, bytes]) -> PlatformCall | None:
        """Return the call to send now, if any.

        :param unreported: contents of the fixed windows that the log does not mark as reported.
        """
        self._accepted = [window for window in self._accepted if window in unreported]
        if self._call is not None or now < self._next_call_at or token <= self._rejected_token:
            return None
        window = min((number for number in unreported if number not in self._accepted), default=None)
        if window is None:
            return None
        self._call = PlatformCall(window, unreported[window], token)
        self._next_call_at = now + self._min_interval_ns
        return self._call

    def handle_result(self, now: int, call: PlatformCall, result: CallResult) -> None:
        """Record how the call in flight ended."""
        self._call = None
        match result:
            case CallResult.ACCEPTED:
                self._accepted.append(call.window)
                self._failures = 0
            case CallResult.REJECTED:
                self._rejected_token = max(self._rejected_token, call.token)
            case CallResult.NOT_SENT:
                pass
            case CallResult.FAILED | CallResult.THROTTLED | CallResult.UNANSWERED:
                self._back_off(now)
        if result is CallResult.UNANSWERED:
            self._unanswered_since = now if self._unanswered_since is None else self._unanswered_since
        else:
            self._unanswered_since = None

    def _back_off(self, now: int) -> None:
        self._failures += 1
        delay_ns = min(MAX_BACKOFF_NS, MIN_BACKOFF_NS << min(self._failures - 1, 8))
        jittered_ns = int(delay_ns * (1 + BACKOFF_JITTER * self._random.random()))
        self._next_call_at = max(self._next_call_at, now + jittered_ns)

    def should_release(self, now: int) -> bool:
        """Whether another member should try, as the platform has not answered this one for a while."""
        since = self._unanswered_since
        return since is not None and now - since >= UNREACHABLE_TIMEOUT_NS

    def handle_released(self) -> None:
        """Record that the role was released: the platform's silence counts anew with the next assignment."""
        self._unanswered_since = None

    def reported_through(self, unreported: Mapping[int, bytes]) -> int:
        """Return the last window up to which all unreported windows were accepted; `NO_WINDOW` if there is none."""
        through = NO_WINDOW
        for window in sorted(unreported):
            if window not in self._accepted:
                break
            through = window
        return through
