"""SDP (RFC 8866) as far as signalling needs it: parses and checks offers, builds answers, parses fragments.

Checked in an offer: the media sections and their bundle (RFC 9143), ICE ufrag and password (RFC 8839), DTLS
fingerprint and role (RFC 8122, RFC 8842), and that the directions fit WHIP or WHEP.
"""

import re
from typing import NamedTuple

HASH_SIZES = {"sha-1": 20, "sha-224": 28, "sha-256": 32, "sha-384": 48, "sha-512": 64}  # bytes (RFC 8122, 5)
DIRECTIONS = ("sendrecv", "sendonly", "recvonly", "inactive")
PROTOCOLS = ("UDP/TLS/RTP/SAVPF", "UDP/TLS/RTP/SAVP", "TCP/DTLS/RTP/SAVPF", "TCP/TLS/RTP/SAVPF")
MAX_LINES = 2000
MAX_MEDIA_SECTIONS = 16


class SdpError(ValueError):
    """An error in a description, with its line (0: in no single line) and an HTTP status."""

    def __init__(self, detail, line=0, status=400):
        super().__init__(f"line {line}: {detail}" if line else detail)
        self.status = status


class Media(NamedTuple):
    """One media section."""

    kind: str  # audio, video
    protocol: str
    formats: tuple
    mid: str
    direction: str
    ufrag: str
    pwd: str
    fingerprint: str
    setup: str
    port: int
    rtpmaps: tuple  # values of the rtpmap lines

    def codec(self):
        """The codec name of the first format, or the format number if no rtpmap line names it."""
        first = self.formats[0] + " "
        found = next((row[len(first) :] for row in self.rtpmaps if row.startswith(first)), "")
        return found.partition("/")[0] or self.formats[0]

    bundle_only: bool


class Session(NamedTuple):
    """A parsed description."""

    media: tuple
    bundle: tuple  # mids of the first BUNDLE group


class Fragment(NamedTuple):
    """A trickle-ice-sdpfrag (RFC 8840)."""

    ufrag: str
    pwd: str
    candidates: tuple  # (mid, candidate line)
    complete: bool  # contains end-of-candidates


def is_ice_string(text, min_length):
    """Whether text consists of min_length to 256 ice-chars (RFC 8839, 5.4)."""
    letters = text.replace("+", "").replace("/", "")
    return min_length <= len(text) <= 256 and letters.isascii() and (letters.isalnum() or not letters)


def is_valid_fingerprint(text):
    """Whether text is the name of a hash function and a value of its size in hexadecimal (RFC 8122, 5)."""
    name, _, rest = text.partition(" ")
    size, digits = HASH_SIZES.get(name.lower()), rest.replace(":", "")
    if size is None or len(rest) != 3 * size - 1 or len(digits) != 2 * size:
        return False
    try:
        return len(bytes.fromhex(digits)) == size
    except ValueError:
        return False


def split_lines(text):
    """Yields (number, type, value) of each line; lines may end with a bare LF (RFC 8866, 5)."""
    rows = text.replace("\r\n", "\n").rstrip("\n").split("\n")
    if len(rows) > MAX_LINES:
        raise SdpError(f"over {MAX_LINES} lines", status=413)
    for number, row in enumerate(rows, 1):
        if len(row) < 2 or row[1] != "=" or not row[0].isalpha():
            raise SdpError(f"not a type, an equals sign and a value: {row[:40]!r}", number)
        yield number, row[0], row[2:]


def decode_utf8(body):
    """The text of a body; raises SdpError if it is not UTF-8."""
    try:
        return body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise SdpError(f"not UTF-8 at byte {error.start}") from None


VALID_LINES = re.compile(r"(?:[A-Za-z]=[^\n]*(?:\n|$))*")
RELEVANT_LINES = re.compile(
    r"^(?:m=(.*)|a=(ice-ufrag|ice-pwd|fingerprint|setup|mid|bundle-only|rtpmap|group|"
    r"sendrecv|sendonly|recvonly|inactive)(?::(.*))?|([ost])=.*)$",
    re.M,
)


def parse(body):
    """Parses an offer or answer; raises SdpError that names the line.

    Two regular expressions find the lines, since splitting and matching each line was the most expensive part of a
    session request.
    """
    text = decode_utf8(body).replace("\r\n", "\n").rstrip("\n")
    if not text.startswith("v=0"):
        raise SdpError("does not begin with v=0", 1)
    if text.count("\n") >= MAX_LINES:
        raise SdpError(f"over {MAX_LINES} lines", status=413)
    if (end := VALID_LINES.match(text).end()) < len(text):
        raise SdpError(
            f"not a type, an equals sign and a value: {text[end : end + 40].partition(chr(10))[0]!r}",
            text.count("\n", 0, end) + 1,
        )
    section = common = {}
    medias, session_types, bundle = [], "", ()
    for match in RELEVANT_LINES.finditer(text):
        media, name, rest, kind = match.groups()
        if name is not None:
            if name == "rtpmap":
                section.setdefault("rtpmap", []).append(rest or "")
            elif name in DIRECTIONS:
                section["direction"] = name
            elif name == "group":
                if not medias and not bundle and (rest or "").startswith("BUNDLE"):
                    bundle = tuple(rest.split()[1:])
            else:
                section.setdefault(name, rest or "")
        elif media is not None:
            section = parse_media_line(media, text.count("\n", 0, match.start()) + 1)
            medias.append(section)
            if len(medias) > MAX_MEDIA_SECTIONS:
                raise SdpError(f"over {MAX_MEDIA_SECTIONS} media sections", status=422)
        elif not medias:
            session_types += kind
    for required in "ost":
        if required not in session_types:
            raise SdpError(f"the line {required}= is missing")
    if not medias:
        raise SdpError("no media section", status=422)
    return Session(tuple(build_media(section, common) for section in medias), bundle)


def parse_media_line(value, number):
    """The fields of an m= line as the start of a media section."""
    parts = value.split()
    port = parts[1].partition("/")[0] if len(parts) > 3 else ""
    if not (port.isascii() and port.isdigit() and len(port) < 6 and int(port) < 65536):
        raise SdpError(f"not a media line: {value[:40]!r}", number)
    if parts[0] not in ("audio", "video"):
        raise SdpError(f"media of kind {parts[0][:20]!r}; audio and video are accepted", number, 422)
    if parts[2] not in PROTOCOLS:
        raise SdpError(f"protocol {parts[2][:30]!r}; DTLS-SRTP is needed (RFC 8827)", number, 422)
    return {"kind": parts[0], "port": int(port), "protocol": parts[2], "formats": tuple(parts[3:])}


def build_media(fields, common):
    """The Media of a section; attributes that it lacks are taken from the session level (RFC 8866, 5.13)."""
    fields = {**common, **fields}
    get = fields.get
    return Media(
        fields["kind"],
        fields["protocol"],
        fields["formats"],
        get("mid", ""),
        get("direction", "sendrecv"),
        get("ice-ufrag", ""),
        get("ice-pwd", ""),
        get("fingerprint", ""),
        get("setup", ""),
        fields["port"],
        tuple(get("rtpmap", ())),
        "bundle-only" in fields,
    )


def check_offer(session, sends):
    """Raises SdpError if an offer is not acceptable for WHIP (sends) or WHEP; returns the first bundled section.

    RFC 9725, 4.2: a WHIP offer is sendonly or may be sendrecv, never recvonly or inactive, and its answer is
    recvonly. draft-ietf-wish-whep, 4.2, mirrors it for players: recvonly or sendrecv, the answer sendonly.
    """
    if not session.bundle:
        raise SdpError("no a=group:BUNDLE; one transport for all media is needed (RFC 9725, 4.4.1)", status=422)
    kinds, mids = set(), set()
    for m in session.media:
        if not m.mid or m.mid in mids:
            raise SdpError(f"the {m.kind} section has no mid of its own", status=422)
        mids.add(m.mid)
        if m.mid not in session.bundle:
            raise SdpError(f"section {m.mid!r} is not in the BUNDLE group", status=422)
        if m.kind in kinds and sends:
            raise SdpError(f"more than one {m.kind} section; one stream is pushed (RFC 9725, 4.4.2)", status=422)
        kinds.add(m.kind)
        if sends and m.direction not in ("sendonly", "sendrecv"):
            raise SdpError(f"section {m.mid!r} is {m.direction}: a WHIP offer sends", status=422)
        if not sends and m.direction not in ("recvonly", "sendrecv"):
            raise SdpError(f"section {m.mid!r} is {m.direction}: a WHEP offer receives", status=422)
        if m.bundle_only and m.port:
            raise SdpError(f"section {m.mid!r} is bundle-only but has a port (RFC 9143, 6)", status=422)
    first = next(m for m in session.media if m.mid == session.bundle[0]) if session.bundle[0] in mids else None
    if first is None:
        raise SdpError(f"the BUNDLE group begins with {session.bundle[0]!r}, which is no section", status=422)
    if not is_ice_string(first.ufrag, 4):
        raise SdpError("no ICE ufrag of 4 to 256 ice-chars", status=422)
    if not is_ice_string(first.pwd, 22):
        raise SdpError("no ICE password of 22 to 256 ice-chars", status=422)
    if not is_valid_fingerprint(first.fingerprint):
        raise SdpError("no valid DTLS fingerprint (RFC 8122)", status=422)
    if first.setup not in ("actpass", "active"):
        raise SdpError(f"DTLS role {first.setup or 'missing'!r}; an offer says actpass (RFC 8842, 5.2)", status=422)
    return first


def offer(sends, ufrag, pwd, fingerprint, tail="0"):
    """A minimal offer, used by the project's own clients."""
    direction = "sendonly" if sends else "recvonly"
    rows = ["v=0", f"o=- {tail} 1 IN IP4 127.0.0.1", "s=-", "t=0 0", "a=group:BUNDLE 0 1", "a=ice-options:trickle ice2"]
    for mid, kind, pt, codec in (("0", "audio", 111, "opus/48000/2"), ("1", "video", 96, "H264/90000")):
        rows += [
            f"m={kind} 9 UDP/TLS/RTP/SAVPF {pt}",
            "c=IN IP4 0.0.0.0",
            f"a=mid:{mid}",
            f"a={direction}",
            f"a=ice-ufrag:{ufrag}",
            f"a=ice-pwd:{pwd}",
            f"a=fingerprint:sha-256 {fingerprint}",
            "a=setup:actpass",
            "a=rtcp-mux",
            f"a=rtpmap:{pt} {codec}",
        ]
    return ("\r\n".join(rows) + "\r\n").encode()


def answer(session, sends, ufrag, pwd, fingerprint, candidate, tail="0"):
    """The answer to a checked offer: accepts the first format of each section, on one transport (RFC 9143)."""
    first, rows = (
        True,
        [
            "v=0",
            f"o=- {tail} 1 IN IP4 127.0.0.1",
            "s=-",
            "t=0 0",
            "a=group:BUNDLE " + " ".join(m.mid for m in session.media),
            "a=ice-lite",
        ],
    )
    for m in session.media:
        direction = "recvonly" if sends else "sendonly"
        rows += [
            f"m={m.kind} 9 {m.protocol} {m.formats[0]}",
            "c=IN IP4 0.0.0.0",
            f"a=mid:{m.mid}",
            f"a={direction}",
            "a=rtcp-mux",
        ]
        rows += [f"a=rtpmap:{row}" for row in m.rtpmaps if row.startswith(m.formats[0] + " ")][:1]
        if first:
            rows += [
                f"a=ice-ufrag:{ufrag}",
                f"a=ice-pwd:{pwd}",
                f"a=fingerprint:sha-256 {fingerprint}",
                "a=setup:passive",
                f"a=candidate:{candidate}",
                "a=end-of-candidates",
            ]
            first = False
    return ("\r\n".join(rows) + "\r\n").encode()


def first_candidate(body):
    """(address, port, ufrag) of the first candidate of an answer, used by the project's own clients."""
    address = port = ufrag = None
    for row in decode_utf8(body).splitlines():
        if row.startswith("a=candidate:") and address is None:
            parts = row.split()
            address, port = parts[4], int(parts[5])
        elif row.startswith("a=ice-ufrag:") and ufrag is None:
            ufrag = row[12:]
    if address is None or ufrag is None:
        raise SdpError("the answer has no candidate or no ufrag")
    return address, port, ufrag


def parse_fragment(body):
    """Parses the body of a PATCH (RFC 8840, 4.4)."""
    ufrag = pwd = mid = ""
    candidates, complete = [], False
    text = decode_utf8(body)
    if not text.strip():
        raise SdpError("an empty fragment")
    for number, kind, value in split_lines(text):
        if kind == "m":
            mid = ""
        elif kind == "a":
            name, _, rest = value.partition(":")
            if name == "ice-ufrag":
                ufrag = ufrag or rest
            elif name == "ice-pwd":
                pwd = pwd or rest
            elif name == "mid":
                mid = rest
            elif name == "candidate":
                if len(rest.split()) < 8:
                    raise SdpError("a candidate of fewer than eight parts (RFC 8839, 5.1)", number)
                candidates.append((mid, rest))
            elif name == "end-of-candidates":
                complete = True
        else:
            raise SdpError(f"a line {kind}= is not allowed in a fragment", number)
    if not is_ice_string(ufrag, 4):
        raise SdpError("no ICE ufrag of 4 to 256 ice-chars", status=422)
    if pwd and not is_ice_string(pwd, 22):
        raise SdpError("the ICE password is not 22 to 256 ice-chars", status=422)
    return Fragment(ufrag, pwd, tuple(candidates), complete)
