"""Parsing of configurations: bytes become a `Configuration`, or are refused in full with one reason."""

import hashlib

import msgspec
from returns.result import Failure, Result, Success

from kestrelplank.configuration.document import ConfigurationDocument
from kestrelplank.configuration.errors import ConfigurationError, InvalidFieldError, MalformedDocumentError
from kestrelplank.configuration.route_table import Configuration, VersionKey
from kestrelplank.configuration.validation import validate
from kestrelplank.settings.checked_dataclasses import decode_checked
from kestrelplank.settings.errors import InvalidSettingsError

DIGEST_BYTES = 12


def parse_configuration(text: bytes) -> Result[Configuration, ConfigurationError]:
    """Return the configuration in these bytes, or why it is refused.

    The refusal's text is one line that names the field, or the byte at which the bytes stop being JSON.
    """
    try:
        document = parse_document(text)
        validate(document)
    except ConfigurationError as err:
        return Failure(err)
    return Success(Configuration(version_key(document, text), text, document))


def parse_document(text: bytes) -> ConfigurationDocument:
    """Return the document in these bytes, each field of the right type.

    :raises MalformedDocumentError: the bytes are no JSON.
    :raises InvalidFieldError: a field is missing or has another type.
    """
    try:
        data: object = msgspec.json.decode(text)
        return decode_checked(ConfigurationDocument, data)
    except msgspec.DecodeError as err:
        raise MalformedDocumentError(f"not whole: {err}") from err
    except RecursionError as err:
        raise MalformedDocumentError(str(err)) from err
    except InvalidSettingsError as err:
        raise InvalidFieldError(err.field, err.reason) from err


def version_key(document: ConfigurationDocument, text: bytes) -> VersionKey:
    """Return what a valid configuration is compared by."""
    return VersionKey(int(document.config_version, 16), hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest())
