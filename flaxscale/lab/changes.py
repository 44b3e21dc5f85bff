"""The operator of a day with a live catalogue: begins it from the day's holders, then changes it all the time."""

import asyncio

from ..catalogue.state import HOLDING, LEAVING, PREPARING, Catalogue, Hold, Put, Refused, Rungs, Seats, SiteLimits
from ..catalogued.client import Client, ServiceError, new_id
from .chance import Dice
from .shapes import holders_of


def frame_of(site):
    return SiteLimits(
        {name: p.floor for name, p in site.packages.items()},
        frozenset(name for name, p in site.packages.items() if p.seats),
        len(site.ladder.kb),
    )


def first_titles(day):
    """A Put for each title of the site: held by the boxes in its cells, or by those that the day names."""
    out = []
    for name, row in day.site.titles.items():
        named = (day.holders or {}).get(name)
        boxes = [n + 1 for n in named] if named else holders_of(day, name)
        out.append(Put(name, row.view, row.push, holders={str(b): HOLDING for b in boxes}))
    return out


class Changes:
    def __init__(self, day, seed, address, record):
        self.day, self.address, self.record = day, address, record
        self.dice, self.local = Dice(seed, "catalogue"), Catalogue(frame_of(day.site))
        self.boxes = range(1, len(day.boxes) + 1)

    async def begin(self):
        ops = first_titles(self.day)
        self.local.apply(ops)
        async with Client(self.address) as client:
            reply = await client.change(ops, why="the day's first")
        if reply.faults or reply.behind:
            raise RuntimeError(f"the day's catalogue was refused: {reply.behind or reply.faults[0]}")

    def next(self):
        """Some change that fits: a copy comes, begins to hold, leaves or goes; a rendition or seats change."""
        dice, titles = self.dice, self.local.titles
        name = dice.some(self.day.catalogue.titles or sorted(titles), 1)[0]
        title, what = titles[name], dice.draw()
        holders = dict(title.holders)
        if what < 0.15 and (seated := [p for p in (title.view, title.push) if p in self.local.limits.seated]):
            package = seated[0]
            usual = self.day.site.packages[package].seats
            return [Seats(name, package, max(1, round(usual * dice.between((0.4, 1.3)))))]
        if what < 0.25:
            floor = max(self.local.limits.floors[p] for p in (title.view, title.push) if p)
            top = self.local.limits.rungs - 1
            return [Rungs(name, min(floor, int(dice.draw() * 2)), max(floor, top - int(dice.draw() * 3)))]
        state = dice.pick({HOLDING: 3, LEAVING: 2, PREPARING: 1, "gone": 2})
        if state == "gone" and holders:
            return [Hold(name, dice.some(sorted(holders), 1)[0], "gone")]
        return [Hold(name, dice.some(self.boxes, 1)[0], state if state != "gone" else HOLDING)]

    def good(self, ops):
        """Whether it fits, and leaves each title two boxes that hold it: the day is for changes, not for absence."""
        trial = Catalogue(self.local.limits, self.local.version, self.local.titles)
        try:
            delta = trial.apply(ops)
        except Refused:
            return False
        return all(len(t.available_boxes()) >= 2 for t in delta.titles.values() if t is not None)

    async def run(self):
        """Changes at the day's rate, until cancelled. A change that got no answer is asked for again, as it was."""
        row = self.day.catalogue
        await asyncio.sleep(row.from_s)
        loop, made = asyncio.get_running_loop(), 0
        began = loop.time()
        async with Client(self.address) as client:
            while (due := made / row.rate) < row.for_s:
                await asyncio.sleep(max(0.0, began + due - loop.time()))
                made, id = made + 1, new_id()  # asked again, it is made once
                ops = self.next()
                if not self.good(ops):
                    continue
                while True:
                    try:
                        reply = await client.change(ops, force=True, id=id)
                        break
                    except ServiceError:
                        await asyncio.sleep(0.2)
                if not reply.faults:
                    self.local.apply(ops, force=True)
                self.record.put("change", version=reply.version, faults=list(reply.faults))
