"""The configuration as the platform hands it: environment, one JSON file, and the settings in it."""

import os
import pathlib
import re
from typing import NamedTuple

import msgspec

from ..interface import SiteTerms
from ..serve.clock import MILLISECOND
from ..site.load import SiteError, decode_as
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
    longest_deadline: int  # of all classes
    listen_in_file: tuple  # as the file names it; the environment may name another
    peer_numbers: dict  # address: number of that manager


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
    raw = decode_as(file, text, File)
    try:
        seed = int(raw.seed, 16)
    except ValueError:
        raise SiteError(file, "seed", "hex digits expected") from None
    top = raw.settings
    try:
        terms = site_terms(top, seed)
        packages, zones = tuple(row["name"] for row in top["classes"]), tuple(top["zones"])
        kinds, figures = tuple(top["flavors"]), tuple(top["loadInfo"]["names"])
        idle = int(top["caps"]["idleCloseMs"] * MILLISECOND)
        longest = max(int(row["deadlineMs"] * MILLISECOND) for row in top["classes"])
    except KeyError as lack:
        raise SiteError(file, f"settings: {lack.args[0]}", "key expected") from None
    except (ValueError, TypeError, IndexError, AttributeError) as bad:
        raise SiteError(file, "settings", f"other values expected ({bad})") from None
    if raw.limits.sockets < FEWEST:
        raise SiteError(file, "limits.sockets", f"{FEWEST} or more expected")
    talk = terms.allowed.may_message_peers and raw.peer_listen is not None
    if not 0 <= terms.manager_number < max(terms.manager_count, 1):
        raise SiteError(file, "settings: me", f"0 to {terms.manager_count - 1} expected")
    listen = address(raw.listen, file, "listen")
    peers = tuple(address(peer, file, f"peers.{n}") for n, peer in enumerate(raw.peers)) if talk else ()
    return Config(
        raw.name,
        listen,
        address(raw.bulletin, file, "bulletin"),
        raw.known,
        raw.limits.sockets,
        address(raw.peer_listen, file, "peer_listen") if talk else None,
        peers,
        address(raw.peers_all, file, "peers_all") if talk and raw.peers_all else None,
        terms,
        packages,
        zones,
        kinds,
        figures,
        idle,
        longest,
        listen,
        {peer: number for number, peer in enumerate(peers)},
    )


def reread(file, old):
    """The Config of a file that was replaced under a running manager, whose names keep their numbers.

    What plays is known by the numbers of its class, rendition, kind and zone; so new names come after the old ones,
    and the terms of a name that is no longer there stay those that it had.
    """
    found = read(file)
    for key, now, before in (
        ("listen", found.listen_in_file, old.listen_in_file),
        ("settings: me", found.terms.manager_number, old.terms.manager_number),
        ("settings: peersTotal", found.terms.manager_count, old.terms.manager_count),
        ("settings: specifics: levelKb", len(found.terms.ladder.kb), len(old.terms.ladder.kb)),
    ):
        if now != before:
            raise SiteError(file, key, "the same as at the start of this manager expected")
    packages, rows = merged(old.packages, old.terms.packages, found.packages, found.terms.packages)
    kinds, slots = merged(old.kinds, old.terms.fleet.slots, found.kinds, found.terms.fleet.slots)
    zones, _ = merged(old.zones, old.zones, found.zones, found.zones)
    own_zone = found.terms.zone
    zone = zones.index(found.zones[own_zone]) if own_zone < len(found.zones) else own_zone
    fleet = found.terms.fleet._replace(slots=slots)
    terms = found.terms._replace(packages=rows, fleet=fleet, zone=zone, seed=old.terms.seed)
    return found._replace(listen=old.listen, packages=packages, kinds=kinds, zones=zones, terms=terms)


def merged(old_names, old_rows, new_names, new_rows):
    """(names, rows): the old names first, each with its new row where it has one, then the new ones."""
    rows = dict(zip(old_names, old_rows)) | dict(zip(new_names, new_rows))
    return tuple(rows), tuple(rows.values())


def stamp(file):
    """What changes when a file is replaced or written; None where there is none."""
    try:
        found = os.stat(file)
    except OSError:
        return None
    return found.st_ino, found.st_mtime_ns, found.st_size


def from_environment(env=os.environ):
    """(file, Config): BALANCER_CONFIG names the file; the other variables must not contradict it."""
    file = env.get("BALANCER_CONFIG")
    if not file:
        raise SiteError("environment", "BALANCER_CONFIG", "the configuration's path expected")
    found = read(file)
    if listen := env.get("BALANCER_LISTEN"):
        found = found._replace(listen=address(listen, "environment", "BALANCER_LISTEN"))
    return file, found
