"""Converts announcements to protobuf and back."""

from ..proto import peaks_pb2 as pb
from .announce import Announcement, BoxRoom


def peak_out(p):
    """The protobuf message of an Announcement."""
    return pb.Peak(
        name=p.name,
        titles=p.titles,
        packages=p.packages,
        start_s=p.start_s,
        end_s=p.end_s,
        rate=p.rate,
        ramp_s=p.ramp_s,
        length_s=p.length_s,
        rung=p.rung,
        sure=p.sure,
        lead_s=p.lead_s,
        schedule=[pb.BoxRoom(box=b.box, steps=[pb.Step(at_s=s, kb=kb) for s, kb in b.steps]) for b in p.schedule],
    )


def peak_in(p):
    """The Announcement of a protobuf message."""
    return Announcement(
        p.name,
        tuple(p.titles),
        p.start_s,
        p.end_s,
        p.rate,
        p.ramp_s,
        p.length_s,
        p.rung,
        p.sure,
        tuple(p.packages),
        p.lead_s,
        tuple(BoxRoom(b.box, tuple((s.at_s, s.kb) for s in b.steps)) for b in p.schedule),
    )
