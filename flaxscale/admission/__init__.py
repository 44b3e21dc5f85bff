"""Admission control: which requests a manager refuses at once, for overload or too frequent retries. No I/O."""
