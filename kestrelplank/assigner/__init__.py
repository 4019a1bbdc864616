"""The adapter that drives the decision module over sockets; it decides nothing itself."""
