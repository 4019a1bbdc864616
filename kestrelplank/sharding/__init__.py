"""Keys: which range is held by whom until when, and who decides about it."""
