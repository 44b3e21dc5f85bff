"""Load reports in responses, in the format of ORCA: the header field endpoint-load-metrics as TEXT or JSON."""

import json
import math

FIELD = "endpoint-load-metrics"


def encode(values):
    """The field value for a dict of numbers by name, as named metrics in TEXT form."""
    return "TEXT " + ", ".join(f"named_metrics.{name}={value:.4f}" for name, value in values.items())


def decode(text):
    """Numbers by name. Invalid parts are ignored, so that a bad report never fails the response that carries it."""
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
