"""What our processes send each other: messages, frames over TCP, sessions, and what an edge machine learns."""
