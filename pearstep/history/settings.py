"""The operator's settings for the history of finished jobs: a YAML file that is checked at start."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from pearstep.history.errors import HistoryPackageError
from pearstep.transport.settings_file import Positive, PositiveInt, read_settings


class HistorySettingsError(HistoryPackageError):
    """A setting is missing or invalid; the message is one line for the operator."""


class HistorySettings(msgspec.Struct, forbid_unknown_fields=True):
    """The settings of the history file.

    Attributes:
        rest_s: The minimum time for which a finished job keeps its records, in seconds.
        keep: The number of finished jobs that keep their records.
        batch: The number of further finished jobs at which compaction begins.
        share: The share of the controller's write budget that compaction may use if none is spare.
        kept_blocks: The number of unpacked blocks cached for polls of old jobs, about 0.3 MB each.
        most_waiting: The number of lookups that may wait for a block at a time; others must be retried.
        step_s: The interval between steps, in seconds.
    """

    rest_s: Positive = 60.0
    keep: PositiveInt = 2000
    batch: PositiveInt = 1000
    share: Annotated[float, Meta(gt=0, le=1)] = 0.1
    kept_blocks: PositiveInt = 16
    most_waiting: PositiveInt = 32
    step_s: Positive = 0.25


def load(file: str) -> HistorySettings:
    """Read and check a file.

    Raises:
        HistorySettingsError: The file can't be read or a setting is wrong; the text is one line.
    """
    return read_settings(file, HistorySettings, HistorySettingsError)
