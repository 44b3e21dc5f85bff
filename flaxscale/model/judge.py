"""The rules as a play in virtual time shows them, and what the play came to: for the hunt.

Judged from what passes between the parts of the model, not from what a manager believes: `Judge` stands around a few
of the play's own calls. Rules 2 (for packages that are unsafe) and 6 need pushes and rations, which days of the model
lack.
"""

from collections import Counter, defaultdict

import msgspec

from .. import interface
from ..hunt import space
from ..hunt.marks import marks_of
from ..hunt.search import Outcome
from ..rules.comeback import RECOVERY_TIME_S, judge_recovery
from .duties import SERVICE
from .play import SECOND, Play

SLACK = 500  # as the checker of sockets has it
BOUND_EVERY = 2  # seconds between two at which the bound is worked out
KNOWN = 80_000  # a death is known and claimed within this, where nothing else is wrong
ORPHANS = 50_000  # and what nobody holds is over so long after its lease
SAID = 3  # breaks of one kind that are told in words


class Judge:
    """Stands around one Play from before it begins."""

    def __init__(self, play):
        self.play, self.breaks, self.out, self.answers = play, [], Counter(), Counter()
        self.told = defaultdict(dict)  # manager: {box: since when it was told that it drains or is gone}
        self.grace = round(play.day.site.rules.drain_grace_ms * 10)
        play.tap = self.tap
        for manager in play.managers:
            manager.runner.observer = self.tap
        self.around("set_up", self.set_up)
        self.around("score", self.score)
        self.arrivals, self.told_start = defaultdict(list), {}
        self.around("full_list", self.told_whole)
        self.around("at_box", self.arrives)
        self.around("die", self.falls)
        self.around("tell_one", self.told_one, play.fleet)
        self.around("lease_over", self.lease_over)
        self.around("over_at_box", self.over_at_box)
        self.dirty, self.lone, self.since = {}, {}, {m: play.world.now for m in range(len(play.managers))}

    def around(self, name, before, of=None):
        of = of or self.play
        was = getattr(of, name)

        def called(*args):
            before(*args)
            return was(*args)

        setattr(of, name, called)

    def arrives(self, manager, life, vw, key, server, rung, sent_at, boot):
        """A set-up reaches a box: from whom, and whether that one had been told of the box's present start."""
        told = self.told_start.get((manager.me, manager.life, server), 0)
        self.arrivals[server].append((self.play.world.now, told >= self.play.fleet.boxes[server].box.started_at))

    def falls(self, holder):
        """Pushed over while cold. It is the managers' doing where over two thirds came from those who knew of the start
        (the operators' page on the fleet's test); nobody can keep a pace for a start that no list has told yet.
        """
        if holder.box.crashed:
            fall = round(self.play.day.site.rules.fall_ms * 10)
            known = [told for at, told in self.arrivals[holder.place.id] if at > self.play.world.now - fall]
            if 3 * sum(known) > 2 * len(known):
                self.broke(
                    "rule 4",
                    f"box {holder.place.id} pushed over while cold: {sum(known)} of {len(known)} "
                    "set-ups from managers that had been told of its start",
                )

    def told_one(self, manager, row):
        if manager.up and self.play.world.now >= manager.until:
            self.told_start[manager.me, manager.life, row.server] = row.started_at
            if row.state is interface.ServerStatus.READY:
                self.told[manager.me].pop(row.server, None)
            else:
                self.told[manager.me].setdefault(row.server, self.play.world.now)

    def told_whole(self, manager, life):
        """After a start a manager hears of all boxes at once; those that are not named are gone."""
        if manager.up and manager.life == life and self.play.world.now >= manager.until:
            rows = {row.server: row for row in self.play.fleet.full()}
            self.told_start |= {(manager.me, life, row.server): row.started_at for row in rows.values()}
            for server in self.play.fleet.boxes:
                if server not in rows or rows[server].state is not interface.ServerStatus.READY:
                    self.told[manager.me].setdefault(server, self.play.world.now)
                else:
                    self.told[manager.me].pop(server, None)

    def broke(self, kind, detail):
        self.breaks.append((kind, f"{self.play.day_s():.2f} s: {detail}"))

    def tap(self, now, event, acts):
        if isinstance(event, interface.AttemptEnded):
            self.out[event.id] -= 1
        for act in acts:
            if isinstance(act, interface.TuneIn):
                self.out[act.id] += 1
                if self.out[act.id] > 1:
                    self.broke("rule 2", f"viewing {act.id}: two tune-ins out")
            elif isinstance(act, (interface.Block, interface.Abort)):
                self.answers[act.id] += 1
        if isinstance(event, interface.AttemptSucceeded):
            self.answers[event.id] += 1
        id = getattr(event, "id", None)
        if id is not None and self.answers[id] > 1:
            self.broke("rule 1", f"viewing {id}: answered {self.answers[id]} times")
            self.answers[id] = 1

    def set_up(self, manager, vw, nth, server, rung):
        since = self.told[manager.me].get(server)
        if since is not None and self.play.world.now > since + self.grace + SLACK:
            self.broke(
                "rule 3",
                f"m{manager.me} sets up at {server}, of which it was told "
                f"{(self.play.world.now - since) / 10_000:.1f} s before that it drains or is gone",
            )

    def score(self):
        """Each second: seats, by the sessions that play at boxes for a manager's present life."""
        held = Counter()
        for holder in self.play.fleet.boxes.values():
            for key, session in holder.box.sessions.items():
                vw = self.play.by_key.get(key)
                manager = self.play.named(session.manager)
                if vw is not None and vw.playing and not vw.gone and session.life == manager.life:
                    held[manager.name, session.title, session.package] += 1
        self.see_ways()
        self.see_orphans()
        for (name, title, package), count in held.items():
            seats = self.play.day.site.packages[package].seats
            if seats and count > seats:
                self.broke("rule 5", f"{name} holds {count} of {title} in {package}, seats {seats}")

    # Processes among each other

    def see_ways(self):
        """Since when each way passes, each box answers and each manager goes on, to the second."""
        now = self.play.world.now
        self.dirty |= dict.fromkeys(self.play.ways.states, now)
        for id, holder in self.play.fleet.boxes.items():
            if holder.dead or holder.box.trouble.hang:
                self.dirty[id] = now
        for m, manager in enumerate(self.play.managers):
            if not manager.up or manager.leaving or manager.until > now:
                self.since[m] = now

    def lease_over(self, holder, boot, key, name, life):
        """A viewing that plays is lost with its manager: nobody's fault only where nobody could have claimed it.

        Where a package has seats they may all have been taken at the manager that was to claim it.
        """
        session, vw, now = holder.box.sessions.get(key), self.play.by_key.get(key), self.play.world.now
        lease, box = round(self.play.day.site.fleet.lease_ms * 10), f"b{holder.place.id}"
        if (
            lease < KNOWN
            or not self.play.day.members
            or holder.dead
            or holder.boot != boot
            or session is None
            or (session.manager, session.life) != (name, life)
            or vw is None
            or not vw.playing
            or vw.gone
        ):
            return
        if self.play.day.site.packages[session.package].seats:
            return
        calm = now - lease - 2 * SECOND
        able = [
            m.name
            for m in self.play.managers
            if self.since[m.me] < calm
            and holder.place.id in m.boxes()
            and all(self.dirty.get(what, 0) < calm for what in ((m.name, box), (box, m.name), holder.place.id))
            and len(m.viewings) < self.play.day.site.front.held_most // 2
        ]
        if able:
            self.broke("work in hand", f"a viewing of {name} was lost at {box}; {able} could have claimed it")

    def over_at_box(self, holder, key, manager=None, life=0):
        """An order that a box obeys is of who holds the session."""
        session = holder.box.sessions.get(key)
        if manager is not None and session is not None and session.manager != manager.name:
            self.broke("work in hand", f"{manager.name} ended a viewing that {session.manager} holds")

    def see_orphans(self):
        """Sessions whose manager's life is over, beyond their lease."""
        now, lone = self.play.world.now, {}
        most = round(self.play.day.site.fleet.lease_ms * 10) + ORPHANS
        for holder in self.play.fleet.boxes.values():
            for key, s in holder.box.sessions.items() if not holder.dead and not holder.box.trouble.hang else ():
                manager = self.play.named(s.manager)
                if not manager.up or manager.life != s.life:
                    lone[key] = self.lone.get(key, now)
                    if now - lone[key] > most:
                        self.broke("work in hand", f"a session of {s.manager} at b{holder.place.id} is nobody's")
                        lone[key] = now
        self.lone = lone

    def found(self):
        """[(kind, detail)], a few of each kind."""
        play, out = self.play, [*self.breaks, *of_records(self.play)]
        unanswered = sum(row.fates["unanswered"] for row in play.seconds.values())
        if unanswered:
            out.append(("rule 1", f"{unanswered} viewings had no answer within their patience"))
        if low := sum(row.low_floor for row in play.seconds.values()):
            out.append(("rule 5", f"{low} viewing seconds under the floor"))
        out += [("fault", text) for text in play.faults]
        kinds = Counter()
        return tuple((kind, text) for kind, text in out if not kinds.update([kind]) and kinds[kind] <= SAID)


def of_records(play):
    """[(kind, detail)] of what boxes and the service wrote down of claims, grants and acts under leases."""
    out, epochs, tokens = [], {}, {}

    def token_of(who, token, of, said):
        last = tokens.get(of, (0, who))
        if token < last[0] or token == last[0] and who != last[1]:
            out.append(("leases", f"{said} after {last}"))
        tokens[of] = token, who

    for time, what, who, *row in play.records:
        at = f"{(time - play.began) / SECOND:.2f} s: "
        if what == "adopted":
            key, epoch, _ = row
            if epochs.get(key, (0, None))[0] + 1 != epoch and epochs.get(key) != (epoch, who):
                out.append(("claims", f"{at}{who} is granted epoch {epoch} of {key} after {epochs.get(key)}"))
            epochs[key] = epoch, who
        elif what == "granted":
            piece, token = row
            token_of(who, token, (SERVICE, "grants", piece), f"{at}token {token} of {piece} is granted to {who}")
        elif what == "both":
            out.append(("leases", f"{at}{who} holds {row[0]}, which {row[1]} holds still"))
        elif what == "act":
            piece, token, place = row
            token_of(who, token, (place, "acts", piece), f"{at}{place} takes an act of {who} on {piece} under {token}")
    return out


def near(play, since=0, until=1 << 40):
    """The part of what an all-knowing placement could at most earn (model/bound.py) that was earned, in a span."""
    rows = [row for s, row in play.seconds.items() if row.bound and since <= s < until]
    return sum(sum(row.earned.values()) for row in rows) / sum(row.bound for row in rows) if rows else 1.0


def quiet_of(day, seed):
    """The same of a day without troubles, to hold others against."""
    return near(Play(day_with(day, []), seed, bound_every=BOUND_EVERY).run(), space.LEAD_S)


def played(day, seed, troubles, quiet=None):
    """(Outcome, totals) of a day with these troubles. quiet: as quiet_of() has it; None: loss is not worked out.

    Loss: how much farther from the all-knowing bound the play was than a quiet one, from its first trouble on until it
    must have come back. What no placement could have served (all boxes gone, say) is nobody's loss.
    """
    play = Play(day_with(day, troubles), seed, bound_every=BOUND_EVERY if quiet is not None else 0)
    judge = Judge(play)
    play.run()
    first, healed = min((row.at_s for row in troubles), default=0), space.healed_at(troubles)
    plays = {s: row.fates["plays"] + row.fates["late"] for s, row in play.seconds.items()}
    back = judge_recovery(plays, first, healed, day.length_s) if troubles else None
    # Deaths, claims and leases are states that a day may reach, as answers are.
    among = defaultdict(Counter)
    for time, what, *rest in play.records:
        among[(time - play.began) // SECOND][f"members {rest[2] if what == 'member' else what}"] += 1
    seconds = [
        (s, row.fates + Counter({f"tune-in {how}": n for how, n in row.tune_ins.items()}) + among[s])
        for s, row in sorted(play.seconds.items())
    ]
    totals = play.totals()
    counts = Counter(totals["fates"]) + Counter({f"tune-in {how}": n for how, n in totals["tune_ins"].items()})
    counts += sum(among.values(), Counter())
    loss = 0.0 if quiet is None else max(0.0, quiet - near(play, first, healed + RECOVERY_TIME_S))
    breaks = judge.found()
    return Outcome(
        breaks,
        back and back.recovered,
        round(loss, 4),
        marks_of(troubles, counts, seconds) | {f"broke {kind}" for kind, _ in breaks},
    ), {**totals, "said": back.summary if back else ""}


def day_with(day, troubles):
    return msgspec.structs.replace(day, troubles=list(troubles))
