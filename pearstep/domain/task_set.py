"""Sets of a job's tasks as bit masks and as text."""

from __future__ import annotations


def task_numbers(mask: int, max_count: int | None = None) -> list[int]:
    """List the task numbers in a bit mask in ascending order; zero bits cost no time.

    Args:
        mask: the set of tasks.
        max_count: the largest number of tasks to list; None: all.
    """
    numbers: list[int] = []
    while mask and len(numbers) != max_count:
        lowest_bit = mask & -mask
        numbers.append(lowest_bit.bit_length() - 1)
        mask ^= lowest_bit
    return numbers


def format_task_ranges(mask: int) -> str:
    """Format a bit mask as task ranges, for example '0-4,7'.

    Each run of ones is handled in one step, so that long runs cost little.
    """
    ranges = []
    base = 0
    while mask:
        zeros = (mask & -mask).bit_length() - 1
        mask >>= zeros
        base += zeros
        ones = ((mask + 1) & ~mask).bit_length() - 1
        ranges.append(str(base) if ones == 1 else f"{base}-{base + ones - 1}")
        mask >>= ones
        base += ones
    return ",".join(ranges)


def parse_task_ranges(text: str) -> int:
    """Parse the output of ``format_task_ranges`` into a bit mask.

    Raises:
        ValueError: the text is not a list of ranges.
    """
    mask = 0
    for task_range in filter(None, text.split(",")):
        first_text, _, last_text = task_range.partition("-")
        first = int(first_text)
        last = int(last_text or first_text)
        mask |= ((1 << (last - first + 1)) - 1) << first
    return mask
