"""The checker of the six rules. It reads records of sockets and imports nothing from the rest of the program."""
