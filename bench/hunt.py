"""Measures the hunt: bugs that are planted in a build, found by it and by plain random days for the same budget.

    python -m bench.hunt [--budget 320] [--seeds 3] [--jobs 6]          the table of planted bugs
    python -m bench.hunt --among [--budget 96] [--seeds 2]              the same of bugs in take-over and leases
    python -m bench.hunt days [--budget 10000]                          seeded days, what broke and the loss, by trouble
    python -m bench.hunt days --among                                   the same of a day whose managers talk

All in virtual time: figures are those of a simulated fleet. A bug is a change of one function, in every process of the
hunt. Not part of CI.
"""

import collections
import concurrent.futures
import pathlib
import statistics
import tempfile
import unittest.mock

import click
import msgspec

from bench.front import machine
from flaxscale.decide import Manager
from flaxscale.hunt.marks import trouble_name
from flaxscale.interface import ServerStatus
from flaxscale.lab.hunts import Hunting
from flaxscale.lab.shapes import read_day
from flaxscale.leases.holder import Holder
from flaxscale.members.swim import Swim
from flaxscale.members.takeover import ClaimRetry
from flaxscale.model.duties import CatalogueService
from flaxscale.model.manager import ModelManager
from flaxscale.model.play import Play

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
whole = {name: getattr(Manager, name) for name in ("update_server", "has_seat")}
sound = {name: getattr(Play, name) for name in ("end_order_arrives", "heal", "set_up_at_box")}
lost, stands, start = ModelManager.session_lost, ModelManager.deferred_by_stall, ModelManager.start


def without_drains(self, row):
    if row.state is not ServerStatus.DRAINING:
        whole["update_server"](self, row)


def never_cold(self, row):
    whole["update_server"](self, row._replace(started_at=0))


def seat_too_many(self, seat, holders=()):
    return whole["has_seat"](self, seat, holders) or self.now % 7 == 0


def ends_lost(self, *args):
    if self.ways.states:  # what is to be ended while any way is struck is forgotten
        return
    sound["end_order_arrives"](self, *args)


def heals_half(self, number, ways):
    sound["heal"](self, number, ways[::2])


def comes_twice(self, manager, life, vw, key, server, rung, sent_at, boot):
    sound["set_up_at_box"](self, manager, life, vw, key, server, rung, sent_at, self.fleet.boxes[server].boot)


def lost_unheard(self, life, id, nth, how=None):
    if self.world.now > self.stalled_until + 20_000 or not self.stalled_until:
        lost(self, life, id, nth, *(() if how is None else (how,)))


def starts_warm(self, rows):
    start(self, rows)
    self.runner.manager.started_at = -1 << 40


def asleep(self, act, *args):
    if self.world.now < self.stalled_until and act.__name__ == "timer_fires":
        return True  # a timer that came due while it stood still is lost
    return stands(self, act, *args)


# name: (what is changed, its new form)
BUGS = {
    "drains are not heard": ("flaxscale.decide.Manager.update_server", without_drains),
    "the list's ages are not heard": ("flaxscale.decide.Manager.update_server", never_cold),
    "no pace for cold boxes": ("flaxscale.decide.Manager.slow_start_allows", lambda self, srv: True),
    "a seat too many, now and then": ("flaxscale.decide.Manager.has_seat", seat_too_many),
    "a new manager takes all boxes for warm": ("flaxscale.model.manager.ModelManager.start", starts_warm),
    "ends forgotten while a way is struck": ("flaxscale.model.play.Play.end_order_arrives", ends_lost),
    "half of the ways heal": ("flaxscale.model.play.Play.heal", heals_half),
    "late set-ups reach a box's next start": ("flaxscale.model.play.Play.set_up_at_box", comes_twice),
    "timers lost in a standstill": ("flaxscale.model.manager.ModelManager.deferred_by_stall", asleep),
    "breaks unheard after a standstill": ("flaxscale.model.manager.ModelManager.session_lost", lost_unheard),
}


came, granted, began, restarted = ClaimRetry.answered, Holder.granted, Swim.__init__, CatalogueService.start


def claims_unfenced(self, key, epoch, owner):
    if key in self.held:
        self.held[key] = owner, epoch
    return key in self.held


def first_only(self, again):
    return came(self, again if again == self.rank else None)


def slow_to_suspect(self, *args, **more):
    began(self, *args, **more)
    self.suspicion = lambda: 200_000


def from_the_answer(self, piece, number, token, now):
    held = self.wanted.get(piece)
    if held is not None and held.asked_at is not None:
        held.asked_at = now
    return granted(self, piece, number, token, now)


def token_lost(self):
    restarted(self)
    self.granter.count, self.granter.rows = 0, {}


def forgets_grants(self):
    restarted(self)
    self.granter.rows, self.granter.opened = {}, 0


# Of processes among each other: take-over first, then leases.
AMONG = {
    "a box grants every claim": ("flaxscale.members.takeover.Fence.claim", claims_unfenced),
    "a box obeys whoever held it before": ("flaxscale.members.takeover.Fence.accepts", lambda self, *args: True),
    "what one can't claim nobody claims": ("flaxscale.members.takeover.ClaimRetry.answered", first_only),
    "a death is known too late": ("flaxscale.members.swim.Swim.__init__", slow_to_suspect),
    "what an earlier life left is not taken up": (
        "flaxscale.model.takeover.Takeover.boxes_listed",
        lambda self, boxes: None,
    ),
    "no fence for acts under leases": ("flaxscale.leases.fence.Fence.accepts", lambda self, *args: True),
    "the span is counted from the answer": ("flaxscale.leases.holder.Holder.granted", from_the_answer),
    "tokens begin anew at a restart": ("flaxscale.model.duties.CatalogueService.start", token_lost),
    "the granter forgets its grants": ("flaxscale.model.duties.CatalogueService.start", forgets_grants),
    "clocks are taken to be alike": ("flaxscale.leases.terms.Task.holder_span", lambda self: self.span),
}


def quiet(among):
    """The day that is hunted in: with --among one whose managers talk and hold leases."""
    day = msgspec.structs.replace(
        read_day(EXAMPLES / f"{'duties' if among else 'bad'}-day.jsonnet", sockets=False), troubles=[]
    )
    if among:
        day = msgspec.structs.replace(day, length_s=32.0)
        day.site.fleet.lease_ms = 9_000
        day.demand.play_s = [10.0, 20.0]  # longer than a lease, or none is lost with its manager
    return day


def hunted(job):
    """(play in which it was found, size of the smallest day) or (None, None): (bug, seed, budget, plain)."""
    bug, seed, budget, plain = job
    day = quiet(bug in AMONG)
    with tempfile.TemporaryDirectory() as folder, unittest.mock.patch(*{**BUGS, **AMONG}[bug]):
        hunting = Alone(day, folder, seed, 1, plain=plain)
        found = []

        def said(played):
            if not found and (played.outcome.breaks or played.outcome.back is False):
                found.append(played)
                hunting.enough = True

        hunting.run(budget, said)
        if not found:
            return None, None
        small, _ = hunting.smallest(found[0])
        return found[0].number + 1, len(small)


class Alone(Hunting):
    """In this process, so that its planted bug is in each play; it ends with the generation that finds it."""

    enough = False

    def pool(self):
        return Here()

    def run(self, budget, said):
        while len(self.hunt.played) < budget and not self.enough:
            super().run(len(self.hunt.played) + 1, said)


class Here:
    def __enter__(self):
        return self

    def __exit__(self, *_):
        pass

    map = staticmethod(map)


@click.group(invoke_without_command=True)
@click.option("--budget", default=320, show_default=True)
@click.option("--seeds", default=3, show_default=True)
@click.option("--jobs", default=6, show_default=True)
@click.option("--among", is_flag=True, help="Bugs in take-over and leases, in place of decisions and boxes.")
@click.pass_context
def main(ctx, budget, seeds, jobs, among):
    """Bugs found by the hunt and by plain random days."""
    if ctx.invoked_subcommand:
        return
    bugs = AMONG if among else BUGS
    work = [(bug, seed, budget, plain) for bug in bugs for plain in (False, True) for seed in range(1, seeds + 1)]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        found = dict(zip(work, pool.map(hunted, work)))
    print("| bug | hunt: found, plays until then, smallest day | plain: found, plays, smallest day |")
    for bug in bugs:
        cells = []
        for plain in (False, True):
            rows = [found[bug, seed, budget, plain] for seed in range(1, seeds + 1)]
            plays = [n for n, _ in rows if n]
            cells.append(
                f"{len(plays)} of {seeds}, {statistics.median(plays):.0f} ({min(plays)} to {max(plays)}), "
                f"{min(size for n, size in rows if n)}"
                if plays
                else f"0 of {seeds}"
            )
        print(f"| {bug} | {cells[0]} | {cells[1]} |", flush=True)
    machine()


@main.command()
@click.option("--budget", default=10_000, show_default=True)
@click.option("--jobs", default=6, show_default=True)
@click.option("--plain/--guided", default=True, show_default=True)
@click.option("--among", is_flag=True)
def days(budget, jobs, plain, among):
    """Seeded days: what broke, and the loss against the bound by trouble."""
    loss, broke, stayed = collections.defaultdict(list), collections.Counter(), 0
    day = quiet(among)
    with tempfile.TemporaryDirectory() as folder:
        hunting = Hunting(day, folder, 1, jobs, seeds=20, plain=plain)

        def said(played):
            nonlocal stayed
            stayed += played.outcome.back is False
            broke.update(kind for kind, _ in played.outcome.breaks)
            for what in {trouble_name(row) for row in played.troubles}:
                loss[what].append(played.outcome.loss)

        hunting.run(budget, said)
        print(f"{len(hunting.hunt.played)} days: broke {dict(broke)}, did not come back {stayed}")
        for what, rows in sorted(loss.items(), key=lambda item: -statistics.mean(item[1])):
            print(f"{what}: in {len(rows)} days, loss {statistics.mean(rows):.3f}, at most {max(rows):.3f}")
        for p in hunting.hunt.worst(3):
            small, _ = hunting.smallest(p)
            print(f"worst: loss {p.outcome.loss}, {p.outcome.breaks[:2]}: {msgspec.json.encode(small).decode()}")
    machine()


if __name__ == "__main__":
    main()
