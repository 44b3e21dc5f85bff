"""Simulates fleets in virtual time with the runner, decision module, boxes and day files of the real system."""
