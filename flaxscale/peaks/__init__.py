"""Announced demand peaks: announcements, the bandwidth that a manager reserves for them, and planning. No I/O."""
