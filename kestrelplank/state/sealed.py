"""State that is kept in a file, with a checksum, so that a torn or changed file is told from an intact one."""

import hashlib
from collections.abc import Mapping
from typing import Any

import msgspec

from kestrelplank.decode import MalformedError, parse_json

DIGEST_BYTES = 16


def digest_of(data: bytes) -> str:
    """Return what tells one content from another; 32 hexadecimal digits."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def encode_checksummed(form: int, state: Mapping[str, object]) -> bytes:
    """Return the bytes to keep: JSON on one line, its checksum on the next."""
    body = msgspec.json.encode({"form": form, **state})
    return body + b"\n" + digest_of(body).encode() + b"\n"


def decode_checksummed(form: int, data: bytes) -> dict[str, Any]:  # its users know the form's fields and their types
    """Return what `encode_checksummed` was given, and the form.

    :raises MalformedError: it is torn, changed, or of a form that is not known here; half of it is never used.
    """
    body, _, checksum = data.rstrip(b"\n").rpartition(b"\n")
    if not body or digest_of(body) != checksum.decode(errors="replace"):
        raise MalformedError("torn or changed: its checksum does not hold")
    state = parse_json(body)
    if not isinstance(state, dict) or state.get("form") != form:
        raise MalformedError(f"form {state.get('form') if isinstance(state, dict) else None} is not known, {form} is")
    return state
