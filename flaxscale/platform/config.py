"""The configuration that the platform provides: environment variables, one JSON file and the settings in it."""

import os
import pathlib
import re
from typing import NamedTuple

import msgspec

from ..interface import SiteTerms
from ..serve.clock import MILLISECOND
from ..site.load import SiteError, decode_as
from ..site.settings import site_terms

ADDRESS_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})\Z")
DESCRIPTORS_MIN = 64  # a manager needs at least so many


class Limits(msgspec.Struct):
    """Resource limits of the process."""

    cores: float = 1.0
    memory_mb: float = 0
    sockets: int = 1024


class Known(msgspec.Struct):
    """Bulletin events up to number `no` that the file brings along."""

    no: int = 0
    items: list[dict] = []


class File(msgspec.Struct):
    """The configuration file. Unknown keys are ignored; they are meant for other programs."""

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
    """The checked configuration."""

    name: str
    listen: tuple
    bulletin: tuple
    known: Known
    sockets: int
    peer_listen: tuple | None
    peers: tuple
    peers_all: tuple | None
    terms: SiteTerms
    packages: tuple  # names by number, in the order of the terms
    zones: tuple  # names by number
    kinds: tuple  # names by number
    load_names: tuple  # names of the figures in load reports
    idle_timeout: int  # idle connections are closed after this, in tenths of a millisecond
    longest_deadline: int  # of all classes, in tenths of a millisecond
    configured_listen: tuple  # from the file; the environment may override it in `listen`
    peer_numbers: dict  # address -> number of that manager


def address(text, file, key):
    """(host, port) of an IPv4 address:port text; SiteError names file and key."""
    match = isinstance(text, str) and ADDRESS_PATTERN.match(text)
    if not match or int(match[2]) > 65_535:
        raise SiteError(file, key, "IPv4 address:port expected")
    return match[1], int(match[2])


def read(file):
    """Reads a configuration file; SiteError names file and key."""
    try:
        text = pathlib.Path(file).read_bytes()
    except OSError as error:
        raise SiteError(file, "", f"can't be read: {error.strerror}") from None
    raw = decode_as(file, text, File)
    try:
        seed = int(raw.seed, 16)
    except ValueError:
        raise SiteError(file, "seed", "hex digits expected") from None
    settings = raw.settings
    try:
        terms = site_terms(settings, seed)
        packages, zones = tuple(row["name"] for row in settings["classes"]), tuple(settings["zones"])
        kinds, load_names = tuple(settings["flavors"]), tuple(settings["loadInfo"]["names"])
        idle_timeout = int(settings["caps"]["idleCloseMs"] * MILLISECOND)
        longest_deadline = max(int(row["deadlineMs"] * MILLISECOND) for row in settings["classes"])
    except KeyError as error:
        raise SiteError(file, f"settings: {error.args[0]}", "key expected") from None
    except (ValueError, TypeError, IndexError, AttributeError) as error:
        raise SiteError(file, "settings", f"invalid value ({error})") from None
    if raw.limits.sockets < DESCRIPTORS_MIN:
        raise SiteError(file, "limits.sockets", f"{DESCRIPTORS_MIN} or more expected")
    peers_enabled = terms.allowed.may_message_peers and raw.peer_listen is not None
    if not 0 <= terms.manager_number < max(terms.manager_count, 1):
        raise SiteError(file, "settings: me", f"0 to {terms.manager_count - 1} expected")
    listen = address(raw.listen, file, "listen")
    peers = tuple(address(peer, file, f"peers.{n}") for n, peer in enumerate(raw.peers)) if peers_enabled else ()
    return Config(
        raw.name,
        listen,
        address(raw.bulletin, file, "bulletin"),
        raw.known,
        raw.limits.sockets,
        address(raw.peer_listen, file, "peer_listen") if peers_enabled else None,
        peers,
        address(raw.peers_all, file, "peers_all") if peers_enabled and raw.peers_all else None,
        terms,
        packages,
        zones,
        kinds,
        load_names,
        idle_timeout,
        longest_deadline,
        listen,
        {peer: number for number, peer in enumerate(peers)},
    )


def reload(file, old):
    """Reads a replaced configuration file for a running manager; all names keep their numbers.

    Playing sessions refer to class, rendition, kind and zone by number. New names are therefore numbered after the old
    ones, and a name that was removed keeps its previous terms.
    """
    loaded = read(file)
    for key, new_value, old_value in (
        ("listen", loaded.configured_listen, old.configured_listen),
        ("settings: me", loaded.terms.manager_number, old.terms.manager_number),
        ("settings: peersTotal", loaded.terms.manager_count, old.terms.manager_count),
        ("settings: specifics: levelKb", len(loaded.terms.ladder.kb), len(old.terms.ladder.kb)),
    ):
        if new_value != old_value:
            raise SiteError(file, key, "must not change while the manager runs")
    packages, rows = merge_rows(old.packages, old.terms.packages, loaded.packages, loaded.terms.packages)
    kinds, slots = merge_rows(old.kinds, old.terms.fleet.slots, loaded.kinds, loaded.terms.fleet.slots)
    zones, _ = merge_rows(old.zones, old.zones, loaded.zones, loaded.zones)
    own_zone = loaded.terms.zone
    zone = zones.index(loaded.zones[own_zone]) if own_zone < len(loaded.zones) else own_zone
    fleet = loaded.terms.fleet._replace(slots=slots)
    terms = loaded.terms._replace(packages=rows, fleet=fleet, zone=zone, seed=old.terms.seed)
    return loaded._replace(listen=old.listen, packages=packages, kinds=kinds, zones=zones, terms=terms)


def merge_rows(old_names, old_rows, new_names, new_rows):
    """(names, rows): old names first, each with its new row if there is one, then the new names."""
    rows = dict(zip(old_names, old_rows)) | dict(zip(new_names, new_rows))
    return tuple(rows), tuple(rows.values())


def file_version(file):
    """A value that changes when the file is replaced or written; None if there is no file."""
    try:
        status = os.stat(file)
    except OSError:
        return None
    return status.st_ino, status.st_mtime_ns, status.st_size


def from_environment(env=os.environ):
    """(file, Config) from BALANCER_CONFIG, with the listening address of BALANCER_LISTEN where that is set."""
    file = env.get("BALANCER_CONFIG")
    if not file:
        raise SiteError("environment", "BALANCER_CONFIG", "the configuration's path expected")
    loaded = read(file)
    if listen := env.get("BALANCER_LISTEN"):
        loaded = loaded._replace(listen=address(listen, "environment", "BALANCER_LISTEN"))
    return file, loaded
