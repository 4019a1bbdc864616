"""Event counters, and a log that limits the rate of each kind of fault."""

import os
import select
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

import structlog

INFO_LEVEL = 20
LOG_WINDOW_NS = 10_000_000_000
MAX_LINES_PER_WINDOW = 5  # of one kind of fault; further ones are only counted
MAX_REASON_LENGTH = 200  # characters


class NonBlockingOutput:
    """Writes log lines to a file descriptor without blocking or raising.

    A line that can't be written at once is dropped; a line longer than PIPE_BUF, which a writable pipe always accepts,
    is truncated.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, text: str) -> None:
        """Write a line, or drop it."""
        with suppress(OSError):
            if select.select((), (self._fd,), (), 0)[1]:
                os.write(self._fd, text.encode()[: select.PIPE_BUF])

    def flush(self) -> None:
        """Do nothing: writes are not buffered."""


def logger(name: str) -> structlog.BoundLogger:
    """Return a logger of logfmt lines on standard error, with the assigner's name in every line."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.add_log_level,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(INFO_LEVEL),
        logger_factory=structlog.WriteLoggerFactory(NonBlockingOutput(2)),  # type: ignore[arg-type]  # write and flush suffice
    )
    bound: structlog.BoundLogger = structlog.get_logger(conductor=name)
    return bound


class LogWindow:
    """Start of the current window and the number of lines of one kind logged in it."""

    __slots__ = ("logged", "since")

    def __init__(self) -> None:
        self.since = self.logged = 0


class Counters:
    """Counters and the log; names of counters are fixed in the code and never taken from received data."""

    def __init__(self, log: structlog.BoundLogger, clock: Callable[[], int]) -> None:
        self._log, self._clock = log, clock
        self.counts: Counter[str] = Counter()
        self._windows: dict[str, LogWindow] = {}

    def add(self, name: str, number: int = 1) -> None:
        """Increase a counter."""
        self.counts[name] += number

    def record_fault(self, name: str, why: object, **fields: object) -> None:
        """Count a fault and log it, at most `MAX_LINES_PER_WINDOW` of its kind in a window of `LOG_WINDOW_NS`."""
        self.add(name)
        now, window = self._clock(), self._windows.setdefault(name, LogWindow())
        if now - window.since > LOG_WINDOW_NS:
            window.since, window.logged = now, 0
        window.logged += 1
        if window.logged <= MAX_LINES_PER_WINDOW:
            self._log.warning(name, why=str(why)[:MAX_REASON_LENGTH], so_far=self.counts[name], **fields)

    def defect(self, err: Exception) -> None:
        """Log an unexpected exception with the file and line that raised it."""
        frame = err.__traceback__
        while frame and frame.tb_next:
            frame = frame.tb_next
        where = f"{frame.tb_frame.f_code.co_filename}:{frame.tb_lineno}" if frame else "unknown"
        self.record_fault("defects", f"{type(err).__name__}: {err}", at=where)

    def info(self, event: str, **fields: object) -> None:
        """Log an event at level info."""
        self._log.info(event, **fields)

    def report(self) -> None:
        """Log all counters."""
        self._log.info("counters", **{name: self.counts[name] for name in sorted(self.counts)})
