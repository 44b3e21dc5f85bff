"""Stand-ins of the systems outside: media boxes and the box list, from public specifications, on loopback only."""
