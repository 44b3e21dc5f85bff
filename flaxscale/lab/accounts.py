"""A manager's own account as JSON lines, for a judge that shares no code with it."""
import msgspec

from ..audit.account import Began, Did, Dropped, Stamped, rows_of
from ..store.files import Files
from ..store.log import Log, StoreError

WHAT = {Began: "life", Stamped: "stamp", Did: "did", Dropped: "dropped"}


def told(row):
    """A row of the account as plain values."""
    plain = msgspec.structs.asdict(row)
    if isinstance(row, Stamped):
        plain["stamp"] = msgspec.structs.asdict(row.stamp)
    return {"what": WHAT[type(row)], **plain}


def write_account(folder, file):
    """Writes what an account holds; one that can't be read leaves a file that says why."""
    try:
        rows = [told(row) for row in rows_of(Log(Files(folder)).found)]
    except (StoreError, ValueError, OSError) as bad:
        rows = [{"what": "unreadable", "detail": str(bad)}]
    file.write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))
