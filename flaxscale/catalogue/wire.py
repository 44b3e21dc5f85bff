"""Conversion of titles and replication messages to protobuf and back."""

from ..proto import catalogue_pb2 as pb
from .replication import SnapshotPart
from .state import Delta, Title


def title_to_pb(t):
    """The protobuf message of a Title."""
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


STATES = {
    "preparing": "preparing",
    "holding": "holding",
    "leaving": "leaving",
}  # interned: a shared string for each state, not one for each holder


def title_from_pb(t):
    """The Title of a message. An unknown holder state is a ValueError, which makes the follower refuse the version."""
    try:
        holders = tuple(sorted((h.box, STATES[h.state]) for h in t.holders))
    except KeyError as unknown:
        raise ValueError(f"title {t.name[:60]!r}: holder state {unknown} is unknown") from None
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


def reply_to_pb(epoch, message):
    """The WatchReply that carries a Delta or a SnapshotPart."""
    if isinstance(message, Delta):
        return pb.WatchReply(
            epoch=epoch,
            delta=pb.Delta(
                version=message.version,
                titles=[title_to_pb(t) for t in message.titles.values() if t is not None],
                dropped=[n for n, t in message.titles.items() if t is None],
                floor=message.floor,
            ),
        )
    return pb.WatchReply(epoch=epoch, part=part_to_pb(message))


def part_to_pb(message):
    """The protobuf message of a SnapshotPart."""
    return pb.WholePart(
        version=message.version,
        titles=[title_to_pb(t) for t in message.titles],
        first=message.first,
        last=message.last,
        floor=message.floor,
    )


def reply_from_pb(reply):
    """The Delta or SnapshotPart of a WatchReply."""
    if reply.WhichOneof("what") == "delta":
        titles = {t.name: title_from_pb(t) for t in reply.delta.titles}
        titles.update(dict.fromkeys(reply.delta.dropped))
        return Delta(reply.delta.version, titles, reply.delta.floor)
    part = reply.part
    return SnapshotPart(part.version, tuple(title_from_pb(t) for t in part.titles), part.first, part.last, part.floor)
