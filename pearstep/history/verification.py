"""Verifies the whole state: counts the keys of each kind and reports violated invariants."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pearstep.domain.job_state import JobState
from pearstep.domain.task_set import parse_task_ranges, task_numbers
from pearstep.history.blocks import BadBlockError, HistoryEntry, format_job_id, parse_job_number, unpack
from pearstep.history.compaction import COMPACTOR
from pearstep.history.tree import BUCKETS, Root, block_key, bucket_of, root_key
from pearstep.state import records
from pearstep.state.records import (
    HISTORY_BLOCK_PREFIX,
    HISTORY_ROOT_PREFIX,
    JobRecord,
    PlacementRecord,
    RouteRecord,
)

# Kinds of keys that extensions and commands write and check themselves.
SKIPPED_KINDS = ("l", "g", "peer", "archive", "importing", COMPACTOR)
MAX_VIOLATIONS = 200

_root_decoder = msgspec.json.Decoder(Root)
_block_decoder = msgspec.json.Decoder(str)


class Kind(msgspec.Struct):
    """The number of keys of a kind, and the total bytes of keys and values."""

    keys: int = 0
    bytes: int = 0


class Report(msgspec.Struct):
    """The result of a verification.

    Attributes:
        kinds: Counts by kind of key.
        jobs: The number of jobs that have their own record.
        open: The number of those that are not finished.
        finished: The number of compacted jobs.
        violations: Violated invariants, each with its key.
        remarks: States that are allowed and are cleaned up automatically, or that an operator should know.
    """

    kinds: dict[str, Kind] = {}
    jobs: int = 0
    open: int = 0
    finished: int = 0
    violations: list[str] = []
    remarks: list[str] = []

    def violation(self, text: str) -> None:
        """Add a violation; only the first ``MAX_VIOLATIONS`` are kept."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(text)


def verify(pairs: Iterable[tuple[str, bytes]]) -> Report:
    """Check all keys and values."""
    report = Report()
    jobs: dict[str, JobRecord] = {}
    roots: dict[str, Root] = {}
    blocks: dict[str, list[HistoryEntry]] = {}
    task_records: list[tuple[str, RouteRecord | PlacementRecord]] = []
    for key, raw in pairs:
        kind = report.kinds.setdefault(key.partition("/")[0], Kind())
        kind.keys += 1
        kind.bytes += len(key) + len(raw)
        try:
            if key.startswith(HISTORY_ROOT_PREFIX):
                roots[key] = _root_decoder.decode(raw)
            elif key.startswith(HISTORY_BLOCK_PREFIX):
                blocks[key] = unpack(_block_decoder.decode(raw).encode())
            elif key.partition("/")[0] not in SKIPPED_KINDS:
                record = records.decode_record(key, raw)
                if record is None:
                    _report_unreadable(report, key)
                elif isinstance(record, JobRecord):
                    jobs[key[2:]] = record
                elif isinstance(record, RouteRecord | PlacementRecord):
                    task_records.append((key, record))
        except (BadBlockError, msgspec.MsgspecError) as err:
            report.violation(f"{key}: {err}")
    report.jobs = len(jobs)
    report.open = sum(record.state == JobState.QUEUED for record in jobs.values())
    _check_task_records(report, jobs, task_records)
    _check_history(report, jobs, roots, blocks)
    return report


def _report_unreadable(report: Report, key: str) -> None:
    """Report a record that can't be decoded: as a violation if its kind is known, else as a remark."""
    if key.partition("/")[0] in records.RECORD_TYPES:
        report.violation(f"{key}: cannot be read")
    else:
        report.remarks.append(f"{key}: is of no kind that this release knows")


def _check_task_records(
    report: Report, jobs: dict[str, JobRecord], task_records: list[tuple[str, RouteRecord | PlacementRecord]]
) -> None:
    """Check routes and placements against the records of their jobs."""
    placed: dict[tuple[str, int], str] = {}
    routed: dict[tuple[str, int], str] = {}
    for key, record in task_records:
        job = jobs.get(key.split("/")[2])
        if job is None:
            report.remarks.append(f"{key}: its job has no record; the compactor collects it")
        elif isinstance(record, RouteRecord):
            _check_route(report, job, key, record, routed)
        else:
            _check_placement(report, job, key, record, placed)


def _check_route(
    report: Report, job: JobRecord, key: str, route: RouteRecord, routed: dict[tuple[str, int], str]
) -> None:
    """Check that a route has only tasks of its job, and none that ``routed`` has under another key."""
    job_id = key.split("/")[2]
    task_limit = 1 << job.spec.tasks
    mask = parse_task_ranges(route.tasks)
    for text in (route.zone_tasks or {}).values():
        mask |= parse_task_ranges(text)
    if mask >= task_limit:
        report.violation(f"{key}: routes a task that the job does not have")
    for task in task_numbers(mask & (task_limit - 1)):
        if routed.setdefault((job_id, task), key) != key:
            report.violation(f"{key}: task {task} is routed by {routed[job_id, task]}, too")


def _check_placement(
    report: Report, job: JobRecord, key: str, record: PlacementRecord, placed: dict[tuple[str, int], str]
) -> None:
    """Check that a placement has only tasks of its job, and none that ``placed`` has under another key."""
    job_id, chunk_text = key.split("/")[2:4]
    chunk = int(chunk_text)
    has_unknown_done = int(record.done, 16) << (chunk * records.TASKS_PER_RECORD) >= 1 << job.spec.tasks
    if has_unknown_done or any(task >= job.spec.tasks for task in record.placements):
        report.violation(f"{key}: has a task that the job does not have")
    for task in record.placements:
        if placed.setdefault((job_id, task), key) != key:
            report.violation(f"{key}: task {task} is placed by {placed[job_id, task]}, too")


def _check_history(
    report: Report, jobs: dict[str, JobRecord], roots: dict[str, Root], blocks: dict[str, list[HistoryEntry]]
) -> None:
    """Check roots against the blocks that they reference, and blocks against the records of jobs."""
    named: set[str] = set()
    for key, root in sorted(roots.items()):
        suffix = key[len(HISTORY_ROOT_PREFIX) :]
        bucket = int(suffix) if suffix.isdigit() else -1
        if not 0 <= bucket < BUCKETS or root_key(bucket) != key:
            report.violation(f"{key}: there is no such bucket")
            continue
        seen: dict[int, str] = {}
        for run in root.runs:
            names = [block_key(bucket, run.name, index) for index in range(len(run.first_numbers))]
            named.update(names)
            count = 0
            for name, first in zip(names, run.first_numbers, strict=True):
                count += _check_block(report, jobs, _NamedBlock(key, bucket, name, first), blocks, seen)
            if count != run.count:
                report.violation(f"{key}: run {run.name} has {count} jobs instead of {run.count}")
        if len(seen) != root.count:
            report.violation(f"{key}: has {len(seen)} jobs, and took in {root.count}")
        report.finished += len(seen)
    for name in sorted(blocks.keys() - named):
        report.remarks.append(f"{name}: no root names it; the compactor sweeps it")


class _NamedBlock(msgspec.Struct, frozen=True):
    """A block that a root references: the root's key and bucket, the block's key and first number."""

    root: str
    bucket: int
    name: str
    first: int


def _check_block(
    report: Report,
    jobs: dict[str, JobRecord],
    expected: _NamedBlock,
    blocks: dict[str, list[HistoryEntry]],
    seen: dict[int, str],
) -> int:
    """Check a block and return the number of its entries."""
    name = expected.name
    entries = blocks.get(name)
    if entries is None:
        report.violation(f"{name}: is named by {expected.root}, and is not there or can't be read")
        return 0
    if entries[0].number != expected.first:
        report.violation(f"{name}: does not begin where {expected.root} says")
    for entry in entries:
        _check_entry(report, jobs, name, expected.bucket, entry, seen)
    return len(entries)


def _check_entry(
    report: Report,
    jobs: dict[str, JobRecord],
    name: str,
    bucket: int,
    entry: HistoryEntry,
    seen: dict[int, str],
) -> None:
    """Check the bucket of an entry, that no other block in ``seen`` has it, and the job's own record."""
    job_id = format_job_id(entry.number)
    if bucket_of(entry.number) != bucket or parse_job_number(job_id) != entry.number:
        report.violation(f"{name}: {job_id} does not belong there")
    if seen.setdefault(entry.number, name) != name:
        report.violation(f"{name}: {job_id} is in {seen[entry.number]}, too")
    record = jobs.get(job_id)
    if record is not None and record.state != entry.state:
        report.violation(f"{name}: {job_id} is {entry.state} here, and {record.state} in its record")
    elif record is not None:
        report.remarks.append(f"j/{job_id}: is in the history already; the compactor clears it")
