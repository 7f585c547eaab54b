"""Blocks: sorted job ids with their final states, packed, and immutable once written.

A job id is ``req-`` and up to 20 digits, in no particular order. Leading zeros are significant, so the
stored number is the digits with a ``1`` in front. Gaps between sorted random numbers are close to a geometric
distribution, for which Golomb-Rice coding (Rice 1979) is near the optimum: the low ``k`` bits are written as
they are, the rest in unary (ones followed by a zero). Each gap is followed by one bit (cancelled) and the
number of done tasks in Elias gamma code (1975). The bits are stored as base 85 text, which JSON doesn't
escape: 5 characters for 4 bytes.
"""

from __future__ import annotations

import base64
from bisect import bisect_left
from collections.abc import Iterable
from itertools import pairwise

import msgspec

from pearstep.domain.job_state import JobState
from pearstep.history.errors import HistoryPackageError

VERSION = 1
PREFIX = "req-"
MAX_DIGITS = 20
# Bits of the largest number: a 1 and 20 digits.
NUMBER_BITS = 68
# The header of a block: the version, the parameter k of the code, and the number of entries.
VERSION_BITS = 8
PARAMETER_BITS = 8
COUNT_BITS = 20
_PARAMETER_END = VERSION_BITS + PARAMETER_BITS
HEADER_BITS = _PARAMETER_END + COUNT_BITS
MIN_BLOCK_BYTES = 5


class BadBlockError(HistoryPackageError):
    """The bytes are not a valid block; the message says why."""


class HistoryEntry(msgspec.Struct, frozen=True, order=True):
    """The entry of a finished job: its number, whether it was cancelled, and how many tasks were done."""

    number: int
    cancelled: bool
    done: int

    @property
    def state(self) -> str:
        """The final state of the job, in the terms of its record."""
        return JobState.CANCELLED if self.cancelled else JobState.DONE


def parse_job_number(job_id: str) -> int | None:
    """Return the number of a job id; None for ids of another form, whose jobs are never compacted."""
    digits = job_id.removeprefix(PREFIX)
    if len(digits) == len(job_id) or not 1 <= len(digits) <= MAX_DIGITS:
        return None
    return int("1" + digits) if digits.isascii() and digits.isdigit() else None


def format_job_id(number: int) -> str:
    """Return the job id of a number."""
    return PREFIX + str(number)[1:]


def _elias_gamma(value: int) -> str:
    """Return the Elias gamma code of a positive number."""
    bits = bin(value)[2:]
    return "0" * (len(bits) - 1) + bits


def _encode_outcome(entry: HistoryEntry) -> str:
    """Return the bits of an entry after its number: cancelled, and the number of done tasks."""
    return str(int(entry.cancelled)) + _elias_gamma(entry.done + 1)


def _encode_entry(gap: int, rice_parameter: int, entry: HistoryEntry) -> str:
    """Return the bits of an entry whose number is ``gap`` larger than the previous one."""
    low_bits = format(gap & ((1 << rice_parameter) - 1), f"0{rice_parameter}b") if rice_parameter else ""
    return "1" * (gap >> rice_parameter) + "0" + low_bits + _encode_outcome(entry)


def _text_length(bits: int) -> int:
    """Return the length of ``bits`` bits as text: base 85 turns 4 bytes into 5 characters."""
    whole, rest = divmod(-(-bits // 8), 4)
    return whole * 5 + (rest + 1 if rest else 0)


def _encode_text(bits: str) -> bytes:
    """Pad bits to whole bytes and return them as the text of a block."""
    bits += "0" * (-len(bits) % 8)
    return base64.b85encode(int("1" + bits, 2).to_bytes(len(bits) // 8 + 1, "big")[1:])


def pack(entries: Iterable[HistoryEntry], max_length: int) -> list[bytes]:
    """Pack entries into blocks.

    Args:
        entries: The entries, sorted by number, without duplicates.
        max_length: The largest length of a block in characters.

    Raises:
        ValueError: The entries are not sorted, or two have the same number.
    """
    ordered = list(entries)
    if any(second.number <= first.number for first, second in pairwise(ordered)):
        raise ValueError("entries must be in order of their numbers, without duplicates")
    if not ordered:
        return []
    mean_gap = (ordered[-1].number - ordered[0].number) // max(len(ordered) - 1, 1)
    rice_parameter = max(mean_gap.bit_length() - 1, 0)
    header = format(VERSION, f"0{VERSION_BITS}b") + format(rice_parameter, f"0{PARAMETER_BITS}b")
    blocks: list[bytes] = []
    block_entries: list[str] = []
    entries_size = previous_number = 0
    for entry in ordered:
        entry_bits = (
            _encode_entry(entry.number - previous_number, rice_parameter, entry) if block_entries else ""
        )
        if not block_entries or _text_length(HEADER_BITS + entries_size + len(entry_bits)) > max_length:
            if block_entries:
                blocks.append(_encode_block(header, block_entries))
            # The first number of a block is written in full.
            entry_bits = format(entry.number, f"0{NUMBER_BITS}b") + _encode_outcome(entry)
            block_entries, entries_size = [], 0
        block_entries.append(entry_bits)
        entries_size += len(entry_bits)
        previous_number = entry.number
    blocks.append(_encode_block(header, block_entries))
    return blocks


def _encode_block(header: str, block_entries: list[str]) -> bytes:
    """Return the block with these encoded entries."""
    return _encode_text(header + format(len(block_entries), f"0{COUNT_BITS}b") + "".join(block_entries))


def count_entries(block: bytes) -> int:
    """Return the number of entries of a block.

    Raises:
        BadBlockError: The bytes are not a block.
    """
    return int(_decode_bits(block)[_PARAMETER_END:HEADER_BITS], 2)


def _decode_bits(block: bytes) -> str:
    """Check the version of a block and return its bits."""
    try:
        raw = base64.b85decode(block)
    except ValueError as err:
        raise BadBlockError(f"not a block: {err}") from None
    if len(raw) < MIN_BLOCK_BYTES or raw[0] != VERSION:
        raise BadBlockError(
            f"the block has version {raw[:1].hex() or 'none'}; this release reads version {VERSION}"
        )
    return bin(int.from_bytes(b"\1" + raw, "big"))[3:]


def unpack(block: bytes) -> list[HistoryEntry]:
    """Return all entries of a block.

    Raises:
        BadBlockError: The bytes are not a block.
    """
    bits = _decode_bits(block)
    rice_parameter, count = (
        int(bits[VERSION_BITS:_PARAMETER_END], 2),
        int(bits[_PARAMETER_END:HEADER_BITS], 2),
    )
    position = HEADER_BITS + NUMBER_BITS
    number = int(bits[HEADER_BITS:position], 2)
    entries: list[HistoryEntry] = []
    try:
        while True:
            cancelled = bits[position] == "1"
            # Elias gamma code: the number of leading zeros is the number of bits after the first one.
            first_one = bits.index("1", position + 1)
            end = first_one + (first_one - position - 1) + 1
            if end > len(bits):
                raise IndexError
            entries.append(HistoryEntry(number, cancelled, int(bits[first_one:end], 2) - 1))
            if len(entries) >= count:
                break
            # Rice code of the gap: the high part in unary, a zero, then the low bits.
            zero = bits.index("0", end)
            position = zero + 1 + rice_parameter
            gap = (zero - end) << rice_parameter | (
                int(bits[zero + 1 : position], 2) if rice_parameter else 0
            )
            if gap <= 0 or position >= len(bits):
                raise IndexError
            number += gap
    except (IndexError, ValueError):
        raise BadBlockError("the block is truncated or its numbers are not ascending") from None
    if len(entries) != count or "1" in bits[end:] or len(bits) - end >= 8:
        raise BadBlockError("the block has data after its last entry")
    return entries


def find_entry(entries: list[HistoryEntry], number: int) -> HistoryEntry | None:
    """Return the entry of a number in an unpacked block, or None."""
    index = bisect_left(entries, number, key=lambda entry: entry.number)
    return entries[index] if index < len(entries) and entries[index].number == number else None
