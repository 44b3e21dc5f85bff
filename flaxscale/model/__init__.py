"""Fleets in virtual time: the same runner, module and boxes as on sockets, the same day's file, no sockets."""
