"""An emulator of clients, proxies, nodes and the network between them, driven by the production decision code.

A script (`script.py`) describes a site and the faults injected into it, `simulation.py` builds the emulated site, and
`rehearsal.py` runs a script on a virtual clock and returns a report.
"""
