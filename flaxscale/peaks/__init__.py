"""Announced peaks: what was announced, and the room that one manager keeps for it. No I/O."""
