"""Coverage-guided search for the faults that harm a fleet most: generation, coverage, ranking, minimization. No I/O.

`space` draws and mutates lists of troubles, `marks` computes the coverage of a play, `search` chooses the next days to
play and ranks the outcomes, `shrink` minimizes a day that was found. lab/hunts.py plays the days, in virtual time or
by processes.
"""
