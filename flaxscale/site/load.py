"""Reads a Jsonnet file into one of the checked shapes; an error names the file, the key and what was expected."""

import pathlib

import msgspec


class SiteError(Exception):
    """file, key and what was expected there."""

    def __init__(self, file, key, expected):
        super().__init__(f"{file}: {key}: {expected}" if key else f"{file}: {expected}")
        self.file, self.key, self.expected = str(file), key, expected


def raise_first_fault(file, found, under=""):
    """Raises for the first of (key, what was expected) and counts the others; nothing where none was found."""
    if found:
        more = f" (and {len(found) - 1} more)" if len(found) > 1 else ""
        raise SiteError(file, under + found[0][0], f"{found[0][1]} expected{more}")


def evaluate_jsonnet(file, **given):
    """The JSON that a Jsonnet file gives; `given` are external variables, for std.extVar."""
    import _jsonnet  # a manager whose configuration is JSON runs without it

    path = pathlib.Path(file)
    try:
        path.read_bytes()
    except OSError as error:
        raise SiteError(file, "", f"can't be read: {error.strerror}") from None
    try:
        return _jsonnet.evaluate_file(str(path), ext_vars={k: str(v) for k, v in given.items()}, max_stack=200)
    except RuntimeError as error:
        text = " / ".join(line.strip() for line in str(error).strip().splitlines()[:3])
        raise SiteError(file, "", f"not Jsonnet that can be evaluated: {text}") from None


def decode_as(file, text, kind):
    """The JSON text as an instance of `kind`."""
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.ValidationError as error:
        said, _, at = str(error).partition(" - at ")
        key = at.strip("`").removeprefix("$").lstrip(".") or "the file's own object"
        raise SiteError(file, key.replace("[...]", ".*"), said) from None
    except msgspec.DecodeError as error:
        raise SiteError(file, "", f"not JSON: {error}") from None
