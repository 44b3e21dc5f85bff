"""Joins the managers' own accounts with what boxes saw: who acted under which stamp. Imports neither side's code.

Two accounts that share no code path: a box writes with each set-up, claim and order the stamp's number that came with
it; a manager writes what it did under which. Machines' clocks aren't compared: a number is joined by the action's name,
and order is that of one manager's own account. What one side lacks is `unknown` where that side may have lost it (its
account dropped rows or ends before; the whole of a stamp never came) and a contradiction where it can't have.
"""
import json
import pathlib
from collections import Counter, defaultdict
from typing import NamedTuple

WITNESSED = {"setup": "setup", "adopted": "claim", "ordered": "order"}


class Finding(NamedTuple):
    what: str                   # no stamp, contradiction, back, unknown
    manager: str
    key: str
    detail: str


class Judged(NamedTuple):
    findings: list
    agreed: int                 # actions on which both accounts say the same
    actions: int                # that boxes saw
    stamps: dict                # (manager, life): {number: its fields}

    def bad(self):
        return [f for f in self.findings if f.what != "unknown"]

    def line(self):
        counts = Counter(f.what for f in self.findings)
        told = ", ".join(f"{what} {n}" for what, n in sorted(counts.items()))
        return f"{self.actions} actions at boxes, {self.agreed} agree with the managers' accounts" + (
            f"; {told}" if told else "")


class Own:
    """One life of a manager by its own account."""

    def __init__(self):
        self.did, self.stamps, self.dropped, self.last, self.back = {}, {}, False, None, []

    def take(self, row):
        if row["what"] == "dropped":
            self.dropped = True
        elif row["what"] == "stamp":
            self.stamps[row["number"]] = row["stamp"]
        else:
            if self.last is not None and row["number"] < self.last:
                self.back.append((row["key"], row["number"], self.last))
            self.last = max(self.last or 0, row["number"])
            # An order may be sent again: each number under which it was counts.
            self.did.setdefault((KINDS.get(row["kind"], row["kind"]), row["key"]), []).append(row["number"])


KINDS = {"end": "order", "rung": "order"}


def rows_of(file):
    out = []
    for line in file.read_bytes().split(b"\n"):
        try:
            out.append(json.loads(line))
        except ValueError:
            continue            # a killed process's last line
    return out


def accounts(folder):
    """{(manager, life): Own} of account-*.jsonl."""
    lives = {}
    for file in sorted(folder.glob("account-*.jsonl")):
        own = None
        for row in rows_of(file):
            if row["what"] == "life":
                own = lives.setdefault((row["manager"], row["life"]), Own())
            elif own is not None:
                own.take(row)
    return lives


def witnesses(folder):
    """([(kind, manager, life, key, number)], {(manager, life): {number: [wholes]}}) of what boxes wrote."""
    seen, wholes = [], defaultdict(lambda: defaultdict(list))
    for file in sorted(folder.glob("box-*.jsonl")):
        for row in rows_of(file):
            if row["what"] == "stamp":
                wholes[row["manager"], row["life"]][row["number"]].append(row["stamp"])
            elif row["what"] in WITNESSED and row.get("manager"):
                for key in row.get("keys") or [row["key"]]:
                    seen.append((WITNESSED[row["what"]], row["manager"], row.get("life", ""), key, row.get("stamp")))
    return seen, wholes


def judge(folder):
    folder = pathlib.Path(folder)
    lives, (seen, wholes) = accounts(folder), witnesses(folder)
    findings, agreed, stamps = [], 0, {}
    for manager, life in sorted({*lives, *wholes}):
        own = lives.get((manager, life))
        told = {n: rows for n, rows in wholes.get((manager, life), {}).items()}
        for number, rows in sorted(told.items()):
            said = [*rows, *([own.stamps[number]] if own and number in own.stamps else [])]
            if any(one != said[0] for one in said):
                findings.append(Finding("contradiction", manager, f"stamp {number}", f"told in two ways: {said[:2]}"))
        stamps[manager, life] = {**{n: rows[0] for n, rows in told.items()}, **(own.stamps if own else {})}
        for key, number, before in own.back if own else ():
            findings.append(Finding("back", manager, key, f"done under stamp {number} after {before} in life {life}"))
    for kind, manager, life, key, number in seen:
        own = lives.get((manager, life))
        if number is None:
            findings.append(Finding("no stamp", manager, key, f"{kind} of life {life or '?'} came without one"))
        elif own is None:
            findings.append(Finding("unknown", manager, key, f"{kind} under stamp {number}; no account of life {life}"))
        elif number in own.did.get((kind, key), ()):
            agreed += 1
        elif (kind, key) in own.did:
            findings.append(Finding("contradiction", manager, key, f"{kind} under stamp {number} by its box, under "
                                    f"{own.did[kind, key]} by the manager"))
        elif own.dropped or number >= (own.last or 0):
            findings.append(Finding("unknown", manager, key, f"{kind} under stamp {number}; the account of life {life} "
                                    "dropped rows or ends before"))
        else:
            findings.append(Finding("contradiction", manager, key, f"{kind} under stamp {number} by its box, none by "
                                    "the manager"))
    return Judged(findings, agreed, len(seen), stamps)
