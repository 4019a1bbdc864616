"""Why a configuration is refused. The text of each is one line for the operator."""


class ConfigurationError(ValueError):
    """A configuration cannot be used."""


class MalformedDocumentError(ConfigurationError):
    """The bytes are no JSON, or are nested too deeply to be read."""


class InvalidFieldError(ConfigurationError):
    """A field of the document does not hold what it must.

    :param field: the path of the field, as `virtual_hosts[0].host_routes[2].timeout_s`.
    :param reason: what is wrong with it.
    """

    def __init__(self, field: str, reason: str) -> None:
        self.field, self.reason = field, reason
        super().__init__(f"{field}: {reason}")
