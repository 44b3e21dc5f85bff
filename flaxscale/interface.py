"""Types of the inputs of a Manager (events, the site's terms) and of its outputs (actions). No logic.

Times are whole tenths of a millisecond: clock times where the name ends in _at, durations elsewhere.
Ids (sessions, servers, titles, viewers) stay as the wire gives them.
"""

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """How an attempt, a session or a probe ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error; the attempt may have run
    FULL = "full"  # the server refused for lack of capacity, and nothing ran
    TIMEOUT = "timeout"
    UNREACHED = "unreached"  # the attempt never reached the server, and nothing ran
    RESET = "reset"  # the connection broke
    CANCELLED = "cancelled"
    MOOT = "moot"  # refused or withdrawn before anything ran
    LACKING = "lacking"  # the server does not hold the title, and nothing ran


class ServerStatus(Enum):
    """State of a server in the server list."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(Enum):
    """What a ServerListUpdate contains: the whole list, changes to it, or a whole list from a cache."""

    FULL = "full"
    DELTA = "delta"
    CACHED = "cached"


class NoteKind(Enum):
    """What a PlaybackNote reports: the share of the rate delivered, the rung, or the use of a link or uplink."""

    DELIVERED = "delivered"
    RUNG = "rung"
    LINK = "link"
    UPLINK = "uplink"


class Package(NamedTuple):
    """A service class of sessions."""

    join_target: int  # startup target: an answer after it earns nothing
    value: float
    effect: str  # of repeating an attempt that may have run: safe, keyed or unsafe
    group: str  # keyed: the servers among which a repeat is safe: all, zone or cell
    repeat_window: int  # keyed: how long after the attempt a repeat is safe
    floor: int  # lowest rung
    top: int  # highest rung
    scale: float  # factor on the ladder's rates
    seats: int  # sessions of one title that a manager may hold; 0: any number
    live: bool


class Ladder(NamedTuple):
    """The rungs (renditions) of the site."""

    kb: tuple  # rate of each rung, kB a second
    worth: tuple  # value of each rung, relative to the package's value
    switch_cost: int  # cost of a rung change, as time at the package's full value
    stall: float  # points lost for each point of the rate missing below 98 %
    join: float  # load of each further viewer of a live stream, as a share of the stream's rate


class FleetTerms(NamedTuple):
    """Properties of the streaming servers."""

    cells: int
    racks: int
    slots: tuple  # maximum number of streams, by kind of machine
    kb_per_weight: float  # link capacity for each unit of weight, kB a second
    uplink_kb: float  # capacity of a rack's uplink, kB a second
    guard: float  # servers answer full at this use of the link; 0: never
    note_lag: int  # age of the figures in a note
    note_every: int  # interval of notes on links and uplinks; 0: there are none
    load_names: tuple  # names of the figures in a load report, in their order
    load_by_probe: bool = False  # load reports come with probes only
    weights_known: bool = True  # weights in the server list give link sizes; else the slots of a kind do


class RuleTerms(NamedTuple):
    """Rules of the site that decisions must keep to. The retry fields are None where retries are not limited."""

    drain_grace: int  # attempts are tolerated so long after a server is listed as draining or gone
    warm_up_time: int  # a server is cold so long after its start
    start_capacity: float  # share of its pace and of its link that a cold server has at its start
    overload_multiple: float  # attempts above this multiple of its pace overload a cold server
    overload_window: int  # attempts to a cold server are counted over this time
    ask_within: int  # not used by the decisions
    free_retries: float  # retries that every window allows
    retry_share: float  # further retries that a window allows for each session request in it
    retry_window: int


class Allowed(NamedTuple):
    """Which actions the site permits a manager."""

    max_attempts: int  # for each session request
    may_cancel: bool  # CallOff
    may_hold_off: bool  # Block with a hold-off
    max_hold_off: int
    may_message_peers: bool  # TellPeers
    may_probe: bool  # Probe
    dial_timeout: int  # of a new connection to a server


class Prices(NamedTuple):
    """Costs of actions and events."""

    cross_zone: float  # of a session at a server of another zone
    move: float
    late: float  # of a failure that is answered late
    peer: float  # of 256 bytes of peer messages
    probe: float = 0.0
    handshake: float = 0.0  # of a new connection


class Goal(NamedTuple):
    """Weights of the parts of the site's service figure."""

    overall: float
    worst_window: float
    worst_package: float


class SiteTerms(NamedTuple):
    """The configuration of a manager and its site."""

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
    """One row of the server list."""

    server: int
    kind: int  # of machine
    cell: int
    zone: int
    weight: float
    started_at: int  # 0: long ago
    state: ServerStatus


# Events


class ServerListUpdate(NamedTuple):
    """The server list, or changes to it."""

    kind: ListKind
    entries: tuple


class SessionRequest(NamedTuple):
    """A viewer's request for a session. It gets exactly one answer."""

    id: int
    package: int
    title: int
    viewer: int
    time_left: int  # to the deadline of the answer
    top_rung: int  # highest rung that the viewer can use
    first_cell: int  # where no catalogue lists the title, its holders are the servers of this cell ...
    cells: int  # ... and of those after it, so many in all
    expected_length: int  # of the session; 0: not known
    was_moved: bool
    is_retry: bool  # the viewer repeats a request that failed


class TitleUpdate(NamedTuple):
    """A title's row of the catalogue. Of a title without a row, the cells in the request name the holders."""

    title: int
    holders: frozenset | None  # servers that new attempts may go to; None: the row is removed
    lowest_rung: int  # every rung from this one to the highest exists
    highest_rung: int
    seats: tuple  # (package, seats) where they differ from the package's own


class PeakReservations(NamedTuple):
    """Capacity reserved for sessions of announced peaks. Replaces the previous reservations."""

    reserved_kb: dict  # server: kB a second of its link, including what those sessions use already
    titles: dict  # title: the rung that capacity is reserved for
    packages: dict  # the same for all titles of a package


class SeatReservations(NamedTuple):
    """Seats reserved for sessions that this manager may be granted. Replaces the previous reservations."""

    seats: dict  # (title, package): number of pending claims
    servers: frozenset  # may still play sessions of an earlier run of this manager, and have not reported yet


class TermsChanged(NamedTuple):
    """New terms for a running manager. Packages, kinds and zones keep their numbers; new ones come after them."""

    terms: SiteTerms


class SessionHandedOver(NamedTuple):
    """A session that plays already and is this manager's from now on."""

    request: SessionRequest
    server: int
    age: int = 1 << 60  # how long it has played there; where that is not known, long


class AttemptSucceeded(NamedTuple):
    """An attempt became a playing session."""

    id: int
    nth: int  # number of the attempt, from 0
    server: int
    duration: int


class PlaybackNote(NamedTuple):
    """A server's report on a playing session."""

    id: int
    nth: int
    server: int
    kind: NoteKind
    amount: float


class AttemptEnded(NamedTuple):
    """An attempt failed, or a playing session ended."""

    id: int
    nth: int
    server: int
    outcome: Outcome
    duration: int
    session_over: bool  # no further attempt may follow
    load: tuple  # figures in the order of FleetTerms.load_names; empty: no report came


class ClientLeft(NamedTuple):
    """The client left before its answer."""

    id: int


class TimerFired(NamedTuple):
    """The time of a Remind has come."""

    token: int


class ProbeEnded(NamedTuple):
    """A probe was answered or failed."""

    server: int
    outcome: Outcome
    duration: int
    load: tuple  # as that of AttemptEnded


class PeerLoadChange(NamedTuple):
    """Another manager's load on a server grew, or fell where kb is negative."""

    peer: int
    server: int
    kb: float


# Actions


class TuneIn(NamedTuple):
    """Starts an attempt, which times out at expire_at."""

    id: int
    server: int
    expire_at: int


class SetRung(NamedTuple):
    """Sets the rung of a playing session, or of the next attempt."""

    id: int
    rung: int


class Block(NamedTuple):
    """Answers a request with a refusal that the viewer may repeat after hold_off; 0: no advice."""

    id: int
    hold_off: int


class Abort(NamedTuple):
    """Answers a request with a failure."""

    id: int


class CallOff(NamedTuple):
    """Cancels a pending attempt."""

    id: int
    nth: int


class Move(NamedTuple):
    """Ends a playing session, so that its viewer asks again."""

    id: int


class Remind(NamedTuple):
    """Starts a timer that ends in TimerFired with this token."""

    token: int
    after: int


class Probe(NamedTuple):
    """Asks a server for its load."""

    server: int


class TellPeers(NamedTuple):
    """Reports to all other managers that this one's load on a server grew, or fell where kb is negative."""

    server: int
    kb: float


class Log(NamedTuple):
    """Writes a line to the log."""

    text: str
