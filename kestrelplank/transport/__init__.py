"""Sessions between our processes: who is a member, and what each is told."""
