"""Structured logs: one JSON line for each event, on standard error or in a file."""

import sys

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


def logger(level="info", file=None, **bound_fields):
    """Returns a logger whose every line has `bound_fields`, the UTC time and, as `mono`, the time of serve.clock."""
    stream = open(file, "a", buffering=1, encoding="utf-8") if file else sys.stderr

    def add_monotonic_time(_, __, row):
        from ..serve.clock import now

        row["mono"] = now()
        return row

    return structlog.wrap_logger(
        structlog.WriteLogger(stream),
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            add_monotonic_time,
            structlog.processors.JSONRenderer(),
        ],
        cache_logger_on_first_use=True,
    ).bind(**bound_fields)
