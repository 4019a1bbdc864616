"""What the benchmarks by hand share: the least processor time of a call, memory, and how a cost grows with a size."""

import gc
import math
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any


def spent(call: Callable[[], Any], seconds: float = 0.5) -> float:
    """Milliseconds of processor that one call takes, the least of as many as fit into so many seconds."""
    least, until = math.inf, time.process_time() + seconds
    while least == math.inf or time.process_time() < until:
        began = time.process_time()
        call()
        least = min(least, time.process_time() - began)
    return 1000 * least


def held(make: Callable[[], Any]) -> tuple[Any, float]:
    """What `make` returns, and the kilobytes that it keeps."""
    gc.collect()
    tracemalloc.start()
    found = make()
    gc.collect()
    kilobytes = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    return found, kilobytes


def power(sizes: Sequence[float], costs: Sequence[float]) -> float:
    """The exponent of the power law that fits best: the slope of a line through the logarithms, by least squares."""
    points = [(math.log(size), math.log(cost)) for size, cost in zip(sizes, costs) if cost > 0]
    middle = sum(x for x, _ in points) / len(points)
    level = sum(y for _, y in points) / len(points)
    return sum((x - middle) * (y - level) for x, y in points) / sum((x - middle) ** 2 for x, _ in points)


def table(first: str, rows: Sequence[tuple[str, float, dict[str, float]]], places: int = 3) -> str:
    """A Markdown table: a row for each (name, size, figures), and the exponent of each figure below."""
    names = list(rows[0][2])
    lines = [f"| {first} | " + " | ".join(names) + " |", "| --- |" + " --- |" * len(names)]
    for name, _, figures in rows:
        lines.append(f"| {name} | " + " | ".join(number(figures[one], places) for one in names) + " |")
    powers = [power([size for _, size, _ in rows], [figures[one] for _, _, figures in rows]) for one in names]
    lines.append("| power | " + " | ".join(f"{one:.2f}" for one in powers) + " |")
    return "\n".join(lines)


def number(value: float, places: int = 3) -> str:
    """With so many digits that count, thousands apart."""
    if value >= 10 ** (places - 1):
        return f"{value:,.0f}"
    return f"{value:.{places}g}"
