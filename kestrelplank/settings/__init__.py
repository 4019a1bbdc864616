"""Settings of a process: the platform's TOML file and the operators' INI files, with units, defaults and checks.

Invalid settings raise `errors.InvalidSettingsError`, whose text is one line that names file, line and field.
"""
