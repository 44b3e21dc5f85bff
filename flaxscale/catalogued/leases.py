"""Leases at the catalogue's service: grants over the watch streams, made durable together, and what is acted on here.

A grant, a fence that has moved and what an act did are one record each in a log of their own; one sync makes all that
came within GATHER_S durable, and only then is any of it told. Who may hold what is leases.granter's.
"""

import asyncio
import json
import time

import grpc
import msgspec

from ..leases.fence import Fence
from ..leases.granter import Granted, Granter
from ..leases.terms import task_of
from ..proto import catalogue_pb2 as pb
from ..serve.clock import now
from ..store.log import Log
from ..store.shapes import decoded
from .resuming import Resuming

GATHER_S = 0.002
SNAPSHOT_EVERY = 2_000
BROKEN_MS = 5_000  # whoever asks a service whose store failed is told to ask again after this
SHAPE = 1
OPERATOR = "operator"


class Kept(msgspec.Struct, array_like=True):
    """A record or a snapshot: kind "grant", "fence", "done" or "whole"."""

    shape: int
    kind: str
    piece: str = ""
    data: bytes = b""
    fence: bytes = b""
    done: dict[str, bytes] = {}


class LeaseService:
    """tasks: {name: Task}. act(task, what, owner): does one act, tells what it did; ValueError where it can't."""

    def __init__(self, files, tasks, act, log, record=None):
        self.tasks, self.act, self.log, self.record = tasks, act, log, record
        self.store, self.granter, self.fence = Log(files), Granter(tasks, now()), Fence()
        self.done, self.done_at, self.asked_in_vain = {}, {}, {}  # by piece: what was done last, when; who and why
        found = self.store.found
        for data in ([found.snapshot] if found.snapshot is not None else []) + [data for _, data in found.records]:
            self.take(decoded(data, Kept, SHAPE, "state of leases"))
        self.granter.start_era(time.time())
        self.opens = self.granter.opened
        self.settling, self.waiting, self.broken = None, [], None
        self.resuming = Resuming(self.resume, self.resumed)
        if record:
            record.put("leases", opens=self.opens - now())
            for task in tasks.values():
                record.put("duty", **task._asdict())

    def take(self, kept):
        if kept.kind == "whole":
            self.granter.load(kept.data, now())
            self.fence, self.done = Fence(kept.fence), dict(kept.done)
        elif kept.kind == "grant":
            self.granter.replay(kept.data, now())
        elif kept.kind == "fence":
            self.fence = Fence(kept.fence)
        elif kept.kind == "done":
            self.done[kept.piece] = kept.data

    def put(self, kind, **fields):
        self.store.append(msgspec.msgpack.encode(Kept(SHAPE, kind, **fields)))

    def durable(self):
        """A future of all that was put until now being durable; an OSError where that is not known."""
        done = asyncio.get_running_loop().create_future()
        if self.broken is not None:
            done.set_exception(self.broken)
            return done
        self.waiting.append(done)
        if self.settling is None:
            self.settling = asyncio.get_running_loop().call_later(GATHER_S, self.settle)
        return done

    def settle(self):
        self.settling, waiting, self.waiting = None, self.waiting, []
        try:
            self.store.commit()
            if self.store.since_snapshot >= SNAPSHOT_EVERY:
                self.compact()
        except OSError as bad:  # what reached the disk is not known: nothing is granted until the state is written anew
            self.broken = bad
            self.log.error("leases' store failed", detail=str(bad))
            self.resuming.begin()
            for done in waiting:
                if not done.done():
                    done.set_exception(bad)
            return
        for done in waiting:
            if not done.done():
                done.set_result(None)

    def resume(self):
        """Writes the state anew. What was granted and not told is kept too: its span is waited out."""
        self.store.resume(self.whole())

    def resumed(self):
        self.broken = None
        self.log.info("leases' store taken up again")

    def stop(self):
        self.resuming.stop()

    def compact(self):
        self.store.snapshot(self.whole())

    def whole(self):
        return msgspec.msgpack.encode(Kept(SHAPE, "whole", "", self.granter.dump(), self.fence.dump(), self.done))

    # From a watcher's stream

    async def hear(self, said, tell):
        """All that one message asks for. tell(WatchReply) for each answer, once what it says is durable."""
        if self.broken is not None:  # who holds goes on until its span ends; nothing is granted or done here
            for ask in said.leases:
                tell(
                    pb.WatchReply(
                        lease=pb.LeaseTold(piece=ask.piece, number=ask.number, refused=True, left_ms=BROKEN_MS)
                    )
                )
            return
        self.granter.observe_token(said.seen)
        told, new = [], False
        for ask in said.leases:
            if not ask.number:
                if self.granter.release(ask.piece, said.owner, ask.token, now()):
                    self.put("grant", data=self.granter.record())
                    self.note("given", ask.piece, said.owner, ask.token)
                continue
            answer = self.granter.request(ask.piece, said.owner, ask.token, now())
            if isinstance(answer, Granted):
                if answer.new:
                    new = True
                    self.put("grant", data=self.granter.record())
                    self.note("granted", ask.piece, said.owner, answer.token)
                    self.asked_in_vain.pop(ask.piece, None)
                told.append(pb.LeaseTold(piece=ask.piece, number=ask.number, token=answer.token))
            else:
                why = f"{answer.owner} has it" if answer.owner else "nothing is granted yet after a start"
                self.asked_in_vain.setdefault(ask.piece, {})[said.owner] = why
                told.append(
                    pb.LeaseTold(
                        piece=ask.piece,
                        number=ask.number,
                        token=answer.token,
                        refused=True,
                        owner=answer.owner,
                        left_ms=min(answer.left // 10, 1 << 40),
                    )
                )
        try:
            if new:
                await self.durable()
        except OSError:
            return  # told nothing: it asks again, in vain until the service is started anew
        for row in told:
            tell(pb.WatchReply(lease=row))
        for act in said.acts:
            tell(pb.WatchReply(act=await self.acted(said.owner, act)))

    async def acted(self, owner, act):
        """Does it where the fence takes it, as an act of its own in the records."""
        task, at = task_of(act.piece), now()
        self.granter.observe_token(act.token)
        if task not in self.tasks:
            return pb.ActTold(piece=act.piece, number=act.number, refused=f"no duty {task[:40]!r} is on here")
        if not self.fence.accepts(act.piece, act.token, owner):
            known = self.fence.token(act.piece)
            self.granter.observe_token(known)
            self.note("refused", act.piece, owner, act.token)
            return pb.ActTold(piece=act.piece, number=act.number, token=known, refused="an outdated lease")
        self.put("fence", fence=self.fence.dump())
        try:
            await self.durable()
            # Another may have come between: what the fence took first is not done after what it took later.
            if self.fence.last[act.piece] != (act.token, owner):
                self.note("refused", act.piece, owner, act.token)
                return pb.ActTold(
                    piece=act.piece, number=act.number, token=self.fence.token(act.piece), refused="an outdated lease"
                )
            self.note("act", act.piece, owner, act.token)
            said = await self.act(task, msgspec.json.decode(act.what or b"{}"), owner)
            last = json.dumps({"by": owner, "token": act.token, "did": said}).encode()
            self.done[act.piece], self.done_at[act.piece] = last, at
            self.put("done", piece=act.piece, data=last)
            await self.durable()
        except (OSError, ValueError, msgspec.MsgspecError, grpc.aio.AbortError) as bad:
            return pb.ActTold(piece=act.piece, number=act.number, refused=str(bad)[:300])
        return pb.ActTold(piece=act.piece, number=act.number, said=json.dumps(said).encode())

    def note(self, what, piece, owner, token):
        self.log.info("lease", did=what, piece=piece, owner=owner, token=token)
        if self.record:
            self.record.put("lease", did=what, piece=piece, owner=owner, token=token)

    # Operators

    async def tell(self, request):
        """LeasesReply; with `release` a piece is in nobody's hands first, under a token that outdates its holder's."""
        refused, time = "", now()
        if request.release and self.broken is not None:
            refused = f"the store failed: {self.broken}"
        elif request.release:
            row = self.granter.rows.get(request.release)
            if row is None:
                refused = f"no lease of {request.release[:60]!r} was ever granted"
            else:
                # A token of the operator's own: the fence here knows it, so that the holder's acts are refused at once.
                self.granter.count += 1
                token, owner = self.granter.count, f"{OPERATOR}.{request.who[:60]}"
                # Free of new holders until the released one's grant is over, as it was.
                self.granter.rows[request.release] = row._replace(owner=owner, token=token)
                self.granter.add_event(request.release, "released", owner, token)
                self.fence.accepts(request.release, token, owner)
                self.put("grant", data=self.granter.record())
                self.put("fence", fence=self.fence.dump())
                self.note("released", request.release, owner, token)
                try:
                    await self.durable()
                except OSError as bad:
                    refused = str(bad)
        rows = [
            pb.LeaseRow(
                piece=piece,
                owner=row.owner,
                token=row.token,
                left_ms=(row.until - time) // 10,
                last=self.done.get(piece, b"").decode(),
                last_ms_ago=(time - self.done_at.get(piece, time)) // 10,
                refused=[f"{o}: {why}" for o, why in sorted(self.asked_in_vain.get(piece, {}).items())],
            )
            for piece, row in sorted(self.granter.rows.items())
        ]
        past = self.granter.past[-(request.history or 0) :] if request.history else []
        return pb.LeasesReply(
            on=True,
            count=self.granter.count,
            opens_ms=(self.opens - time) // 10,
            rows=rows,
            refused=refused,
            past=[pb.LeaseEvent(piece=e.piece, what=e.what, owner=e.owner, token=e.token) for e in past],
            tasks=[
                f"{t.name}: period {t.period / 1e4:g} s, span {t.span / 1e4:g} s, step {t.step / 1e4:g} s, drift "
                f"{t.drift:g}{', box by box' if t.pieces else ''}"
                for t in self.tasks.values()
            ],
        )
