"""The kit that tests of this package run on."""

from parties import kit  # noqa: F401  a fixture is found by its name
