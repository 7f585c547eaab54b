"""What is kept how long, who may store how much, and when nothing more is taken: decisions only."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from pearstep.archive.records import EXPIRED, Record, change
from pearstep.domain.units import SECOND_US

DAY_US = 86_400 * SECOND_US
IMAGE_CLASS = "image"
NotNegative = Annotated[float, Meta(ge=0)]


class Retention(msgspec.Struct, forbid_unknown_fields=True):
    """Days that ended attempts are kept, by class; ``default_days`` for all other classes.

    0 means for ever. After that time the record alone is left, which says that the attempt was there; after
    ``record_days`` more it is removed too (0: never). Images are kept until they are removed by hand.
    """

    default_days: NotNegative = 0.0
    classes: dict[str, NotNegative] = {}
    record_days: NotNegative = 365.0

    def rules(self) -> list[tuple[str, int]]:
        """(class, age in microseconds) for all that ends at some time; the class '' is the rest."""
        out = [(cls, int(days * DAY_US)) for cls, days in sorted(self.classes.items()) if days]
        if self.default_days:
            out.append(("", int(self.default_days * DAY_US)))
        return out

    def due(self, record: Record, wall_us: int) -> bool:
        """Whether a record is past its time."""
        days = 0.0 if record.cls == IMAGE_CLASS else self.classes.get(record.cls, self.default_days)
        return bool(days) and record.ended_us > 0 and wall_us - record.ended_us >= days * DAY_US

    def forgotten(self, record: Record, wall_us: int) -> bool:
        """Return whether nothing of an attempt need be known any more.

        It follows from the record alone, so that all copies are removed without a message between the nodes.
        """
        days = self.classes.get(record.cls, self.default_days) + self.record_days
        return (
            record.state == EXPIRED and bool(self.record_days) and wall_us - record.ended_us >= days * DAY_US
        )

    def too_old(self, cls: str, opened_us: int, wall_us: int) -> bool:
        """Return whether an attempt that nobody here knows may be one whose record was removed.

        A worker that comes back after years must not open it a second time.
        """
        kept = 0.0 if cls == IMAGE_CLASS else self.classes.get(cls, self.default_days)
        return bool(kept and self.record_days) and wall_us - opened_us >= (kept + self.record_days) * DAY_US


def expire(record: Record) -> Record:
    """The record that is left of an attempt past its time."""
    return change(record, EXPIRED)


class Room:
    """Decides whether something more may be stored.

    ``reserve_bytes`` stay free on the disk, so that ends of attempts and the reclaiming of space can still be
    written; ``quotas`` are bytes by team, 0 or none: no limit.
    """

    def __init__(self, reserve_bytes: int, quotas: dict[str, int]) -> None:
        """Create a check with a disk reserve and quotas by team; nothing is counted yet."""
        self.reserve_bytes = reserve_bytes
        self.quotas = quotas
        self.used: dict[str, int] = {}
        self.free = 1 << 62

    def counted(self, used: dict[str, int], free: int) -> None:
        """Figures read from the index and the disk, now and then."""
        self.used, self.free = dict(used), free

    def refusal(self, team: str, length: int) -> tuple[int, str] | None:
        """(status, reason) if ``length`` more bytes of a team cannot be taken now."""
        if length and self.free - length < self.reserve_bytes:
            return 503, "the archive's disk is full"
        quota = self.quotas.get(team, 0)
        if length and quota and self.used.get(team, 0) + length > quota:
            return 429, f"team {team} has used its quota of {quota} bytes"
        return None

    def took(self, team: str, length: int) -> None:
        """Count what was stored since."""
        self.used[team] = self.used.get(team, 0) + length
        self.free -= length
