"""Compares the managers' accounts with the boxes' records: who acted under which stamp. Imports neither side's code.

The two sides share no code path. A box records with each set-up, claim and order the stamp number of the request; a
manager records each action with its stamp number. Clocks of machines aren't compared: rows are joined by the action's
key, and order is taken from one manager's account alone. An action that one side lacks is `unknown` where that side may
have lost it (its account dropped rows or ends earlier, or the whole stamp never arrived), and a contradiction
otherwise. A version floor holds at a box from the row that records it, also after restarts: an action that the box
allowed after that row under a lower version is `under floor`, in the order of the box's own file.
"""

import json
import pathlib
from collections import Counter, defaultdict
from typing import NamedTuple

BOX_ACTIONS = {"setup": "setup", "adopted": "claim", "ordered": "order"}


class Finding(NamedTuple):
    """One disagreement, or one action that can't be verified."""

    what: str  # no stamp, contradiction, back, under floor, unknown
    manager: str
    key: str
    detail: str


class AuditResult(NamedTuple):
    """The outcome of an audit."""

    findings: list
    agreed: int  # actions on which both sides agree
    actions: int  # actions that boxes recorded
    stamps: dict  # (manager, life): {number: its fields}

    def violations(self):
        """Returns the findings other than `unknown`."""
        return [finding for finding in self.findings if finding.what != "unknown"]

    def line(self):
        """Returns the summary in one line."""
        counts = Counter(finding.what for finding in self.findings)
        listed = ", ".join(f"{what} {n}" for what, n in sorted(counts.items()))
        return f"{self.actions} actions at boxes, {self.agreed} agree with the managers' accounts" + (
            f"; {listed}" if listed else ""
        )


class Account:
    """The account of one life of a manager."""

    def __init__(self):
        self.actions, self.stamps, self.dropped, self.last_number, self.regressions = {}, {}, False, None, []

    def add(self, row):
        """Takes one row of the account."""
        if row["what"] == "dropped":
            self.dropped = True
        elif row["what"] == "stamp":
            self.stamps[row["number"]] = row["stamp"]
        else:
            if self.last_number is not None and row["number"] < self.last_number:
                self.regressions.append((row["key"], row["number"], self.last_number))
            self.last_number = max(self.last_number or 0, row["number"])
            # An order may be sent again, under another stamp: all its numbers are kept.
            self.actions.setdefault((ACTION_OF_KIND.get(row["kind"], row["kind"]), row["key"]), []).append(
                row["number"]
            )

    def may_lack(self, number):
        """Returns whether rows under this stamp may be missing: dropped, or after the end of the account."""
        return self.dropped or number >= (self.last_number or 0)


ACTION_OF_KIND = {"end": "order", "rung": "order"}
DONE_ONCE = {"setup"}  # claims and orders may be repeated under later stamps, whose rows may be missing


def read_rows(file):
    """Returns the rows of a file, without lines that aren't JSON."""
    rows = []
    for line in file.read_bytes().split(b"\n"):
        try:
            rows.append(json.loads(line))
        except ValueError:
            continue  # the incomplete last line of a killed process
    return rows


def read_accounts(folder):
    """Returns {(manager, life): Account} of account-*.jsonl."""
    lives = {}
    for file in sorted(folder.glob("account-*.jsonl")):
        account = None
        for row in read_rows(file):
            if row["what"] == "life":
                account = lives.setdefault((row["manager"], row["life"]), Account())
            elif account is not None:
                account.add(row)
    return lives


def read_box_actions(files):
    """Returns ([(kind, manager, life, key, number)], {(manager, life): {number: [stamps]}}) of the boxes' records.

    files: {name: rows}, one file per start of a box.
    """
    actions, whole_stamps = [], defaultdict(lambda: defaultdict(list))
    for rows in files.values():
        for row in rows:
            if row["what"] == "stamp":
                whole_stamps[row["manager"], row["life"]][row["number"]].append(row["stamp"])
            elif row["what"] in BOX_ACTIONS and row.get("manager"):
                for key in row.get("keys") or [row["key"]]:
                    actions.append(
                        (BOX_ACTIONS[row["what"]], row["manager"], row.get("life", ""), key, row.get("stamp"))
                    )
    return actions, whole_stamps


class BoxFloor:
    """A box's version floor by its own records, across its starts."""

    def __init__(self):
        self.epoch, self.floor, self.earlier = "", 0, set()

    def add(self, row):
        """Takes a floor row. Within an epoch the floor never falls, whatever a later start records."""
        if row["epoch"] != self.epoch:
            self.earlier = {*self.earlier, self.epoch, *row["earlier"]} - {"", row["epoch"]}
            self.epoch, self.floor = row["epoch"], 0
        self.floor = max(self.floor, row["floor"])

    def is_below(self, stamp):
        """Returns whether this stamp is below the floor; None where that is unknown."""
        if not self.floor:
            return False
        if stamp is None:
            return None
        if stamp["catalogue"] is None:
            return True
        epoch, version = stamp["catalogue"]
        return version < self.floor if epoch == self.epoch else epoch in self.earlier


def box_starts(files):
    """Returns [(box, file name, rows)] of all starts of boxes, ordered by box and time."""
    first = {name: next((row for row in rows if row["what"] == "start"), None) for name, rows in files.items()}
    return [
        (start["box"], name, files[name])
        for name, start in sorted(
            first.items(), key=lambda item: (item[1]["box"], item[1]["at"]) if item[1] else (0, 0)
        )
        if start
    ]


def floor_breaches(files, stamps):
    """Returns findings for actions that boxes allowed below their floor."""
    out, floors = [], defaultdict(BoxFloor)
    for box, name, rows in box_starts(files):
        box_floor, setups = floors[box], {}

        def check_action(row, kind, keys, box_floor=box_floor, at=f"box {box} ({name})"):
            stamp = stamps.get((row["manager"], row.get("life", "")), {}).get(row.get("stamp"))
            found = box_floor.is_below(stamp)
            what = "unknown" if found is None and row.get("stamp") is not None else "under floor"
            for key in keys if found is not False else ():
                out.append(
                    Finding(
                        what,
                        row["manager"],
                        key,
                        f"{kind} at {at} under stamp {row.get('stamp')}, "
                        f"catalogue {stamp and stamp['catalogue']}; "
                        f"its floor was {box_floor.floor} of {box_floor.epoch}",
                    )
                )

        for row in rows:
            if row["what"] == "floor":
                box_floor.add(row)
            elif row["what"] == "setup" and row.get("manager"):
                # Judged by the floor at its arrival, which may rise while the set-up runs.
                setups[row["key"]] = row, box_floor.epoch, box_floor.floor
            elif row["what"] == "answer" and row["status"] == 201 and row["key"] in setups:
                setup, epoch, floor = setups[row["key"]]
                if (epoch, floor) == (box_floor.epoch, box_floor.floor):
                    check_action(setup, "setup", [row["key"]])
            elif row["what"] == "adopted":
                check_action(row, "claim", [row["key"]])
            elif row["what"] == "ordered":
                check_action(row, "rung", row.get("rungs", ()))
    return out


def judge(folder, account_folder=None):
    """Compares the boxes' records in a folder with the managers' accounts there or in account_folder."""
    files = {file.name: read_rows(file) for file in sorted(pathlib.Path(folder).glob("box-*.jsonl"))}
    lives, (actions, whole_stamps) = read_accounts(pathlib.Path(account_folder or folder)), read_box_actions(files)
    findings, agreed, stamps = [], 0, {}
    for manager, life in sorted({*lives, *whole_stamps}):
        account = lives.get((manager, life))
        box_stamps = {number: rows for number, rows in whole_stamps.get((manager, life), {}).items()}
        for number, rows in sorted(box_stamps.items()):
            copies = [*rows, *([account.stamps[number]] if account and number in account.stamps else [])]
            if any(copy != copies[0] for copy in copies):
                findings.append(
                    Finding(
                        "contradiction", manager, f"stamp {number}", f"recorded with different contents: {copies[:2]}"
                    )
                )
        stamps[manager, life] = {
            **{number: rows[0] for number, rows in box_stamps.items()},
            **(account.stamps if account else {}),
        }
        for key, number, before in account.regressions if account else ():
            findings.append(Finding("back", manager, key, f"done under stamp {number} after {before} in life {life}"))
    findings += floor_breaches(files, stamps)
    for kind, manager, life, key, number in actions:
        account = lives.get((manager, life))
        if number is None:
            findings.append(Finding("no stamp", manager, key, f"{kind} of life {life or '?'} came without one"))
        elif account is None:
            findings.append(Finding("unknown", manager, key, f"{kind} under stamp {number}; no account of life {life}"))
        elif number in account.actions.get((kind, key), ()):
            agreed += 1
        elif (kind, key) in account.actions and (kind in DONE_ONCE or not account.may_lack(number)):
            findings.append(
                Finding(
                    "contradiction",
                    manager,
                    key,
                    f"{kind} under stamp {number} by its box, under {account.actions[kind, key]} by the manager",
                )
            )
        elif account.may_lack(number):
            findings.append(
                Finding(
                    "unknown",
                    manager,
                    key,
                    f"{kind} under stamp {number}; the account of life {life} dropped rows or ends before",
                )
            )
        else:
            findings.append(
                Finding("contradiction", manager, key, f"{kind} under stamp {number} by its box, none by the manager")
            )
    return AuditResult(findings, agreed, len(actions), stamps)
