"""Errors for which a configuration is rejected. The text of each is one line for the operator."""


class ConfigurationError(ValueError):
    """A configuration cannot be used."""


class MalformedDocumentError(ConfigurationError):
    """The bytes are not valid JSON, or are nested too deeply to be parsed."""


class InvalidFieldError(ConfigurationError):
    """A field of the document is missing or has an invalid type or value.

    :param field: the path of the field, for example `virtual_hosts[0].host_routes[2].timeout_s`.
    :param reason: why it is invalid.
    """

    def __init__(self, field: str, reason: str) -> None:
        self.field, self.reason = field, reason
        super().__init__(f"{field}: {reason}")
