"""Communication between the gateway's processes: messages, frames over TCP, sessions, and an edge machine's view."""
