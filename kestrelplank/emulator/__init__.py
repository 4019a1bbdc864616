"""An emulator of clients, proxies, nodes and the network between them, in which the real decisions are played.

A script (`script.py`) says what the site is and which faults meet it; `simulation.py` composes what is emulated;
`rehearsal.py` plays a script on a virtual clock and reports.
"""
