"""Parsing of configurations: bytes give a `Configuration`, or an error with one reason."""

import hashlib
import re

import msgspec
from returns.result import Failure, Result, Success

from kestrelplank.configuration.document import ConfigurationDocument
from kestrelplank.configuration.errors import ConfigurationError, InvalidFieldError, MalformedDocumentError
from kestrelplank.configuration.route_table import Configuration, VersionKey
from kestrelplank.configuration.validation import validate
from kestrelplank.settings.checked_dataclasses import decode_checked
from kestrelplank.settings.errors import InvalidSettingsError

DIGEST_BYTES = 12
API_KEY_PATH = re.compile(r"tenants\[\d+\]\.api_keys\[\d+\]")


def parse_configuration(text: bytes, former: Configuration | None = None) -> Result[Configuration, ConfigurationError]:
    """Return the configuration that the bytes encode, or the error for which it is rejected.

    The error's text is one line that names the field, or the byte at which the JSON is invalid.

    :param former: a configuration whose index of tenants is used again if the list of tenants is unchanged.
    """
    try:
        document = parse_document(text)
        validate(document)
    except ConfigurationError as err:
        return Failure(err)
    return Success(Configuration(version_key(document, text), text, document, former))


def parse_document(text: bytes) -> ConfigurationDocument:
    """Return the document that the bytes encode, with the type of each field checked.

    :raises MalformedDocumentError: the bytes are not valid JSON, or are nested too deeply.
    :raises InvalidFieldError: a field is missing or has another type.
    """
    try:
        data: object = msgspec.json.decode(text)
        return decode_checked(ConfigurationDocument, data)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise MalformedDocumentError(f"invalid JSON: {err}") from err
    except RecursionError as err:
        raise MalformedDocumentError(str(err)) from err
    except InvalidSettingsError as err:
        if API_KEY_PATH.fullmatch(err.field):  # the reason, and the error itself, contain the key
            raise InvalidFieldError(err.field, "is not a string") from None
        raise InvalidFieldError(err.field, err.reason) from err


def version_key(document: ConfigurationDocument, text: bytes) -> VersionKey:
    """Return the key by which valid configurations are compared."""
    return VersionKey(int(document.config_version, 16), hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest())
