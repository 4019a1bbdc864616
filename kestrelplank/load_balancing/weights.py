"""The type of a list of candidate nodes."""

from collections.abc import Sequence

WeightedNodes = Sequence[tuple[int, float]]  # (node, weight); weights are not 0
