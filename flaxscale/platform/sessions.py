"""The record of one session, from its set-up until the runner drops it."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..jsonl.messages import SetupRequest

if TYPE_CHECKING:
    from .clients import ClientConnection
    from .endpoints import Endpoint
    from .server_connection import ServerConnection


@dataclass(slots=True, eq=False)
class Session:
    """One session. `client`: connection of its set-up. `endpoint`, `connection`: server of its attempt or playback."""

    id: int
    call: str
    package: str
    key: str
    desc: str | None
    client: "ClientConnection"
    endpoint: "Endpoint | None" = None
    connection: "ServerConnection | None" = None
    answer: str | None = None  # the server's description, until it is sent to the client
    nth: int = 0  # number of the attempt
    rung: int = 0
    sent_at: int = 0
    expire_at: int = 0


def session_of(setup: SetupRequest, client: "ClientConnection") -> Session:
    """The Session of a set-up that was received on this connection."""
    return Session(setup.id, setup.call, setup.package, setup.key, setup.desc, client)
