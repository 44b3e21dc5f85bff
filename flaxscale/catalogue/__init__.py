"""The live catalogue: titles, renditions and holders that change in service. State here is pure; I/O is handed in."""
