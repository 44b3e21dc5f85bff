"""The checker of the six rules. It reads records of sockets and imports nothing else of the program."""
