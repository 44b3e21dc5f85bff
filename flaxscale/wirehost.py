"""Hosts one Manager an instance on the simulator's wire: wire names to ours and back. Decides nothing.

Started by deploy/balancer.toml: batches on standard input, one reply each on standard output.
"""

import json
import sys

from . import interface, wire
from .decide import Manager
from .site.settings import NOTES, PEER_WORD, site_terms, span, tenths

HOWS = {
    0: interface.Outcome.OK,
    13: interface.Outcome.ERROR,
    8: interface.Outcome.FULL,
    4: interface.Outcome.TIMEOUT,
    14: interface.Outcome.UNREACHED,
    10: interface.Outcome.RESET,
    1: interface.Outcome.CANCELLED,
    9: interface.Outcome.MOOT,
}
STATES = {0: interface.ServerStatus.GONE, 1: interface.ServerStatus.READY, 2: interface.ServerStatus.DRAINING}
LISTS = {0: None, 1: interface.ListKind.FULL, 2: interface.ListKind.DELTA, 4: interface.ListKind.CACHED}
ALL_PEERS = 0xFFFFFFFF
MOVED, AGAIN, HINTED = 8, 16, 1


def known(table, code, what, where):
    if code not in table:
        raise wire.WireError(f"{what} {code} at byte {where} is none that this wire knows")
    return table[code]


def listed(row, where):
    return interface.ServerEntry(
        row["server"],
        row["type"],
        row["slotNo"],
        row["area"],
        row["rating"],
        tenths(row["startTimeMs"]),
        known(STATES, row["readiness"], "readiness", where),
    )


def asked(row):
    return interface.SessionRequest(
        row["id"],
        row["priority"],
        row["programme"],
        row["resource"],
        span(row["graceMs"]),
        round(row["topRung"]),
        round(row["fromCell"]),
        round(row["cellsInRow"]),
        tenths(row["workMs"]) if row["bitmap"] & HINTED else 0,
        bool(row["bitmap"] & MOVED),
        bool(row["bitmap"] & AGAIN),
    )


def event_of(name, row, where, lists):
    """One wire record in our words."""
    if name == "knock":
        return asked(row)
    if name == "preexisting":
        return interface.SessionHandedOver(asked(row), row["server"])
    if name == "headers":
        return interface.AttemptSucceeded(row["id"], row["copy"], row["server"], tenths(row["elapsedMs"]))
    if name == "progress":
        kind = NOTES.get(row["sort"])  # a kind of note that we don't know yet tells us nothing
        return kind and interface.PlaybackNote(row["id"], row["copy"], row["server"], kind, row["amount"])
    if name == "completed":
        return interface.AttemptEnded(
            row["id"],
            row["copy"],
            row["server"],
            known(HOWS, row["stateCode"], "outcome", where),
            tenths(row["elapsedMs"]),
            bool(row["ended"]),
            row["usage"],
        )
    if name == "expired":
        return interface.ClientLeft(row["id"])
    if name == "timer":
        return interface.TimerFired(row["tag"])
    if name == "health_result":
        return interface.ProbeEnded(
            row["server"], known(HOWS, row["stateCode"], "outcome", where), tenths(row["elapsedMs"]), row["usage"]
        )
    if name == "neighbour_says":
        if len(row["msg"]) != PEER_WORD.size:  # a word of another version tells us nothing
            return None
        return interface.PeerLoadChange(row["from"], *PEER_WORD.unpack(row["msg"]))
    kind = known(LISTS, row["scope"], "list scope", where)
    if kind is None:  # a call for the list failed, and the old one stands; none is made where changes are pushed
        return None
    if row["setId"] not in lists:
        raise wire.WireError(f"registry at byte {where} names list {row['setId']}, which never came")
    return interface.ServerListUpdate(kind, lists[row["setId"]])


def wire_action(me, act):
    """One of our actions as the wire names it."""
    if isinstance(act, interface.TuneIn):
        return "attempt", (me, act.id, act.server, act.expire_at / 10)
    if isinstance(act, interface.SetRung):
        return "set_level", (me, act.id, act.rung)
    if isinstance(act, interface.Block):
        return "turn_away", (me, act.id, act.hold_off / 10)
    if isinstance(act, interface.Abort):
        return "lose", (me, act.id)
    if isinstance(act, interface.CallOff):
        return "stop_attempt", (me, act.id, act.nth)
    if isinstance(act, interface.Move):
        return "redirect", (me, act.id)
    if isinstance(act, interface.Remind):
        return "remind", (me, act.token, act.after / 10)
    if isinstance(act, interface.Probe):
        return "inspect", (me, act.server)
    if isinstance(act, interface.TellPeers):
        return "memo_to", (me, ALL_PEERS, PEER_WORD.pack(act.server, act.kb))
    return "log", (me, act.text.encode())


class Host:
    """All instances of one process; they share nothing but the numbered lists of the wire."""

    def __init__(self):
        self.managers = {}
        self.lists = {}

    def start(self, row, where):
        try:
            terms = site_terms(json.loads(row["params"]), row["rngSeed"])
        except KeyError as lack:
            raise wire.WireError(f"new_instance at byte {where}: the settings lack the key {lack}") from lack
        except (ValueError, TypeError, IndexError, AttributeError) as bad:
            raise wire.WireError(f"new_instance at byte {where}: unreadable settings: {bad}") from bad
        return Manager(terms)

    def batch(self, frame):
        """The reply to one frame."""
        clock, number, records = wire.decode(frame)
        now, out = tenths(clock), []
        for name, row, where in records:
            if name == "list":
                self.lists[row["setId"]] = tuple(listed(entry, where) for entry in row["items"])
                continue
            me = row["managerId"]
            if name != "new_instance" and me not in self.managers:
                raise wire.WireError(f"{name} at byte {where} is for instance {me}, which does not exist")
            if name == "crash_now":
                del self.managers[me]
                out = [act for act in out if act[1][0] != me]
                continue
            try:
                if name == "new_instance":
                    self.managers[me] = self.start(row, where)
                    continue
                event = event_of(name, row, where, self.lists)
                if event is not None:
                    out += [wire_action(me, act) for act in self.managers[me].handle(now, event)]
            except wire.WireError:
                raise
            except Exception as fault:  # the day must end with its cause in the report, whatever it was
                out.append(("give_in", (me, f"{name}: {type(fault).__name__}: {fault}".encode())))
        return wire.encode(number, out)


def main():
    host, count = Host(), 0
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := wire.read_frame(source)) is not None:
            sink.write(host.batch(frame))
            sink.flush()
            count += 1
    except wire.WireError as bad:
        print(f"wirehost: frame {count}: {bad}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
