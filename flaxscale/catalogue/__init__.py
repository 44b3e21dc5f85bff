"""The live catalogue: titles, renditions and holders that change in service. Pure state; I/O objects are passed in."""
