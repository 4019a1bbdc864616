"""The adapter that drives the policy over the wire of the operators' simulator; it decides nothing itself."""
