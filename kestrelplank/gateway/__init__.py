"""The command line of the gateway: its programs and the operators' commands."""
