"""The parts of the decision on sessions. No I/O, clock, wire or global state; `decide.Manager` puts them together."""
