"""What of a worker's logs is still to be shipped to the archive, and what is dropped if it is too much.

These are decisions without input or output. The files themselves are the spool.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pearstep.archive.records import STREAMS, Key, Seal
from pearstep.domain.state_machine import TransitionTable

LIVE = "live"  # its task runs, or has ended and its length is not settled
ENDED = "ended"  # its length is final
SEALED = "sealed"  # the archive has all of it
GIVEN_UP = "given up"  # the archive will never take the rest: fenced, past its retention, or malformed

SPOOLED = TransitionTable(
    "spooled attempt", {LIVE: (ENDED, GIVEN_UP), ENDED: (SEALED, GIVEN_UP), SEALED: (), GIVEN_UP: ()}
)


class Stream(msgspec.Struct):
    """One stream of an attempt.

    ``size`` is the file's, ``acked`` what the archive confirmed, ``sent`` what is on its way, ``floor`` up to
    where the file was emptied; bytes from ``acked`` to ``floor`` are lost.
    """

    size: int = 0
    acked: int = 0
    sent: int = 0
    floor: int = 0


class Piece(msgspec.Struct, frozen=True):
    """What to send next of a stream: bytes of the file, or a hole."""

    stream: str
    offset: int
    length: int
    hole: bool = False


class Spooled:
    """One attempt on its way to the archive."""

    def __init__(self, key: Key, session: int, team: str, cls: str, opened_us: int) -> None:
        """Create the spool of a live attempt with empty streams."""
        self.key = key
        self.session = session
        self.team = team
        self.cls = cls
        self.opened_us = opened_us
        self.state = LIVE
        self.streams = {name: Stream() for name in STREAMS}
        self.seal: Seal | None = None
        self.opened = False
        # An agent that was started anew asks first what the archive has, instead of sending it again.
        self.probe = False
        self.said_us = -(1 << 60)
        self.not_before_us = 0
        self.flying = False
        self.dropped = 0

    @property
    def unconfirmed(self) -> int:
        """Bytes on this machine that are nowhere else."""
        return sum(s.size - max(s.acked, s.floor) for s in self.streams.values())

    def grown(self, sizes: dict[str, int]) -> None:
        """The files' sizes now."""
        for name, size in sizes.items():
            self.streams[name].size = max(self.streams[name].size, size)

    def end(self, seal: Seal) -> None:
        """Nothing is written any more."""
        self.seal = seal
        self.grown(seal.ends)
        SPOOLED.transition(self, ENDED)

    def next(self, most: int, piece: int, now_us: int, keep_us: int) -> tuple[list[Piece], bool] | None:
        """Return the pieces to send now, at most ``most`` bytes, and whether the end goes with them.

        None if there is nothing to say. An attempt that has nothing new says that it is alive every
        ``keep_us``.
        """
        if self.flying or self.state in (SEALED, GIVEN_UP) or now_us < self.not_before_us:
            return None
        if self.probe:
            return [], False
        pieces: list[Piece] = []
        left = most
        whole = True
        for name, s in self.streams.items():
            at = s.acked
            if at < s.floor:
                pieces.append(Piece(name, at, s.floor - at, hole=True))
                at = s.floor
            while at < s.size and left > 0:
                length = min(piece, s.size - at, left)
                pieces.append(Piece(name, at, length))
                at += length
                left -= length
            s.sent = at
            whole = whole and at >= s.size
        seals = self.state == ENDED and whole
        if not pieces and not seals and self.opened and now_us - self.said_us < keep_us:
            return None
        return pieces, seals

    def sent(self, now_us: int) -> None:
        """An append is on its way."""
        self.flying = True
        self.said_us = now_us

    def answered(
        self, status: int, have: dict[str, int], sealed: bool, retry_us: int, now_us: int
    ) -> str | None:
        """The archive's answer; a sentence for the log if the attempt is given up."""
        self.flying = False
        if status == 200:
            self.opened, self.probe = True, False
            self._confirm(have)
            if sealed:
                SPOOLED.transition(self, SEALED)
        elif status == 409:
            if self.state == ENDED and all(
                have.get(n, 0) > s.size for n, s in self.streams.items() if s.size
            ):
                SPOOLED.transition(self, GIVEN_UP)
                return "the archive has more of this attempt than was written"
            # It wants what was confirmed once and is lost there: it gets what is left here, and holes.
            for name, s in self.streams.items():
                s.acked = min(have.get(name, 0), s.size)
            self.not_before_us = now_us + retry_us
        elif status in (403, 410, 422, 413):
            SPOOLED.transition(self, GIVEN_UP)
            return {403: "a later session writes it", 410: "it is past its retention"}.get(
                status, "the archive refuses it"
            )
        else:
            self.not_before_us = now_us + retry_us
        return None

    def _confirm(self, have: dict[str, int]) -> None:
        for name, end in have.items():
            s = self.streams[name]
            s.acked = max(s.acked, min(end, s.size))

    def drop(self, count: int) -> list[tuple[str, int, int]]:
        """Give up the oldest unconfirmed bytes, ``count`` of them; ranges of files to empty."""
        out = []
        for name, s in sorted(self.streams.items(), key=lambda i: i[1].acked - i[1].size):
            begin = max(s.acked, s.floor)
            take = min(count, s.size - begin)
            # What is on its way now may arrive: it is left alone.
            if take <= 0 or self.flying:
                continue
            out.append((name, begin, take))
            s.floor = begin + take
            self.dropped += take
            count -= take
        return out


def over_bound(spools: Iterable[Spooled], bound: int) -> list[tuple[Spooled, int]]:
    """Choose which attempts give up how many bytes so that no more than ``bound`` are kept.

    Those with the most come first, since what writes without end should not cost the others their logs.
    """
    waiting = sorted(spools, key=lambda s: s.unconfirmed, reverse=True)
    over = sum(s.unconfirmed for s in waiting) - bound
    out = []
    for i, spool in enumerate(waiting):
        if over <= 0:
            break
        following = waiting[i + 1].unconfirmed if i + 1 < len(waiting) else 0
        share = max(min(spool.unconfirmed - following, over), min(over, spool.unconfirmed // 2))
        if share > 0:
            out.append((spool, share))
            over -= share
    return out
