"""Shared functions of the benchmarks: shortest processor time of a call, memory, and how a cost grows with a size."""

import gc
import math
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any


def min_processor_ms(call: Callable[[], Any], seconds: float = 0.5) -> float:
    """Shortest processor time of a call in ms, over as many calls as fit into `seconds` of processor time."""
    shortest, deadline = math.inf, time.process_time() + seconds
    while shortest == math.inf or time.process_time() < deadline:
        started = time.process_time()
        call()
        shortest = min(shortest, time.process_time() - started)
    return 1000 * shortest


def measure_memory(build: Callable[[], Any]) -> tuple[Any, float]:
    """What `build` returns, and the kilobytes of memory that it retains."""
    gc.collect()
    tracemalloc.start()
    value = build()
    gc.collect()
    kilobytes = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    return value, kilobytes


def fit_exponent(sizes: Sequence[float], costs: Sequence[float]) -> float:
    """Exponent of the best-fitting power law: the least-squares slope of the logarithms."""
    points = [(math.log(size), math.log(cost)) for size, cost in zip(sizes, costs) if cost > 0]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)


def markdown_table(first_heading: str, rows: Sequence[tuple[str, float, dict[str, float]]], digits: int = 3) -> str:
    """A Markdown table: a row for each (name, size, figures), and a last row with the exponent of each figure."""
    names = list(rows[0][2])
    lines = [f"| {first_heading} | " + " | ".join(names) + " |", "| --- |" + " --- |" * len(names)]
    for name, _, figures in rows:
        lines.append(f"| {name} | " + " | ".join(format_number(figures[name], digits) for name in names) + " |")
    exponents = [
        fit_exponent([size for _, size, _ in rows], [figures[name] for _, _, figures in rows]) for name in names
    ]
    lines.append("| exponent | " + " | ".join(f"{exponent:.2f}" for exponent in exponents) + " |")
    return "\n".join(lines)


def format_number(value: float, digits: int = 3) -> str:
    """The value with `digits` significant digits, and commas between thousands."""
    if value >= 10 ** (digits - 1):
        return f"{value:,.0f}"
    return f"{value:.{digits}g}"
