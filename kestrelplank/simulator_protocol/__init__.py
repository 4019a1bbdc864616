"""The adapter that drives the decision module over the wire of the operators' simulator; it decides nothing itself."""
