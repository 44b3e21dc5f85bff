"""Reads Jsonnet files into structs; an error has the file, the key and what was expected."""

import pathlib

import msgspec


class SiteError(Exception):
    """A fault in a settings file: the file, the key and what was expected."""

    def __init__(self, file, key, expected):
        super().__init__(f"{file}: {key}: {expected}" if key else f"{file}: {expected}")
        self.file, self.key, self.expected = str(file), key, expected


def raise_first_fault(file, faults, under=""):
    """Raises SiteError for the first of the (key, expected) pairs, with a count of the others, if there are any."""
    if faults:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        raise SiteError(file, under + faults[0][0], f"{faults[0][1]} expected{more}")


def evaluate_jsonnet(file, **variables):
    """The JSON text of an evaluated Jsonnet file; `variables` are for std.extVar."""
    import _jsonnet  # imported here: a manager with a JSON configuration runs without it

    path = pathlib.Path(file)
    try:
        path.read_bytes()
    except OSError as error:
        raise SiteError(file, "", f"can't be read: {error.strerror}") from None
    try:
        return _jsonnet.evaluate_file(str(path), ext_vars={k: str(v) for k, v in variables.items()}, max_stack=200)
    except RuntimeError as error:
        text = " / ".join(line.strip() for line in str(error).strip().splitlines()[:3])
        raise SiteError(file, "", f"not Jsonnet that can be evaluated: {text}") from None


def decode_as(file, text, kind):
    """The JSON text decoded as an instance of `kind`; SiteError where it does not fit."""
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.ValidationError as error:
        detail, _, at = str(error).partition(" - at ")
        key = at.strip("`").removeprefix("$").lstrip(".") or "the file's own object"
        raise SiteError(file, key.replace("[...]", ".*"), detail) from None
    except msgspec.DecodeError as error:
        raise SiteError(file, "", f"not JSON: {error}") from None
