"""Connections to servers and to the platform: httpcore's single connections over sockets of our own."""
