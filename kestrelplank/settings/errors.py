"""The exception for invalid settings files."""


class InvalidSettingsError(ValueError):
    """Raised for a settings file that cannot be used.

    The text is one line for the user: the location, then the reason. A field of an INI file is named with its line and
    section, a field of a TOML or JSON document with its dotted path.

    :param reason: what is wrong, in words for the user.
    :param file: the path of the file, if there is one.
    :param line: the line in the file, counted from 1, if known.
    :param section: the section of an INI file, in brackets.
    :param field: the name of the field in its section, or its dotted path in the document.
    """

    def __init__(
        self, reason: str, *, file: str = "", line: int | None = None, section: str = "", field: str = ""
    ) -> None:
        self.reason, self.file, self.line, self.section, self.field = reason, file, line, section, field
        super().__init__(": ".join(part for part in (self._location(), reason) if part))

    def _location(self) -> str:
        """Return for instance `k.ini, line 4, [watch], field every`, or `node.toml: local_system.zone`."""
        line = "" if self.line is None else f"line {self.line}"
        if not self.section:
            location = ", ".join(part for part in (self.file, line) if part)
            return ": ".join(part for part in (location, self.field) if part)
        field = f"field {self.field}" if self.field else ""
        return ", ".join(part for part in (self.file, line, self.section, field) if part)
