"""Problem details (RFC 9457)."""

import json

MEDIA_TYPE = "application/problem+json"


def problem(status, title, detail="", **more):
    """The body of a refusal: a title for people, what was wrong with this request, and members of its own."""
    body = {"type": "about:blank", "title": title, "status": status}
    if detail:
        body["detail"] = detail
    return json.dumps({**body, **more}, separators=(",", ":")).encode()
