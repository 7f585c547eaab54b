"""The error raised for malformed messages."""


class MalformedMessageError(Exception):
    """A message cannot be decoded or is invalid; the text says why."""
