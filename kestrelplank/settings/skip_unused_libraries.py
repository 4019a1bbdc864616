"""Importing this module prevents libraries from importing optional dependencies that the program does not use.

pyserde would import numpy and httpcore would import trio if they are installed, which delays the start. This module
must be imported before them.
"""

import sys

UNUSED_LIBRARIES = ("numpy", "orjson", "trio")

for library in UNUSED_LIBRARIES:
    sys.modules.setdefault(library, None)  # type: ignore[arg-type] # None makes the import fail
