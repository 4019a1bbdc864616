"""Load balancing without I/O: which node an op goes to, and what is retried, limited, queued or rejected."""
