"""Importing this module keeps libraries from loading what we do not use of them, where the machine happens to have it.

numpy beside pyserde and trio beside httpcore double the time of a start, in which nobody is served. It must be
imported before them.
"""

import sys

UNUSED_LIBRARIES = ("numpy", "orjson", "trio")

for library in UNUSED_LIBRARIES:
    sys.modules.setdefault(library, None)  # type: ignore[arg-type] # None makes the import fail, as the language says
