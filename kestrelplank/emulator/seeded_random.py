"""A separate random generator for each component of a simulation, so that their draws are independent."""

from random import Random


def seeded_random(seed: int, *names: object) -> Random:
    """Return a component's generator; it draws the same in every process, as SHA-512 hashes the seed's text."""
    return Random("/".join(map(str, (seed, *names))))
