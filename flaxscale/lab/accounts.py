"""A manager's own account as JSON lines, for a judge that shares no code with it."""

import msgspec

from ..audit.account import as_plain, rows_in
from ..store.files import Files
from ..store.log import Log, StoreError


def write_account(folder, file):
    """Writes what an account holds; one that can't be read leaves a file that says why."""
    try:
        rows = [as_plain(row) for row in rows_in(Log(Files(folder)).found)]
    except (StoreError, ValueError, OSError) as bad:
        rows = [{"what": "unreadable", "detail": str(bad)}]
    file.write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))
