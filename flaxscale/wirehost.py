"""Hosts one Manager an instance on the simulator's wire: wire names to ours and back. Decides nothing.

Started by deploy/balancer.toml: batches on standard input, one reply each on standard output.
"""

import json
import sys

from . import interface as face
from . import wire
from .decide import Manager
from .site.settings import NOTES, PEER_WORD, site_terms, span, tenths

HOWS = {
    0: face.How.OK,
    13: face.How.ERROR,
    8: face.How.FULL,
    4: face.How.TIMEOUT,
    14: face.How.UNREACHED,
    10: face.How.RESET,
    1: face.How.CANCELLED,
    9: face.How.MOOT,
}
STATES = {0: face.State.GONE, 1: face.State.READY, 2: face.State.DRAINING}
LISTS = {0: None, 1: face.ListKind.FULL, 2: face.ListKind.DELTA, 4: face.ListKind.CACHED}
ALL_PEERS = 0xFFFFFFFF
MOVED, AGAIN, HINTED = 8, 16, 1


def known(table, code, what, where):
    if code not in table:
        raise wire.WireError(f"{what} {code} at byte {where} is none that this wire knows")
    return table[code]


def listed(row, where):
    return face.Listed(
        row["server"],
        row["type"],
        row["slotNo"],
        row["area"],
        row["rating"],
        tenths(row["startTimeMs"]),
        known(STATES, row["readiness"], "readiness", where),
    )


def asked(row):
    return face.Asked(
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
        return face.HandedOver(asked(row), row["server"])
    if name == "headers":
        return face.Begun(row["id"], row["copy"], row["server"], tenths(row["elapsedMs"]))
    if name == "progress":
        kind = NOTES.get(row["sort"])  # a kind of note that we don't know yet tells us nothing
        return kind and face.Note(row["id"], row["copy"], row["server"], kind, row["amount"])
    if name == "completed":
        return face.Ended(
            row["id"],
            row["copy"],
            row["server"],
            known(HOWS, row["stateCode"], "outcome", where),
            tenths(row["elapsedMs"]),
            bool(row["ended"]),
            row["usage"],
        )
    if name == "expired":
        return face.Left(row["id"])
    if name == "timer":
        return face.Alarm(row["tag"])
    if name == "health_result":
        return face.Probed(
            row["server"], known(HOWS, row["stateCode"], "outcome", where), tenths(row["elapsedMs"]), row["usage"]
        )
    if name == "neighbour_says":
        if len(row["msg"]) != PEER_WORD.size:  # a word of another version tells us nothing
            return None
        return face.PeerSays(row["from"], *PEER_WORD.unpack(row["msg"]))
    kind = known(LISTS, row["scope"], "list scope", where)
    if kind is None:  # a call for the list failed, and the old one stands; none is made where changes are pushed
        return None
    if row["setId"] not in lists:
        raise wire.WireError(f"registry at byte {where} names list {row['setId']}, which never came")
    return face.Listing(kind, lists[row["setId"]])


def wire_action(me, act):
    """One of our actions as the wire names it."""
    if isinstance(act, face.TuneIn):
        return "attempt", (me, act.id, act.server, act.expire_at / 10)
    if isinstance(act, face.SetRung):
        return "set_level", (me, act.id, act.rung)
    if isinstance(act, face.Block):
        return "turn_away", (me, act.id, act.hold_off / 10)
    if isinstance(act, face.Abort):
        return "lose", (me, act.id)
    if isinstance(act, face.CallOff):
        return "stop_attempt", (me, act.id, act.nth)
    if isinstance(act, face.Move):
        return "redirect", (me, act.id)
    if isinstance(act, face.Remind):
        return "remind", (me, act.token, act.after / 10)
    if isinstance(act, face.Probe):
        return "inspect", (me, act.server)
    if isinstance(act, face.TellPeers):
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
