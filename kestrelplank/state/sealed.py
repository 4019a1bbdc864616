"""State that is kept in a file: a form, a body, and a checksum, so that a torn or changed one is told from a whole."""

import hashlib
from typing import Any

import msgspec

from kestrelplank.decode import Malformed, parse_json


def digest_of(data: bytes) -> str:
    """What tells one content from another; 32 hexadecimal digits."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def sealed(form: int, found: dict[str, Any]) -> bytes:
    """The bytes to keep: JSON on one line, its checksum on the next."""
    body = msgspec.json.encode({"form": form, **found})
    return body + b"\n" + digest_of(body).encode() + b"\n"


def unsealed(form: int, data: bytes) -> dict[str, Any]:
    """What `sealed` was given. Raises Malformed where it is torn, changed, or of a form that is not known here; half of
    it is never used."""
    body, _, rest = data.rstrip(b"\n").rpartition(b"\n")
    if not body or digest_of(body) != rest.decode(errors="replace"):
        raise Malformed("torn or changed: its checksum does not hold")
    found = parse_json(body)
    if not isinstance(found, dict) or found.get("form") != form:
        raise Malformed(f"form {found.get('form') if isinstance(found, dict) else None} is not known, {form} is")
    return found
