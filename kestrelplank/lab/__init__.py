"""The laboratory: emulated order nodes, scripted faults, rehearsals. Nothing but `cli` and tests knows it."""
