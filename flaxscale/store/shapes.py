"""Decoding of msgpack data that carries the number of its shape."""

import msgspec


def decoded(data, kind, shape, what):
    """data as `kind`, a Struct with a field `shape`. ValueError where it can't be decoded or has another shape."""
    try:
        kept = msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as bad:
        raise ValueError(f"no {what} that can be decoded: {bad}") from None
    if kept.shape != shape:
        raise ValueError(f"{what} in shape {kept.shape}, which this program can't read (it reads {shape})")
    return kept
