"""Problem details (RFC 9457)."""

import json

MEDIA_TYPE = "application/problem+json"


def problem(status, title, detail="", **more):
    """The body of an error response: a title, details on this request, and extension members."""
    body = {"type": "about:blank", "title": title, "status": status}
    if detail:
        body["detail"] = detail
    return json.dumps({**body, **more}, separators=(",", ":")).encode()
