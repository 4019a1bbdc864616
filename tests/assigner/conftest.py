"""Makes the `kit` fixture available to the tests of this directory."""

from parties import kit  # noqa: F401 - pytest finds fixtures by name
