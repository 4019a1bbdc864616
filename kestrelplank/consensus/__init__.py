"""Consensus between control members: terms, membership, and one replicated log. No I/O. Design: docs/consensus.md."""
