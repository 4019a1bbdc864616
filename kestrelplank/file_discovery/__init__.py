"""Nodes from files: `file_watcher` detects changes, `node_list` parses a file, `node_files` notifies the policy.

`atomic_write` replaces files atomically.
"""
