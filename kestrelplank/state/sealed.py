"""Encoding of state for a file, with a checksum that detects a torn or changed file."""

import hashlib
from collections.abc import Mapping
from typing import Any

import msgspec

from kestrelplank.decode import MalformedError, parse_json

DIGEST_BYTES = 16


def digest_of(data: bytes) -> str:
    """Return the digest of the data as 32 hexadecimal digits."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def encode_checksummed(format_version: int, state: Mapping[str, object]) -> bytes:
    """Return the bytes to store: JSON on one line, its checksum on the next."""
    body = msgspec.json.encode({"form": format_version, **state})
    return body + b"\n" + digest_of(body).encode() + b"\n"


def decode_checksummed(format_version: int, data: bytes) -> dict[str, Any]:  # the callers know the types of the fields
    """Return the state passed to `encode_checksummed`, and the format version under "form".

    :raises MalformedError: the data is torn or changed, or has another format version.
    """
    body, _, checksum = data.rstrip(b"\n").rpartition(b"\n")
    if not body or digest_of(body) != checksum.decode(errors="replace"):
        raise MalformedError("torn or changed: the checksum does not match the content")
    state = parse_json(body)
    if not isinstance(state, dict) or state.get("form") != format_version:
        raise MalformedError(
            f"format version {state.get('form') if isinstance(state, dict) else None}, expected {format_version}"
        )
    return state
