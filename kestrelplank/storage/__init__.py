"""What a control member must not lose, on its disk: the file format, recovery and compaction of one log file."""
