"""The edge program: takes requests of clients and carries them to servers."""
