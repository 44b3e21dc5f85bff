"""Leases at the catalogue service: grants over the watch streams, and acts that are carried out here under leases.

Each grant, moved fence and result of an act is a record in a separate log. Records that come within COMMIT_DELAY_S
become durable with one sync, and answers are sent only after it. leases.granter decides who may hold what.
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
from .store_retry import StoreRetry

COMMIT_DELAY_S = 0.002  # records that come within this time share one sync
SNAPSHOT_EVERY = 2_000  # records
RETRY_AFTER_MS = 5_000  # time after which a lease should be requested again while the store has failed
SHAPE = 1
OPERATOR = "operator"  # begins the owner name of a released piece


class StoredRecord(msgspec.Struct, array_like=True):
    """A log record of kind "grant", "fence" or "done", or a snapshot of kind "whole"."""

    shape: int
    kind: str
    piece: str = ""
    data: bytes = b""
    fence: bytes = b""
    done: dict[str, bytes] = {}


class LeaseService:
    """Grants leases and carries out acts.

    tasks: {name: Task}. act(task, request, owner): carries out one act and returns its result, or raises ValueError.
    """

    def __init__(self, files, tasks, act, log, recorder=None):
        self.tasks, self.act, self.log, self.recorder = tasks, act, log, recorder
        self.store, self.granter, self.fence = Log(files), Granter(tasks, now()), Fence()
        # By piece: the last act's result, its time, and {owner: reason of the latest refusal}.
        self.last_acts, self.last_act_at, self.refusals = {}, {}, {}
        found = self.store.found
        for data in ([found.snapshot] if found.snapshot is not None else []) + [data for _, data in found.records]:
            self.load_record(decoded(data, StoredRecord, SHAPE, "state of leases"))
        self.granter.start_era(time.time())
        self.grants_from = self.granter.opened
        self.commit_timer, self.waiters, self.broken = None, [], None
        self.store_retry = StoreRetry(self.resume, self.on_resumed)
        if recorder:
            recorder.put("leases", opens=self.grants_from - now())
            for task in tasks.values():
                recorder.put("duty", **task._asdict())

    def load_record(self, stored):
        """Applies a record or a snapshot at start."""
        if stored.kind == "whole":
            self.granter.load(stored.data, now())
            self.fence, self.last_acts = Fence(stored.fence), dict(stored.done)
        elif stored.kind == "grant":
            self.granter.replay(stored.data, now())
        elif stored.kind == "fence":
            self.fence = Fence(stored.fence)
        elif stored.kind == "done":
            self.last_acts[stored.piece] = stored.data

    def put(self, kind, **fields):
        self.store.append(msgspec.msgpack.encode(StoredRecord(SHAPE, kind, **fields)))

    def when_durable(self):
        """A future that is done when all records so far are durable. OSError: it is not known whether they are."""
        done = asyncio.get_running_loop().create_future()
        if self.broken is not None:
            done.set_exception(self.broken)
            return done
        self.waiters.append(done)
        if self.commit_timer is None:
            self.commit_timer = asyncio.get_running_loop().call_later(COMMIT_DELAY_S, self.commit)
        return done

    def commit(self):
        self.commit_timer, waiters, self.waiters = None, self.waiters, []
        try:
            self.store.commit()
            if self.store.since_snapshot >= SNAPSHOT_EVERY:
                self.compact()
        except OSError as error:
            # What reached the disk is unknown: no grants until the state is rewritten.
            self.broken = error
            self.log.error("leases' store failed", detail=str(error))
            self.store_retry.schedule()
            for done in waiters:
                if not done.done():
                    done.set_exception(error)
            return
        for done in waiters:
            if not done.done():
                done.set_result(None)

    def resume(self):
        """Rewrites the state. It includes unsent grants, which block the piece until their span ends."""
        self.store.resume(self.encoded_state())

    def on_resumed(self):
        self.broken = None
        self.log.info("leases' store taken up again")

    def stop(self):
        self.store_retry.stop()

    def compact(self):
        self.store.snapshot(self.encoded_state())

    def encoded_state(self):
        return msgspec.msgpack.encode(
            StoredRecord(SHAPE, "whole", "", self.granter.dump(), self.fence.dump(), self.last_acts)
        )

    # Messages of a watcher's stream

    async def handle(self, message, send):
        """Handles the requests of one message. send(WatchReply) is called for each answer once it is durable."""
        if self.broken is not None:  # holders go on until their span ends; no grants or acts here
            for ask in message.leases:
                send(
                    pb.WatchReply(
                        lease=pb.LeaseTold(piece=ask.piece, number=ask.number, refused=True, left_ms=RETRY_AFTER_MS)
                    )
                )
            return
        self.granter.observe_token(message.seen)
        replies, new = [], False
        for ask in message.leases:
            if not ask.number:
                if self.granter.release(ask.piece, message.owner, ask.token, now()):
                    self.put("grant", data=self.granter.record())
                    self.record_event("given", ask.piece, message.owner, ask.token)
                continue
            answer = self.granter.request(ask.piece, message.owner, ask.token, now())
            if isinstance(answer, Granted):
                if answer.new:
                    new = True
                    self.put("grant", data=self.granter.record())
                    self.record_event("granted", ask.piece, message.owner, answer.token)
                    self.refusals.pop(ask.piece, None)
                replies.append(pb.LeaseTold(piece=ask.piece, number=ask.number, token=answer.token))
            else:
                why = f"{answer.owner} has it" if answer.owner else "no grants yet after the service started"
                self.refusals.setdefault(ask.piece, {})[message.owner] = why
                replies.append(
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
                await self.when_durable()
        except OSError:
            return  # no answer: the owner asks again, and is refused until the store is usable
        for row in replies:
            send(pb.WatchReply(lease=row))
        for act in message.acts:
            send(pb.WatchReply(act=await self.perform(message.owner, act)))

    async def perform(self, owner, act):
        """Carries out an act if the fence accepts its token, and records it."""
        task, at = task_of(act.piece), now()
        self.granter.observe_token(act.token)
        if task not in self.tasks:
            return pb.ActTold(piece=act.piece, number=act.number, refused=f"the duty {task[:40]!r} is not enabled here")
        if not self.fence.accepts(act.piece, act.token, owner):
            known_token = self.fence.token(act.piece)
            self.granter.observe_token(known_token)
            self.record_event("refused", act.piece, owner, act.token)
            return pb.ActTold(piece=act.piece, number=act.number, token=known_token, refused="an outdated lease")
        self.put("fence", fence=self.fence.dump())
        try:
            await self.when_durable()
            # Another act may have passed the fence during the sync; an act is not carried out after a later one.
            if self.fence.last[act.piece] != (act.token, owner):
                self.record_event("refused", act.piece, owner, act.token)
                return pb.ActTold(
                    piece=act.piece, number=act.number, token=self.fence.token(act.piece), refused="an outdated lease"
                )
            self.record_event("act", act.piece, owner, act.token)
            result = await self.act(task, msgspec.json.decode(act.what or b"{}"), owner)
            last = json.dumps({"by": owner, "token": act.token, "did": result}).encode()
            self.last_acts[act.piece], self.last_act_at[act.piece] = last, at
            self.put("done", piece=act.piece, data=last)
            await self.when_durable()
        except (OSError, ValueError, msgspec.MsgspecError, grpc.aio.AbortError) as error:
            return pb.ActTold(piece=act.piece, number=act.number, refused=str(error)[:300])
        return pb.ActTold(piece=act.piece, number=act.number, said=json.dumps(result).encode())

    def record_event(self, event, piece, owner, token):
        """Writes a lease event to the log and to the recorder."""
        self.log.info("lease", did=event, piece=piece, owner=owner, token=token)
        if self.recorder:
            self.recorder.put("lease", did=event, piece=piece, owner=owner, token=token)

    # Operators

    async def answer_operator(self, request):
        """The LeasesReply. With `release`, a piece is first taken from its holder by a newer token."""
        refused, time_now = "", now()
        if request.release and self.broken is not None:
            refused = f"the store failed: {self.broken}"
        elif request.release:
            row = self.granter.rows.get(request.release)
            if row is None:
                refused = f"no lease of {request.release[:60]!r} was ever granted"
            else:
                # The operator gets a token of its own. The fence here has it at once and refuses the holder's acts.
                self.granter.count += 1
                token, owner = self.granter.count, f"{OPERATOR}.{request.who[:60]}"
                # No new holder before the released holder's span ends; `until` stays as it was.
                self.granter.rows[request.release] = row._replace(owner=owner, token=token)
                self.granter.add_event(request.release, "released", owner, token)
                self.fence.accepts(request.release, token, owner)
                self.put("grant", data=self.granter.record())
                self.put("fence", fence=self.fence.dump())
                self.record_event("released", request.release, owner, token)
                try:
                    await self.when_durable()
                except OSError as error:
                    refused = str(error)
        rows = [
            pb.LeaseRow(
                piece=piece,
                owner=row.owner,
                token=row.token,
                left_ms=(row.until - time_now) // 10,
                last=self.last_acts.get(piece, b"").decode(),
                last_ms_ago=(time_now - self.last_act_at.get(piece, time_now)) // 10,
                refused=[f"{o}: {why}" for o, why in sorted(self.refusals.get(piece, {}).items())],
            )
            for piece, row in sorted(self.granter.rows.items())
        ]
        past = self.granter.past[-(request.history or 0) :] if request.history else []
        return pb.LeasesReply(
            on=True,
            count=self.granter.count,
            opens_ms=(self.grants_from - time_now) // 10,
            rows=rows,
            refused=refused,
            past=[pb.LeaseEvent(piece=e.piece, what=e.what, owner=e.owner, token=e.token) for e in past],
            tasks=[
                f"{t.name}: period {t.period / 1e4:g} s, span {t.span / 1e4:g} s, step {t.step / 1e4:g} s, drift "
                f"{t.drift:g}{', box by box' if t.pieces else ''}"
                for t in self.tasks.values()
            ],
        )
