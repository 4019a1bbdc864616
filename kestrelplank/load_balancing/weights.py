"""The type of what one node is chosen from."""

from collections.abc import Sequence

WeightedNodes = Sequence[tuple[int, float]]  # node and its weight, which is never 0
