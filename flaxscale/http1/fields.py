"""Header fields used in signalling: Prefer (RFC 7240), Accept (RFC 9110, 12.5.1), bearer tokens (RFC 6750)."""

import hmac
import re

PREFERENCE = re.compile(r'\s*([!#$%&\'*+.^_`|~0-9A-Za-z-]+)\s*(?:=\s*(?:"([^"]*)"|([^;,\s]*)))?')


def parse_prefer(value):
    """Preferences by lower-case name; the first of several with the same name counts (RFC 7240, 2)."""
    found = {}
    for part in (value or "").split(","):
        if match := PREFERENCE.match(part):
            found.setdefault(match[1].lower(), match[2] if match[2] is not None else match[3] or "")
    return found


def prefer_wait(value):
    """The wait time from `Prefer: wait=N`, in seconds; None if absent or invalid."""
    wait = parse_prefer(value).get("wait", "")
    return int(wait) if wait.isascii() and wait.isdigit() and len(wait) < 7 else None


def media_type(value):
    """The media type of a Content-Type field without parameters, in lower case."""
    return (value or "").partition(";")[0].strip().lower()


def accepts(value, wanted):
    """Whether an Accept field permits a response of this media type."""
    if value is None or not value.strip():
        return True
    wildcard, best = wanted.partition("/")[0] + "/*", (-1, 0.0)
    for part in value.split(","):
        name, *params = (p.strip().lower() for p in part.split(";"))
        rank = {wanted: 2, wildcard: 1, "*/*": 0}.get(name)
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
    """The bearer token of an Authorization field (RFC 6750, 2.1), or None."""
    scheme, _, token = (value or "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" and token.strip() else None


def known_token(token, tokens):
    """Whether a token is among the known ones; compares in constant time, so that timing reveals nothing about them."""
    found = False
    for known in tokens:
        found |= hmac.compare_digest(token.encode(), known.encode())
    return found


def whole_seconds(duration):
    """A duration in tenths of a millisecond as whole seconds for Retry-After (RFC 9110, 10.2.3), rounded up."""
    return -(-duration // 10_000)
