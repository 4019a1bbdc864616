"""The reference relay: an HTTP/1.1 proxy that obeys published tables, round the cores in `plan/` and `state/`."""
