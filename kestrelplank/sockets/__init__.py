"""Sockets of the assigner in service: event loop, buffers, connections, RESP2 and HTTP/1.1 as a client."""
