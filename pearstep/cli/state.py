"""`pearstep state`: what the state service holds, whether it holds together, and all of it as a file."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from pearstep.cli.common import AWAY, NO, command, fail, output, show
from pearstep.controller.settings import StateSettings
from pearstep.history.export import IMPORT_KEY, ExportError, batches, check_import, dump, load
from pearstep.history.settings import HistorySettings
from pearstep.history.standalone import CommandHost
from pearstep.history.standalone import compact as compact_now
from pearstep.history.verification import Report, verify
from pearstep.local.layout import load as load_cluster
from pearstep.transport.http import Client
from pearstep.transport.kv_client import CommitOutcome, KeyValueStore, open_kv_store
from pearstep.transport.settings_file import Address

# Of the state service's limits a command takes this much: controllers go first.
RPS, WRITE_RPS, OPS = 20.0, 10.0, 8

address = click.option(
    "--state",
    "addr",
    metavar="HOST:PORT",
    default=None,
    help="The state service; else that of the cluster's folder (`--cluster`).",
)


def _store(root: Path, addr: str | None) -> KeyValueStore:
    return open_kv_store(Client(10), _address(root, addr), RPS, WRITE_RPS)


def _address(root: Path, addr: str | None) -> str:
    if addr is None:
        return load_cluster(root).state
    try:
        return msgspec.convert(addr, Address)
    except msgspec.ValidationError:
        fail(f"--state is host:port, not {addr!r}", 2)


async def _all(store: KeyValueStore) -> tuple[list[tuple[str, bytes]], int]:  # noqa: RET503 - fail() never returns
    """Return every key as of one revision.

    Pages are read one after another, so what changed meanwhile is taken from the changes.
    """
    for _ in range(5):
        listing = await store.list_all()
        if listing is None:
            break
        found = {pair.key: bytes(pair.value) for pair in listing[0]}
        changes = await store.read_changes(listing[1], 0)
        if isinstance(changes, int):
            if changes == 410:
                continue
            break
        for event in changes.events:
            if event.put is not None:
                found[event.put] = bytes(event.value)
            elif event.delete is not None:
                found.pop(event.delete, None)
        return sorted(found.items()), changes.revision
    fail("the state service does not answer; is it up, and is the address right?", AWAY)


@click.group()
def state() -> None:
    """What the state service holds: look, verify, compact, export, import."""


def _kinds(report: Report) -> str:
    lines = [f"{'kind':<10} {'keys':>8} {'KB':>10}"]
    lines += [
        f"{name:<10} {kind.keys:>8} {kind.bytes / 1024:>10.1f}" for name, kind in sorted(report.kinds.items())
    ]
    lines.append(
        f"{report.open} jobs open, {report.jobs - report.open} finished with their records, "
        f"{report.finished} finished in blocks"
    )
    return "\n".join(lines)


@state.command()
@address
@output
@command
async def inspect(root: Path, addr: str | None, output: str) -> int:
    """How many keys of each kind there are, and how much they take."""
    pairs, revision = await _all(_store(root, addr))
    report = verify(pairs)
    facts = {"revision": revision, **msgspec.to_builtins(report)}
    del facts["violations"], facts["remarks"]
    show(facts, output, f"revision {revision}\n{_kinds(report)}")
    return 0


@state.command(name="verify")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path), required=False)
@address
@output
@command
async def verify_state(root: Path, file: Path | None, addr: str | None, output: str) -> int:
    """Read everything, or an exported FILE, and name every invariant that does not hold. Exit code 1 if there
    is one.
    """  # noqa: D205 - the text that --help shows, one paragraph
    if file is None:
        pairs, _ = await _all(_store(root, addr))
    else:
        pairs = _checked(file, lambda: load(file))[1]
    report = verify(pairs)
    lines = [f"WRONG  {text}" for text in report.violations] + [f"note   {text}" for text in report.remarks]
    count = len(report.violations)
    lines.append(f"{count} invariants violated" if count else "all holds together")
    show(report, output, "\n".join(lines))
    return NO if report.violations else 0


def _checked(file: Path, work: Callable[[], Any]) -> Any:
    try:
        return work()
    except ExportError as err:
        fail(f"{file}: {err}", NO)
    except OSError as err:
        fail(f"{file}: {err.strerror}", NO)


@state.command()
@address
@click.option(
    "--keep",
    type=click.IntRange(1),
    default=2000,
    show_default=True,
    help="So many finished jobs keep their records.",
)
@click.option(
    "--rest",
    "rest_s",
    type=click.FloatRange(1),
    default=60.0,
    show_default=True,
    help="Seconds that a finished job keeps its records at least.",
)
@click.option("--parts", type=click.IntRange(1), default=None, help="How many controllers the site has.")
@click.option(
    "--write-rps",
    type=click.FloatRange(1),
    default=WRITE_RPS,
    show_default=True,
    help="Changes a second that it may write.",
)
@click.option(
    "--value-kb",
    type=click.FloatRange(0.1),
    default=16.0,
    show_default=True,
    help="The state service's limit for a value.",
)
@command
async def compact(  # noqa: PLR0913 - one parameter for each option of the command
    root: Path,
    addr: str | None,
    keep: int,
    rest_s: float,
    parts: int | None,
    write_rps: float,
    value_kb: float,
) -> int:
    """Let finished jobs leave their records now, instead of when enough of them wait."""
    where = _address(root, addr)
    if parts is None:
        if addr is not None:
            fail("with --state, say with --parts how many controllers the site has", 2)
        parts = len(load_cluster(root).nodes)
    alone = CommandHost(Client(10), where, parts, StateSettings(RPS, write_rps, value_kb, 2 * OPS))
    moved, why = await compact_now(alone, HistorySettings(rest_s=rest_s, keep=keep, batch=1, share=1.0))
    click.echo(f"{moved} jobs have left their records")
    if why:
        fail(why, NO)
    return 0


@state.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@address
@click.option("--force", is_flag=True, help="Also if invariants are violated: to have what there is.")
@command
async def export(root: Path, file: Path, addr: str | None, force: bool) -> int:
    """Write everything into one FILE with a checksum."""
    pairs, revision = await _all(_store(root, addr))
    wrong = verify(pairs).violations
    if wrong and not force:
        fail(f"it does not hold together: {wrong[0]}; see `pearstep state verify`, or use --force", NO)
    count = _checked(file, lambda: dump(file, pairs, revision))
    click.echo(f"{count} keys as of revision {revision} in {file}")
    return 0


@state.command(name="import")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@address
@click.option(
    "--txn-ops",
    type=click.IntRange(1),
    default=OPS,
    show_default=True,
    help="Changes in a transaction at most.",
)
@command
async def import_(root: Path, file: Path, addr: str | None, txn_ops: int) -> int:
    """Read an exported FILE into an empty state service. Broken off, it goes on where it was."""
    header, rows, digest = _checked(file, lambda: load(file))
    store = _store(root, addr)
    pairs, revision = await _all(store)
    there = dict(pairs)
    mark = msgspec.json.decode(there[IMPORT_KEY]) if IMPORT_KEY in there else None
    _checked(file, lambda: check_import(header, rows, there, revision, mark, digest))

    async def write(puts: dict[str, Any], conditions: dict[str, int], deletes: list[str]) -> None:
        for _ in range(50):
            outcome = await store.commit(conditions, {k: (v, None) for k, v in puts.items()}, deletes)
            if outcome.state == CommitOutcome.COMMITTED:
                return
            if outcome.state != CommitOutcome.REFUSED:
                break
        fail(
            "broken off: the state service does not answer, or somebody else writes there; "
            "the same command goes on where it was",
            AWAY,
        )

    if mark is None:
        await write({IMPORT_KEY: digest}, {IMPORT_KEY: 0}, [])
    marked = await store.read(IMPORT_KEY)
    if isinstance(marked, bool):
        fail("the state service does not answer; the same command goes on where it was", AWAY)
    stamp, written = marked.version, 0
    for puts in _checked(file, lambda: list(batches(rows, there, txn_ops))):
        await write(
            {k: msgspec.Raw(v) for k, v in puts.items()}, {IMPORT_KEY: stamp} | dict.fromkeys(puts, 0), []
        )
        written += len(puts)
    await write({}, {IMPORT_KEY: stamp}, [IMPORT_KEY])
    click.echo(f"{written} of {len(rows)} keys written; start the controllers now")
    return 0
