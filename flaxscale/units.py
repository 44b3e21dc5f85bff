"""The unit of all times: whole tenths of a millisecond."""

MILLISECOND = 10
SECOND = 1000 * MILLISECOND
