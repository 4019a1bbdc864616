"""Singleton roles: calls that exactly one member makes at a time. No I/O."""
