"""Keeps libraries from loading what we do not use of them, where the machine happens to have it: numpy beside pyserde
and trio beside httpcore double the time of a start, in which nobody is served. Imported before them."""

import sys

UNUSED = ("numpy", "orjson", "trio")

for name in UNUSED:
    sys.modules.setdefault(name, None)  # type: ignore[arg-type]
