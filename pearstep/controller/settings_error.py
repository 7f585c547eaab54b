"""What both settings files share: the error, and checks that report a wrong setting in one line."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

MAX_PORT = 65535

T = TypeVar("T")


class SettingsError(Exception):
    """A setting is missing or wrong; the text is one line for the operator."""


def convert(data: Any, cls: type[T], name: str) -> T:
    """Convert a file's content to a type; raise SettingsError with the file's name."""
    try:
        return msgspec.convert(data, cls, strict=False)
    except msgspec.ValidationError as err:
        raise SettingsError(f"{name}: {err}") from err


def parse_address(text: str) -> tuple[str, int]:
    """Split an address 'host:port'; raise SettingsError if it is not of this form."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise SettingsError(f"not an address of the form host:port: {text!r}")
    return host, int(port)
