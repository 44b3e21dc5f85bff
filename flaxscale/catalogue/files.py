"""Catalogues in files: Jsonnet for hand-written ones, Parquet for large ones; and change sets."""

import pathlib

import msgspec

from ..site.load import SiteError, decode_as, evaluate_jsonnet
from .state import HOLDING, Drop, Op, Put, put_from_title


class TitleRow(msgspec.Struct, forbid_unknown_fields=True):
    """One title in a Jsonnet file. holders: a list of boxes that hold it, or a mapping of box to state."""

    view: str | None = None
    push: str | None = None
    low: int = 0
    top: int = 99
    codecs: list[str] = msgspec.field(default_factory=list)
    seats: dict[str, int] = msgspec.field(default_factory=dict)
    holders: list[int] | dict[str, str] = msgspec.field(default_factory=list)


class CatalogueFile(msgspec.Struct, forbid_unknown_fields=True):
    """A Jsonnet catalogue file."""

    titles: dict[str, TitleRow]


def read_catalogue(file):
    """A Put for each title in the file. SiteError names the file and the key, or the row and column in Parquet."""
    if pathlib.Path(file).suffix == ".parquet":
        return read_parquet(file)
    rows = decode_as(file, evaluate_jsonnet(file), CatalogueFile).titles
    return [
        Put(
            name,
            r.view,
            r.push,
            r.low,
            r.top,
            tuple(r.codecs),
            r.seats,
            {str(b): HOLDING for b in r.holders} if isinstance(r.holders, list) else r.holders,
        )
        for name, r in rows.items()
    ]


COLUMNS = {"name": str, "view": str, "push": str, "low": int, "top": int, "codecs": list, "holders": list}


def read_parquet(file):
    """Reads a Parquet catalogue: one row for each title, with the columns COLUMNS."""
    import pyarrow
    import pyarrow.parquet

    try:
        table = pyarrow.parquet.read_table(file)
    except (OSError, pyarrow.ArrowException) as error:
        raise SiteError(file, "", f"can't be read as Parquet: {str(error)[:200]}") from None
    if unknown := [name for name in table.column_names if name not in COLUMNS]:
        raise SiteError(file, unknown[0], f"not a column of a catalogue, which are {', '.join(COLUMNS)}")
    if "name" not in table.column_names or "holders" not in table.column_names:
        raise SiteError(file, "columns", "at least name and holders expected")
    columns, row_numbers, puts = {name: table[name].to_pylist() for name in table.column_names}, {}, []
    for n, name in enumerate(columns["name"]):
        row = {key: values[n] for key, values in columns.items()}
        for key, kind in COLUMNS.items():
            if row.get(key) is not None and not isinstance(row[key], kind):
                raise SiteError(file, f"row {n}, column {key}", f"{kind.__name__} expected")
        if name is None or row["holders"] is None:
            raise SiteError(file, f"row {n}", "name and holders expected")
        if name in row_numbers:
            raise SiteError(file, f"row {n}, column name", f"{name[:60]!r} is in row {row_numbers[name]} too")
        row_numbers[name] = n
        if not all(isinstance(b, int) for b in row["holders"]):
            raise SiteError(file, f"row {n}, column holders", "box ids expected")
        puts.append(
            Put(
                name,
                row.get("view"),
                row.get("push"),
                row.get("low") or 0,
                99 if row.get("top") is None else row["top"],
                tuple(row.get("codecs") or ()),
                {},
                {str(b): HOLDING for b in row["holders"]},
            )
        )
    return puts


def write_parquet(file, titles):
    """Writes titles as a Parquet catalogue; of the holders only those that hold."""
    import pyarrow
    import pyarrow.parquet

    rows = list(titles)
    pyarrow.parquet.write_table(
        pyarrow.table(
            {
                "name": [t.name for t in rows],
                "view": pyarrow.array([t.view for t in rows], pyarrow.string()),
                "push": pyarrow.array([t.push for t in rows], pyarrow.string()),
                "low": [t.low for t in rows],
                "top": [t.top for t in rows],
                "codecs": pyarrow.array([list(t.codecs) for t in rows], pyarrow.list_(pyarrow.string())),
                "holders": [[b for b, s in t.holders if s == HOLDING] for t in rows],
            }
        ),
        file,
        compression="zstd",
    )


def read_ops(file):
    """Reads a change set: a Jsonnet file with a list of operations (docs/operators/catalogue.md)."""
    return decode_as(file, evaluate_jsonnet(file), list[Op])


def ops_to_reach(titles, puts, keep=False):
    """The operations that turn `titles` into the Puts' titles. Titles without a Put are dropped, or stay with keep."""
    named = {p.name for p in puts}
    ops = [p for p in puts if p.name not in titles or put_from_title(titles[p.name]) != p]
    return ops + ([] if keep else [Drop(name) for name in titles if name not in named])
