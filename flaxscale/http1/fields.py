"""Header fields that signalling reads: Prefer (RFC 7240), Accept (RFC 9110, 12.5.1), bearer tokens (RFC 6750)."""

import hmac
import re

PREFER = re.compile(r'\s*([!#$%&\'*+.^_`|~0-9A-Za-z-]+)\s*(?:=\s*(?:"([^"]*)"|([^;,\s]*)))?')


def prefers(value):
    """Preferences as a dict of lower-case names; of one that comes twice the first counts (RFC 7240, 2)."""
    found = {}
    for part in (value or "").split(","):
        if match := PREFER.match(part):
            found.setdefault(match[1].lower(), match[2] if match[2] is not None else match[3] or "")
    return found


def prefer_wait(value):
    """The client's patience by `Prefer: wait=N`, in seconds; None where it states none that can be read."""
    wait = prefers(value).get("wait", "")
    return int(wait) if wait.isascii() and wait.isdigit() and len(wait) < 7 else None


def media_type(value):
    """The type of a Content-Type without its parameters, in lower case."""
    return (value or "").partition(";")[0].strip().lower()


def accepts(value, kind):
    """Whether an Accept field lets us answer with this type."""
    if value is None or not value.strip():
        return True
    group, best = kind.partition("/")[0] + "/*", (-1, 0.0)
    for part in value.split(","):
        name, *params = (p.strip().lower() for p in part.split(";"))
        rank = {kind: 2, group: 1, "*/*": 0}.get(name)
        if rank is None:
            continue
        weight = 1.0
        for param in params:
            if param.startswith("q="):
                try:
                    weight = float(param[2:])
                except ValueError:
                    weight = 0.0
        best = max(best, (rank, weight))
    return best[1] > 0


def bearer(value):
    """The token of an Authorization field (RFC 6750, 2.1), or None."""
    scheme, _, token = (value or "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" and token.strip() else None


def known_token(token, tokens):
    """Compares with each token in constant time, so that a wrong one tells nothing by how long it took."""
    found = False
    for known in tokens:
        found |= hmac.compare_digest(token.encode(), known.encode())
    return found


def whole_seconds(tenths):
    """A span in whole seconds for Retry-After (RFC 9110, 10.2.3), never shorter than meant."""
    return -(-tenths // 10_000)
