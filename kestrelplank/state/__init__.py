"""State machines without I/O: load-balancing tables, node sets, membership, the control state and a journal."""
