"""Leases for what one process does for the whole fleet: who may act, for how long, and how nobody else can. No I/O."""
