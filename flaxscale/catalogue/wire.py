"""Titles and messages as protobuf, and back."""

from ..proto import catalogue_pb2 as pb
from .replication import SnapshotPart
from .state import Delta, Title


def title_out(t):
    return pb.Title(
        name=t.name,
        view=t.view,
        push=t.push,
        low=t.low,
        top=t.top,
        codecs=t.codecs,
        seats=[pb.PackageSeats(package=p, seats=n) for p, n in t.seats],
        holders=[pb.Holder(box=b, state=s) for b, s in t.holders],
    )


STATES = {"preparing": "preparing", "holding": "holding", "leaving": "leaving"}  # one string each, not one a holder


def title_in(t):
    """A Title; a holder's state that this program does not know is a ValueError, so that the version is refused."""
    try:
        holders = tuple(sorted((h.box, STATES[h.state]) for h in t.holders))
    except KeyError as odd:
        raise ValueError(f"title {t.name[:60]!r}: a holder's state {odd} that this program does not know") from None
    return Title(
        t.name,
        t.view if t.HasField("view") else None,
        t.push if t.HasField("push") else None,
        t.low,
        t.top,
        tuple(t.codecs),
        tuple(sorted((s.package, s.seats) for s in t.seats)),
        holders,
    )


def reply_out(epoch, message):
    if isinstance(message, Delta):
        return pb.WatchReply(
            epoch=epoch,
            delta=pb.Delta(
                version=message.version,
                titles=[title_out(t) for t in message.titles.values() if t is not None],
                dropped=[n for n, t in message.titles.items() if t is None],
                floor=message.floor,
            ),
        )
    return pb.WatchReply(epoch=epoch, part=part_out(message))


def part_out(message):
    return pb.WholePart(
        version=message.version,
        titles=[title_out(t) for t in message.titles],
        first=message.first,
        last=message.last,
        floor=message.floor,
    )


def reply_in(reply):
    """A Delta or a SnapshotPart."""
    if reply.WhichOneof("what") == "delta":
        titles = {t.name: title_in(t) for t in reply.delta.titles}
        titles.update(dict.fromkeys(reply.delta.dropped))
        return Delta(reply.delta.version, titles, reply.delta.floor)
    part = reply.part
    return SnapshotPart(part.version, tuple(title_in(t) for t in part.titles), part.first, part.last, part.floor)
