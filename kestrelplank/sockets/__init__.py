"""Event loop, buffer pool, TCP and Unix connections, an RESP2 parser and an HTTP/1.1 client."""
