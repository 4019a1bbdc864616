"""kestrelplank: an API gateway, and an assigner that controls where forwarding proxies send requests."""
