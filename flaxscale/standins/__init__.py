"""Stand-ins for the external systems: media boxes and the box list, after public specifications, on loopback only."""
