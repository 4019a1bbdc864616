"""Rehearsals with real processes on loopback: of a small gateway, and of assigners with emulated nodes."""
