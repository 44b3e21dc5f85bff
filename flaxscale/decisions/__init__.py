"""The parts of the decisions on sessions, combined by decide.Manager. No I/O, clock, wire or global state."""
