"""INI files of the operators: fields, units, defaults, checks; messages name file, section, field and line."""
