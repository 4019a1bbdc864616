"""Counts of what is taken in, sent and answered, and a log that one party's trouble can't flood."""

import os
import select
from collections import Counter
from collections.abc import Callable

import structlog

SPAN = 10_000_000_000  # of time over which lines of one kind are counted
MOST_LINES = 5  # of one kind in a span; the rest is only counted


class Output:
    """Standard error for a program that must neither wait for whoever reads its log nor end with it: a line
    that can't be written at once is lost."""

    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, text: str) -> None:
        try:
            if select.select((), (self._fd,), (), 0)[1]:
                os.write(self._fd, text.encode()[: select.PIPE_BUF])
        except OSError:
            pass

    def flush(self) -> None:
        """Nothing is held back."""


def logger(name: str) -> structlog.BoundLogger:
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.add_log_level,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=structlog.WriteLoggerFactory(Output(2)),
    )
    return structlog.get_logger(conductor=name)


class Counters:
    """Names are our own and few; nothing that came over the wire becomes one."""

    def __init__(self, log: structlog.BoundLogger, clock: Callable[[], int]) -> None:
        self._log, self._clock = log, clock
        self.counts: Counter[str] = Counter()
        self._lines: dict[str, list[int]] = {}  # name to the start of its span and the lines in it

    def add(self, name: str, number: int = 1) -> None:
        self.counts[name] += number

    def trouble(self, name: str, why: object, **fields: object) -> None:
        """Counts it, and says it unless much of the kind was said lately."""
        self.add(name)
        now, said = self._clock(), self._lines.setdefault(name, [0, 0])
        if now - said[0] > SPAN:
            said[:] = now, 0
        said[1] += 1
        if said[1] <= MOST_LINES:
            self._log.warning(name, why=str(why)[:200], so_far=self.counts[name], **fields)

    def defect(self, err: Exception) -> None:
        """An exception that nothing of ours should have raised: said with its place."""
        place = err.__traceback__
        while place and place.tb_next:
            place = place.tb_next
        where = f"{place.tb_frame.f_code.co_filename}:{place.tb_lineno}" if place else "unknown"
        self.trouble("defects", f"{type(err).__name__}: {err}", at=where)

    def info(self, event: str, **fields: object) -> None:
        self._log.info(event, **fields)

    def report(self) -> None:
        self._log.info("counters", **{name: self.counts[name] for name in sorted(self.counts)})
