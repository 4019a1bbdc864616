"""Emulated order nodes, scripted faults and simulated rehearsals. Only `rehearsal`, `cli` and tests import it."""
