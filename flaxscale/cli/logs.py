"""Structured logs: one JSON line an event on standard error, or in a file."""

import sys

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


def logger(level="info", file=None, **always):
    """A logger whose every line carries `always`, the time of day and the monotonic clock's."""
    out = open(file, "a", buffering=1, encoding="utf-8") if file else sys.stderr

    def clocks(_, __, row):
        from ..serve.clock import now

        row["mono"] = now()
        return row

    return structlog.wrap_logger(
        structlog.WriteLogger(out),
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            clocks,
            structlog.processors.JSONRenderer(),
        ],
        cache_logger_on_first_use=True,
    ).bind(**always)
