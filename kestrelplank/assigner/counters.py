"""Counts of what is received, sent and answered, and a log with a bounded rate for each kind of fault."""

import os
import select
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

import structlog

INFO_LEVEL = 20
LOG_WINDOW_NS = 10_000_000_000
MOST_LOGGED = 5  # of one kind in a window; the rest is only counted
MOST_REASON = 200  # characters


class NonBlockingOutput:
    """A file descriptor for a program that must neither wait for whoever reads its log nor end with it.

    A line that can't be written at once is lost.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, text: str) -> None:
        """Write a line, or lose it."""
        with suppress(OSError):
            if select.select((), (self._fd,), (), 0)[1]:
                os.write(self._fd, text.encode()[: select.PIPE_BUF])

    def flush(self) -> None:
        """Do nothing: nothing is held back."""


def logger(name: str) -> structlog.BoundLogger:
    """Return a logger of logfmt lines on standard error, bound to the assigner's name."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.add_log_level,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(INFO_LEVEL),
        logger_factory=structlog.WriteLoggerFactory(NonBlockingOutput(2)),  # type: ignore[arg-type]  # a file to it
    )
    bound: structlog.BoundLogger = structlog.get_logger(conductor=name)
    return bound


class LogWindow:
    """How many lines of one kind were logged since the window began."""

    __slots__ = ("logged", "since")

    def __init__(self) -> None:
        self.since = self.logged = 0


class Counters:
    """Counters and the log. Names are our own and few; nothing that came over the wire becomes one."""

    def __init__(self, log: structlog.BoundLogger, clock: Callable[[], int]) -> None:
        self._log, self._clock = log, clock
        self.counts: Counter[str] = Counter()
        self._windows: dict[str, LogWindow] = {}

    def add(self, name: str, number: int = 1) -> None:
        """Count something."""
        self.counts[name] += number

    def record_fault(self, name: str, why: object, **fields: object) -> None:
        """Count a fault, and log it, at most `MOST_LOGGED` of its kind in a window."""
        self.add(name)
        now, window = self._clock(), self._windows.setdefault(name, LogWindow())
        if now - window.since > LOG_WINDOW_NS:
            window.since, window.logged = now, 0
        window.logged += 1
        if window.logged <= MOST_LOGGED:
            self._log.warning(name, why=str(why)[:MOST_REASON], so_far=self.counts[name], **fields)

    def defect(self, err: Exception) -> None:
        """Log an exception that nothing of ours should have raised, with where it was raised."""
        frame = err.__traceback__
        while frame and frame.tb_next:
            frame = frame.tb_next
        where = f"{frame.tb_frame.f_code.co_filename}:{frame.tb_lineno}" if frame else "unknown"
        self.record_fault("defects", f"{type(err).__name__}: {err}", at=where)

    def info(self, event: str, **fields: object) -> None:
        """Log something ordinary."""
        self._log.info(event, **fields)

    def report(self) -> None:
        """Log all counts."""
        self._log.info("counters", **{name: self.counts[name] for name in sorted(self.counts)})
