"""Nodes from files: `file_watcher` sees changes, `node_list` reads a file, `node_files` tells what follows.

`atomic_write` is the one writer of files that are there as a whole or not at all.
"""
