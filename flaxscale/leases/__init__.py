"""Leases for duties that one process does for the whole fleet: shares, grants, holding and fencing. No I/O."""
