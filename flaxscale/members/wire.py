"""The encoding of members' messages: msgpack behind a format marker, authenticated by HMAC-SHA-256 (RFC 2104).

The first key signs and every key verifies, so that keys can be replaced one manager at a time.
"""

import hmac
from hashlib import sha256

import msgspec

from ..versions.table import Row as VersionRow
from .swim import Message, State, Update

MARK = b"FM1"  # format marker at the start of each datagram
TAG = 16  # bytes of the truncated HMAC
MAX_BYTES = 1400  # of one datagram
STATES = tuple(State)
SAME = "="  # stands for the value in the first row of a message


class Row(msgspec.Struct, array_like=True):
    """A swim.Update."""

    name: str
    address: str
    state: int
    incarnation: int
    boot: str
    serves: str


class Held(msgspec.Struct, array_like=True):
    """A row of versions.table."""

    name: str
    boot: str
    count: int
    epoch: str
    version: int
    floor: int
    digest: int
    list_version: int
    settings: str
    up: bool
    refused: int
    behind: bool = False
    full: bool = False
    slow: bool = False


class Sent(msgspec.Struct, array_like=True):
    """One message as it is sent."""

    kind: str
    seq: int
    sender: str
    target: str
    news: list[Row]
    words: list[tuple[int, float]] = []  # with kind "word": (box, change of the requested load in kB a second)
    held: list[Held] = []  # earlier builds ignore this field


class BadMessage(ValueError):
    """A datagram that is not signed with a known key, is cut short or has an unknown format."""


def seal(data, key):
    """A datagram: marker, tag and data."""
    return MARK + hmac.new(key, MARK + data, sha256).digest()[:TAG] + data


def sign(text, key):
    """The tag of an HTTP request between managers."""
    return hmac.new(key, MARK + text.encode(), sha256).hexdigest()


def signed(text, tag, keys):
    """Whether a request's tag was made with one of the keys."""
    return tag is not None and any(hmac.compare_digest(tag.encode(), sign(text, key).encode()) for key in keys)


def opened(data, keys):
    """The data of a datagram whose tag was made with one of the keys. BadMessage otherwise."""
    if len(data) < len(MARK) + TAG or not data.startswith(MARK):
        raise BadMessage("not a member message")
    tag, body = data[len(MARK) : len(MARK) + TAG], data[len(MARK) + TAG :]
    if not any(hmac.compare_digest(tag, hmac.new(key, MARK + body, sha256).digest()[:TAG]) for key in keys):
        raise BadMessage("not signed with a known key")
    return body


def packed(rows):
    """Rows as they are sent, the sender's own first. In the others values equal to its own are replaced by SAME and
    digests are left out."""
    own, out = None, []
    for row in rows:
        if own is not None:
            row = row._replace(
                digest=0,
                epoch=SAME if row.epoch == own.epoch else row.epoch,
                settings=SAME if row.settings == own.settings else row.settings,
            )
        own = own or row
        out.append(Held(*row))
    return out


def unpacked(held):
    """The rows of versions.table of a message."""
    rows = [VersionRow(*msgspec.structs.astuple(h)) for h in held]
    return tuple(
        row._replace(
            epoch=rows[0].epoch if row.epoch == SAME else row.epoch,
            settings=rows[0].settings if row.settings == SAME else row.settings,
        )
        for row in rows
    )


def encode(message, key):
    """The bytes of a Message. Updates and rows that do not fit one datagram are left out, from the end."""
    rows = [Row(n.name, n.address, n.state.value, n.incarnation, n.boot, n.serves) for n in message.news]
    held = packed(message.held)
    while True:
        data = seal(
            msgspec.msgpack.encode(Sent(message.kind, message.seq, message.sender, message.target, rows, [], held)), key
        )
        if len(data) <= MAX_BYTES or len(rows) <= 1 and not held:
            return data
        if held:
            held.pop()
        else:
            rows = rows[: max(1, len(rows) * MAX_BYTES // len(data))]


def encode_load(sender, changes, key):
    """The bytes of a load report. changes: [(box, change in kB a second)]."""
    return seal(msgspec.msgpack.encode(Sent("word", 0, sender, "", [], changes)), key)


def decode(data, keys):
    """A Message, or ("word", sender, [(box, kB a second)]) for a load report. BadMessage otherwise."""
    try:
        sent = msgspec.msgpack.decode(opened(data, keys), type=Sent)
        news = tuple(
            Update(r.name, r.address, STATES[r.state], r.incarnation, r.boot, r.serves)
            for r in sent.news
            if 0 <= r.state < len(STATES)
        )
    except msgspec.MsgspecError as bad:
        raise BadMessage(f"can't be decoded: {bad}") from None
    if sent.kind == "word":
        return "word", sent.sender, sent.words
    if sent.kind not in ("ping", "ask", "ack"):
        raise BadMessage(f"the kind {sent.kind[:20]!r} is unknown")
    return Message(sent.kind, sent.seq, sent.sender, sent.target, news, unpacked(sent.held))
