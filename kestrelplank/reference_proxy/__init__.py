"""The reference proxy: an HTTP/1.1 proxy that obeys published tables, on `load_balancing/` and `state/`."""
