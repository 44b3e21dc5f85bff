"""The configuration as the platform hands it: environment, one JSON file, and the settings in it."""

import os
import pathlib
import re
from typing import NamedTuple

import msgspec

from ..interface import SiteTerms
from ..site.load import SiteError, shape
from ..site.settings import site_terms

ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})\Z")
FEWEST = 64  # descriptors that a manager can work with


class Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 0
    sockets: int = 1024


class Known(msgspec.Struct):
    no: int = 0
    items: list[dict] = []


class File(msgspec.Struct):
    """The file itself. Keys that we don't know are for others."""

    name: str
    listen: str
    seed: str
    bulletin: str
    settings: dict
    limits: Limits = msgspec.field(default_factory=Limits)
    known: Known = msgspec.field(default_factory=Known)
    peer_listen: str | None = None
    peers: list[str] = []
    peers_all: str | None = None


class Config(NamedTuple):
    name: str
    listen: tuple
    bulletin: tuple
    known: Known
    sockets: int
    peer_listen: tuple | None
    peers: tuple
    peers_all: tuple | None
    terms: SiteTerms
    packages: tuple  # names, in the order of the terms; so the others
    zones: tuple
    kinds: tuple
    figures: tuple  # names in load reports, as the platform gives them
    idle_close: int  # connections that idle are closed after this


def address(text, file, key):
    match = isinstance(text, str) and ADDRESS.match(text)
    if not match or int(match[2]) > 65_535:
        raise SiteError(file, key, "IPv4 address:port expected")
    return match[1], int(match[2])


def read(file):
    """The Config of a file; SiteError names file and key."""
    try:
        text = pathlib.Path(file).read_bytes()
    except OSError as bad:
        raise SiteError(file, "", f"can't be read: {bad.strerror}") from None
    raw = shape(file, text, File)
    try:
        seed = int(raw.seed, 16)
    except ValueError:
        raise SiteError(file, "seed", "hex digits expected") from None
    top = raw.settings
    try:
        terms = site_terms(top, seed)
        packages, zones = tuple(row["name"] for row in top["classes"]), tuple(top["zones"])
        kinds, figures = tuple(top["flavors"]), tuple(top["loadInfo"]["names"])
        idle = int(top["caps"]["idleCloseMs"] * 10)
    except KeyError as lack:
        raise SiteError(file, f"settings: {lack.args[0]}", "key expected") from None
    except (ValueError, TypeError, IndexError, AttributeError) as bad:
        raise SiteError(file, "settings", f"other values expected ({bad})") from None
    if raw.limits.sockets < FEWEST:
        raise SiteError(file, "limits.sockets", f"{FEWEST} or more expected")
    talk = terms.allowed.peers and raw.peer_listen is not None
    if not 0 <= terms.me < max(terms.peers, 1):
        raise SiteError(file, "settings: me", f"0 to {terms.peers - 1} expected")
    return Config(
        raw.name,
        address(raw.listen, file, "listen"),
        address(raw.bulletin, file, "bulletin"),
        raw.known,
        raw.limits.sockets,
        address(raw.peer_listen, file, "peer_listen") if talk else None,
        tuple(address(peer, file, f"peers.{n}") for n, peer in enumerate(raw.peers)) if talk else (),
        address(raw.peers_all, file, "peers_all") if talk and raw.peers_all else None,
        terms,
        packages,
        zones,
        kinds,
        figures,
        idle,
    )


def from_environment(env=os.environ):
    """(file, Config): BALANCER_CONFIG names the file; the other variables must not contradict it."""
    file = env.get("BALANCER_CONFIG")
    if not file:
        raise SiteError("environment", "BALANCER_CONFIG", "the configuration's path expected")
    found = read(file)
    if listen := env.get("BALANCER_LISTEN"):
        found = found._replace(listen=address(listen, "environment", "BALANCER_LISTEN"))
    return file, found
