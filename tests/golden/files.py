"""Reads golden files, and converts objects to plain values to compare with them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

FOLDER = Path(__file__).parent


def path(name: str) -> Path:
    """Return the path of a golden file, named with its area: ``state/job_all.json``."""
    return FOLDER / name


def read(name: str) -> bytes:
    """Return the content of a golden file."""
    return path(name).read_bytes()


def table(name: str) -> Any:
    """Return the decoded content of a golden file that is a JSON table, such as keys or paths by name."""
    return msgspec.json.decode(read(name))


def names(area: str) -> set[str]:
    """Return the names of all golden files of an area, as ``area/file``."""
    return {file.relative_to(FOLDER).as_posix() for file in (FOLDER / area).rglob("*") if file.is_file()}


def fields(value: Any) -> Any:
    """Return an object as dicts and lists, with its fields by the names of their attributes."""
    if isinstance(value, msgspec.Struct):
        return {name: fields(getattr(value, name)) for name in value.__struct_fields__}
    if isinstance(value, msgspec.Raw):
        return bytes(value).decode()
    if isinstance(value, dict):
        return {key: fields(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [fields(item) for item in value]
    if isinstance(value, (set, frozenset)):
        return sorted(fields(item) for item in value)
    return value
