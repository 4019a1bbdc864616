"""What is wrong with a settings file, and where: the one exception that readers of settings files raise."""


class InvalidSettingsError(ValueError):
    """A settings file cannot be used.

    The text is one line for the user: where, and why. An INI file's field is named with its line and section, a field
    of a TOML or JSON document with its dotted path.

    :param reason: what is wrong, as the user reads it.
    :param file: the path of the file, where there is one.
    :param line: the line in the file, counted from 1, where it is known.
    :param section: the section of an INI file, in brackets.
    :param field: the name of the field in its section, or its dotted path in the document.
    """

    def __init__(
        self, reason: str, *, file: str = "", line: int | None = None, section: str = "", field: str = ""
    ) -> None:
        self.reason, self.file, self.line, self.section, self.field = reason, file, line, section, field
        super().__init__(": ".join(part for part in (self._place(), reason) if part))

    def _place(self) -> str:
        """Return `k.ini, line 4, [watch], field every` of an INI file, `node.toml: local_system.zone` of a document."""
        line = "" if self.line is None else f"line {self.line}"
        if not self.section:
            place = ", ".join(part for part in (self.file, line) if part)
            return ": ".join(part for part in (place, self.field) if part)
        field = f"field {self.field}" if self.field else ""
        return ", ".join(part for part in (self.file, line, self.section, field) if part)
