"""Decisions beside those of `policy/`, without I/O: attempts and avoidance, and what later subsystems decide."""
