"""Settings of a process: the platform's TOML file, and INI files of the operators, with units, defaults and checks.

All that cannot be used raises `errors.InvalidSettingsError`, whose text is one line that names file, line and field.
"""
