"""What goes into a Manager (events, the site's terms) and what comes out (actions). No logic.

Times are whole tenths of a millisecond: clock times where the name ends in _at, spans elsewhere.
Ids (viewings, servers, titles, viewers) stay as the wire gives them.
"""

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """How a tune-in ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHED = "unreached"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    LACKING = "lacking"  # the server does not hold the title, and nothing ran


class ServerStatus(Enum):
    """What the list says of a server."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(Enum):
    """What a listing holds."""

    FULL = "full"
    DELTA = "delta"
    CACHED = "cached"


class NoteKind(Enum):
    """What a note on a playing viewing tells."""

    DELIVERED = "delivered"
    RUNG = "rung"
    LINK = "link"
    UPLINK = "uplink"


class Package(NamedTuple):
    join_target: int
    value: float
    effect: str  # safe, keyed or unsafe
    group: str  # keyed: all, zone or cell
    repeat_window: int
    floor: int
    top: int
    scale: float
    seats: int  # viewings of one title that a manager may hold; 0: any number
    live: bool


class Ladder(NamedTuple):
    kb: tuple  # rate of each rung, kB a second
    worth: tuple  # what each rung earns
    switch_cost: int  # a change of rung costs so much of the package's value
    stall: float  # points lost for each point of the rate missing under 98 in 100
    join: float  # what a further viewer of a live title adds, as a part of the rate


class FleetTerms(NamedTuple):
    cells: int
    racks: int
    slots: tuple  # streams at most, by kind of machine
    kb_per_weight: float
    uplink_kb: float
    guard: float  # servers answer full at this use of the link; 0: never
    note_lag: int
    note_every: int  # 0: no note tells of a link, or of an uplink
    load_names: tuple
    load_by_probe: bool = False  # load reports come with probes only
    weights_known: bool = True  # the list's weights tell sizes; else all are alike


class RuleTerms(NamedTuple):
    drain_grace: int
    warm_up_time: int
    start_capacity: float
    overload_multiple: float
    overload_window: int
    ask_within: int
    free_retries: float  # None where further tune-ins are not rationed
    retry_share: float
    retry_window: int


class Allowed(NamedTuple):
    max_attempts: int
    may_cancel: bool
    may_hold_off: bool
    max_hold_off: int
    may_message_peers: bool
    may_probe: bool
    dial_timeout: int


class Prices(NamedTuple):
    cross_zone: float
    move: float
    late: float
    peer: float
    probe: float = 0.0
    handshake: float = 0.0  # of a new connection


class Goal(NamedTuple):
    """What the site's service figure is made of."""

    overall: float
    worst_window: float
    worst_package: float


class SiteTerms(NamedTuple):
    """What a manager is told of its site when it starts."""

    manager_number: int
    manager_count: int
    zone: int
    seed: int
    packages: tuple
    ladder: Ladder
    fleet: FleetTerms
    rules: RuleTerms
    allowed: Allowed
    prices: Prices
    goal: Goal


class ServerEntry(NamedTuple):
    server: int
    kind: int
    cell: int
    zone: int
    weight: float
    started_at: int  # 0: long ago
    state: ServerStatus


# Events


class ServerListUpdate(NamedTuple):
    kind: ListKind
    entries: tuple


class SessionRequest(NamedTuple):
    id: int
    package: int
    title: int
    viewer: int
    time_left: int
    top_rung: int
    first_cell: int
    cells: int
    expected_length: int  # 0: not known
    was_moved: bool
    is_retry: bool


class TitleUpdate(NamedTuple):
    """What a title is from now on. A title that was never told goes by its request's cells in a row."""

    title: int
    holders: frozenset | None  # servers that new set-ups may go to; None: forget what was told
    lowest_rung: int  # rungs that exist for it, without a gap
    highest_rung: int
    seats: tuple  # (package, seats) where they differ from the package's own


class PeakReservations(NamedTuple):
    """Room kept for viewings of these titles, from now until it is told anew."""

    reserved_kb: dict  # server: kB a second of its link, what they use of it already included
    titles: dict  # title: the rung that room is kept for
    packages: dict  # the same for all titles of a package


class SeatReservations(NamedTuple):
    """Seats that viewings may take which are not held yet, from now until it is told anew."""

    seats: dict  # (title, package): claims that are out there
    servers: frozenset  # those that may play what an earlier life of this instance left, and did not say yet


class TermsChanged(NamedTuple):
    """Other terms from now on. Packages, kinds and zones keep their numbers; new ones come after them."""

    terms: SiteTerms


class SessionHandedOver(NamedTuple):
    request: SessionRequest
    server: int
    age: int = 1 << 60  # how long it has played there; not told: long


class AttemptSucceeded(NamedTuple):
    id: int
    nth: int
    server: int
    duration: int


class PlaybackNote(NamedTuple):
    id: int
    nth: int
    server: int
    kind: NoteKind
    amount: float


class AttemptEnded(NamedTuple):
    id: int
    nth: int
    server: int
    outcome: Outcome
    duration: int
    session_over: bool
    load: tuple  # as FleetTerms.load_names; empty: none came


class ClientLeft(NamedTuple):
    id: int


class TimerFired(NamedTuple):
    token: int


class ProbeEnded(NamedTuple):
    server: int
    outcome: Outcome
    duration: int
    load: tuple


class PeerLoadChange(NamedTuple):
    """Another manager asks so much more (or less) of a server."""

    peer: int
    server: int
    kb: float


# Actions


class TuneIn(NamedTuple):
    id: int
    server: int
    expire_at: int


class SetRung(NamedTuple):
    id: int
    rung: int


class Block(NamedTuple):
    id: int
    hold_off: int


class Abort(NamedTuple):
    id: int


class CallOff(NamedTuple):
    id: int
    nth: int


class Move(NamedTuple):
    id: int


class Remind(NamedTuple):
    token: int
    after: int


class Probe(NamedTuple):
    server: int


class TellPeers(NamedTuple):
    """Tells all other managers that we ask so much more (or less) of a server."""

    server: int
    kb: float


class Log(NamedTuple):
    text: str
