"""A source of chance for each part of a simulation, so that one draws nothing from another's."""

from random import Random


def seeded_random(seed: int, *names: object) -> Random:
    """Return the chance of the part with that name, the same in every process: SHA-512 hashes the text."""
    return Random("/".join(map(str, (seed, *names))))
