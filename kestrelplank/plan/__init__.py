"""Decisions beside those of `policy.py`, without I/O: attempts and avoidance, and what later subsystems decide."""
