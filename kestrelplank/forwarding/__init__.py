"""One request's life on an edge machine, without I/O."""
