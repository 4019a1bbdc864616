"""Sharded services: which server holds a lease on which key range, and where ranges are placed."""
