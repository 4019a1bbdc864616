"""The form of values in fixtures: JSON with a struct as a list of its fields, so that fields can be renamed."""

import json
from typing import Any

import msgspec


def by_position(value: Any) -> Any:
    """Convert a value to JSON types: structs to lists (a tag comes first) and bytes to base64."""
    return json.loads(msgspec.json.encode(value))
