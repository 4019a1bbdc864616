"""The operator's configuration: read and checked, its versions, look-up of routes, and when a version is settled."""
