"""Durable state of a control member: the format, recovery and compaction of its log file."""
