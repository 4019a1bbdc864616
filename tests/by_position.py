"""Values as fixtures have them: JSON in which a struct is its fields by position, so that names may change."""

import json
from typing import Any

import msgspec


def by_position(value: Any) -> Any:
    """A value with structs as lists (the tag first where there is one) and bytes as base64."""
    return json.loads(msgspec.json.encode(value))
