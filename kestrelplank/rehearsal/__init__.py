"""Rehearsals with real processes on loopback, and stand-ins for the outside parties."""
