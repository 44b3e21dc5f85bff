"""Searches for the day that hurts a fleet most: which troubles to try, what was reached, what is smallest. No I/O.

`space` draws and changes lists of troubles, `marks` says what a play reached, `search` chooses what to play next and
ranks what came, `shrink` makes a found day small. lab/hunts.py plays them, in virtual time or by processes.
"""
