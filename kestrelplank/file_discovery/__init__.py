"""Files: watched, read whole, and written whole or not at all."""
