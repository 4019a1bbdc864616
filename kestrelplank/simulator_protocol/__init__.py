"""The adapter that drives the decision module over the bench's wire; it decides nothing itself."""
