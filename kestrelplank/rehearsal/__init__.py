"""Rehearsals with real processes on loopback: of a small gateway, and of the assigner among emulated nodes."""
