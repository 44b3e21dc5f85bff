"""What is kept or sent as msgpack under a number of its shape, read back."""

import msgspec


def decoded(data, kind, shape, what):
    """data as `kind`, a Struct with a field `shape`. ValueError where it is none, or of a shape not known here."""
    try:
        kept = msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as bad:
        raise ValueError(f"no {what} of this program's making: {bad}") from None
    if kept.shape != shape:
        raise ValueError(f"{what} in shape {kept.shape}, which this program does not know (it knows {shape})")
    return kept
