"""Reads and validates YAML settings files; an error is one line of text."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
import yaml
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
Address = Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]

T = TypeVar("T", bound=msgspec.Struct)


def read_settings(file: str | Path, cls: type[T], error: type[Exception]) -> T:
    """Read the settings in a file; raise ``error`` with one line that names the file if they are invalid."""
    try:
        raw = yaml.safe_load(Path(file).read_text()) or {}
        return msgspec.convert(raw, cls, strict=False)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as err:
        raise error(f"{file}: {' '.join(str(err).split())}") from err
