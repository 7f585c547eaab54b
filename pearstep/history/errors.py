"""The base class of the errors of this package."""


class HistoryPackageError(Exception):
    """An error in the history of finished jobs; the message is one line for the operator."""
