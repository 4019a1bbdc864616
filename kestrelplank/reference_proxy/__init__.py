"""The reference proxy: an HTTP/1.1 proxy that routes by published tables, built on `load_balancing/` and `state/`."""
