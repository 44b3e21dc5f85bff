"""Who goes by which version, who is behind, how it is brought up or shut out. Pure: I/O is handed in."""
