"""Load reports in answers, in ORCA's published form (the endpoint-load-metrics field: TEXT or JSON)."""

import json
import math

FIELD = "endpoint-load-metrics"


def encode(values):
    """values: name to number, told as named metrics."""
    return "TEXT " + ", ".join(f"named_metrics.{name}={value:.4f}" for name, value in values.items())


def decode(text):
    """Name to number. What can't be read is left out: a bad report never fails the answer that carries it."""
    kind, _, rest = (text or "").strip().partition(" ")
    found = {}
    if kind == "JSON":
        try:
            top = json.loads(rest)
            pairs = [
                *top.get("named_metrics", {}).items(),
                *((k, v) for k, v in top.items() if not isinstance(v, dict)),
            ]
        except (ValueError, AttributeError, TypeError):
            return {}
    elif kind == "TEXT":
        pairs = [part.strip().partition("=")[::2] for part in rest.split(",")]
    else:
        return {}
    for name, value in pairs:
        try:
            number = float(value)
        except (TypeError, ValueError):
            continue
        if math.isfinite(number) and number >= 0:
            found[str(name).strip().removeprefix("named_metrics.")] = number
    return found
