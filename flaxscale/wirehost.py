"""Runs Managers for the simulator, one for each instance: translates its events and their actions. Makes no decisions.

Started by deploy/balancer.toml. Reads batches of events from standard input and writes a reply to each to standard
output.
"""

import json
import sys

from . import interface, wire
from .decide import Manager
from .site.settings import NOTE_KINDS_BY_NUMBER, PEER_MESSAGE, site_terms, span_tenths, to_tenths

OUTCOMES = {
    0: interface.Outcome.OK,
    13: interface.Outcome.ERROR,
    8: interface.Outcome.FULL,
    4: interface.Outcome.TIMEOUT,
    14: interface.Outcome.UNREACHED,
    10: interface.Outcome.RESET,
    1: interface.Outcome.CANCELLED,
    9: interface.Outcome.MOOT,
}
SERVER_STATUSES = {0: interface.ServerStatus.GONE, 1: interface.ServerStatus.READY, 2: interface.ServerStatus.DRAINING}
LIST_KINDS = {0: None, 1: interface.ListKind.FULL, 2: interface.ListKind.DELTA, 4: interface.ListKind.CACHED}
ALL_PEERS = 0xFFFFFFFF
# Bits of a request's bitmap
MOVED = 8
RETRY = 16
LENGTH_KNOWN = 1


def lookup(table, code, what, offset):
    """The table's value for a code; WireError names an unknown one by what it stands for and its record's offset."""
    if code not in table:
        raise wire.WireError(f"{what} {code} at byte {offset} is unknown")
    return table[code]


def server_entry(row, offset):
    """A list entry of the wire as a ServerEntry."""
    return interface.ServerEntry(
        row["server"],
        row["type"],
        row["slotNo"],
        row["area"],
        row["rating"],
        to_tenths(row["startTimeMs"]),
        lookup(SERVER_STATUSES, row["readiness"], "readiness", offset),
    )


def session_request(row):
    """A request or running session of the wire as a SessionRequest."""
    return interface.SessionRequest(
        row["id"],
        row["priority"],
        row["programme"],
        row["resource"],
        span_tenths(row["graceMs"]),
        round(row["topRung"]),
        round(row["fromCell"]),
        round(row["cellsInRow"]),
        to_tenths(row["workMs"]) if row["bitmap"] & LENGTH_KNOWN else 0,
        bool(row["bitmap"] & MOVED),
        bool(row["bitmap"] & RETRY),
    )


def decode_event(name, row, offset, lists):
    """One record of the wire as an event; None where it has no meaning for a Manager."""
    if name == "knock":
        return session_request(row)
    if name == "preexisting":
        return interface.SessionHandedOver(session_request(row), row["server"])
    if name == "headers":
        return interface.AttemptSucceeded(row["id"], row["copy"], row["server"], to_tenths(row["elapsedMs"]))
    if name == "progress":
        kind = NOTE_KINDS_BY_NUMBER.get(row["sort"])  # unknown kinds of notes are ignored
        return kind and interface.PlaybackNote(row["id"], row["copy"], row["server"], kind, row["amount"])
    if name == "completed":
        return interface.AttemptEnded(
            row["id"],
            row["copy"],
            row["server"],
            lookup(OUTCOMES, row["stateCode"], "outcome", offset),
            to_tenths(row["elapsedMs"]),
            bool(row["ended"]),
            row["usage"],
        )
    if name == "expired":
        return interface.ClientLeft(row["id"])
    if name == "timer":
        return interface.TimerFired(row["tag"])
    if name == "health_result":
        return interface.ProbeEnded(
            row["server"],
            lookup(OUTCOMES, row["stateCode"], "outcome", offset),
            to_tenths(row["elapsedMs"]),
            row["usage"],
        )
    if name == "neighbour_says":
        if len(row["msg"]) != PEER_MESSAGE.size:  # a peer message of another version is ignored
            return None
        return interface.PeerLoadChange(row["from"], *PEER_MESSAGE.unpack(row["msg"]))
    kind = lookup(LIST_KINDS, row["scope"], "list scope", offset)
    if kind is None:  # a request for the list failed, the old list stays valid; with pushed changes none is made
        return None
    if row["setId"] not in lists:
        raise wire.WireError(f"registry at byte {offset} names list {row['setId']}, which was not sent")
    return interface.ServerListUpdate(kind, lists[row["setId"]])


def encode_action(manager_id, action):
    """An action as (name, values) of the wire."""
    if isinstance(action, interface.TuneIn):
        return "attempt", (manager_id, action.id, action.server, action.expire_at / 10)
    if isinstance(action, interface.SetRung):
        return "set_level", (manager_id, action.id, action.rung)
    if isinstance(action, interface.Block):
        return "turn_away", (manager_id, action.id, action.hold_off / 10)
    if isinstance(action, interface.Abort):
        return "lose", (manager_id, action.id)
    if isinstance(action, interface.CallOff):
        return "stop_attempt", (manager_id, action.id, action.nth)
    if isinstance(action, interface.Move):
        return "redirect", (manager_id, action.id)
    if isinstance(action, interface.Remind):
        return "remind", (manager_id, action.token, action.after / 10)
    if isinstance(action, interface.Probe):
        return "inspect", (manager_id, action.server)
    if isinstance(action, interface.TellPeers):
        return "memo_to", (manager_id, ALL_PEERS, PEER_MESSAGE.pack(action.server, action.kb))
    return "log", (manager_id, action.text.encode())


class Host:
    """All instances of one process. They share only the server lists, which the wire numbers."""

    def __init__(self):
        self.managers = {}
        self.lists = {}

    def start(self, row, offset):
        """A Manager with the settings of a new_instance record."""
        try:
            terms = site_terms(json.loads(row["params"]), row["rngSeed"])
        except KeyError as error:
            raise wire.WireError(f"new_instance at byte {offset}: the settings lack the key {error}") from error
        except (ValueError, TypeError, IndexError, AttributeError) as error:
            raise wire.WireError(f"new_instance at byte {offset}: unreadable settings: {error}") from error
        return Manager(terms)

    def batch(self, frame):
        """The reply to one frame."""
        clock, number, records = wire.decode(frame)
        now, actions = to_tenths(clock), []
        for name, row, offset in records:
            if name == "list":
                self.lists[row["setId"]] = tuple(server_entry(entry, offset) for entry in row["items"])
                continue
            manager_id = row["managerId"]
            if name != "new_instance" and manager_id not in self.managers:
                raise wire.WireError(f"{name} at byte {offset} is for instance {manager_id}, which does not exist")
            if name == "crash_now":
                del self.managers[manager_id]
                actions = [action for action in actions if action[1][0] != manager_id]
                continue
            try:
                if name == "new_instance":
                    self.managers[manager_id] = self.start(row, offset)
                    continue
                event = decode_event(name, row, offset, self.lists)
                if event is not None:
                    actions += [
                        encode_action(manager_id, action) for action in self.managers[manager_id].handle(now, event)
                    ]
            except wire.WireError:
                raise
            except Exception as error:  # whatever it is, the simulator's report must name the cause
                actions.append(("give_in", (manager_id, f"{name}: {type(error).__name__}: {error}".encode())))
        return wire.encode(number, actions)


def main():
    host, frame_number = Host(), 0
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := wire.read_frame(source)) is not None:
            sink.write(host.batch(frame))
            sink.flush()
            frame_number += 1
    except wire.WireError as error:
        print(f"wirehost: frame {frame_number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
