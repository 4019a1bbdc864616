"""The way in for configurations: bytes become a `Configuration`, or are refused whole with one reason."""

import hashlib

import msgspec
from returns.result import Failure, Result, Success

from kestrelplank.configuration.document import ConfigurationDocument
from kestrelplank.configuration.errors import InvalidConfiguration, InvalidField, MalformedDocument
from kestrelplank.configuration.route_table import Configuration, VersionKey
from kestrelplank.configuration.validation import validate
from kestrelplank.settings.checked_dataclasses import decode_checked
from kestrelplank.settings.errors import InvalidSettings

DIGEST_BYTES = 12


def parse_configuration(text: bytes) -> Result[Configuration, InvalidConfiguration]:
    """Return the configuration in these bytes, or why it is refused.

    The refusal's text is one line that names the field, or the byte at which the bytes stop being JSON.
    """
    try:
        document = parse_document(text)
        validate(document)
    except InvalidConfiguration as err:
        return Failure(err)
    return Success(Configuration(version_key(document, text), text, document))


def parse_document(text: bytes) -> ConfigurationDocument:
    """Return the document in these bytes, each field of the right type.

    :raises MalformedDocument: the bytes are no JSON.
    :raises InvalidField: a field is missing or has another type.
    """
    try:
        data: object = msgspec.json.decode(text)
        return decode_checked(ConfigurationDocument, data)
    except msgspec.DecodeError as err:
        raise MalformedDocument(f"not whole: {err}") from err
    except RecursionError as err:
        raise MalformedDocument(str(err)) from err
    except InvalidSettings as err:
        raise InvalidField(err.field, err.reason) from err


def version_key(document: ConfigurationDocument, text: bytes) -> VersionKey:
    """Return what a valid configuration is compared by."""
    return VersionKey(int(document.config_version, 16), hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest())
