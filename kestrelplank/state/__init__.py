"""What is believed and must survive, without I/O: tables as a relay holds them, checked node sets, versions."""
