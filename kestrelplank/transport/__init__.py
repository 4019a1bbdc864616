"""What our processes send each other: messages, frames over TCP, sessions, and an edge machine's view."""
