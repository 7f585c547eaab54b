"""All states of a small history: two nodes that accept, a compactor and a rival, ids of one bucket, answers
that are lost and transactions that arrive late or never.

python -m measurements.history_states [--quick]

The compactors are the service's own (`pearstep.history.compaction`), every state of them is kept. In each
state every job must be told as it is: accepted once, never forgotten, never invented, its end never changed,
in one run only. Variants with one guard less must be caught. Prints one JSON line with the number of states;
exit 1 if something is wrong, or a variant is not caught.
"""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

import click

from measurements.harness import say
from pearstep.history import tree
from pearstep.history.blocks import HistoryEntry, parse_job_number, unpack
from pearstep.history.compaction import COMPACTOR, IDLE, CompactableJob, Compaction, Step
from pearstep.history.tree import Root, bucket_of, root_key, runs_to_merge
from pearstep.state.records import HISTORY_BLOCK_PREFIX

BUCKET = 5
ROOT = root_key(BUCKET)
NUMBERS = [
    n for n in (parse_job_number(f"req-{i}") for i in range(500)) if n is not None and bucket_of(n) == BUCKET
]
QUEUED, DONE = "queued", "done"
# Runs that one compactor begins: it could go on for ever where its answers are lost.
MOST_BEGUN = 3
NONE, FENCE, CONDITION, COMPACTED = "none", "fence", "condition", "compactor"


class Wrong(Exception):
    """A state that must not be."""


class Txn(NamedTuple):
    """A transaction on its way."""

    conditions: tuple[tuple[str, int], ...]
    puts: tuple[tuple[str, Any], ...]
    deletes: tuple[str, ...]


class Node(NamedTuple):
    """What a node has read: the root's version, and the ids that it has found anywhere."""

    root: int = 0
    known: frozenset[int] = frozenset()


class World(NamedTuple):
    """Everything. Versions count the writes of a key; a compactor's token counts takeovers."""

    keys: tuple[tuple[str, tuple[int, Any]], ...] = ()
    accepted: frozenset[int] = frozenset()
    ended: frozenset[int] = frozenset()
    nodes: tuple[Node, ...] = (Node(), Node())
    token: int = 0
    compactors: tuple[tuple[Any, ...] | None, ...] = (None, None)
    late: frozenset[Txn] = frozenset()


class Bounds(NamedTuple):
    """How far it goes, and which guard is left out."""

    ids: int
    takeovers: int
    late: int
    without: str = NONE


def _freeze(one: Compaction) -> tuple[Any, ...]:
    return (
        one.state,
        one.fencing_token,
        one.run_count,
        tuple(one._blocks),
        one._run,
        one._replaced_runs,
        tuple(one._jobs_to_clear),
        tuple(one._keys_to_sweep),
        one._sent_count,
    )


def _thaw(kept: tuple[Any, ...]) -> Compaction:
    one = Compaction(BUCKET, kept[1], 2, 40)
    one.state, _, one.run_count, blocks, one._run, one._replaced_runs, clear, sweep, one._sent_count = kept
    one._blocks, one._jobs_to_clear, one._keys_to_sweep = list(blocks), list(clear), list(sweep)
    return one


def apply(world: World, txn: Txn) -> World | None:
    """The world after a transaction, or None if a condition fails."""
    keys = dict(world.keys)
    for key, version in txn.conditions:
        now = world.token if key == COMPACTOR else keys.get(key, (0, None))[0]
        if now != version:
            return None
    accepted = world.accepted
    for key in txn.deletes:
        keys.pop(key, None)
    for key, value in txn.puts:
        if key.startswith("j/") and value == QUEUED:
            if int(key[2:]) in accepted:
                raise Wrong(f"{key} was accepted twice")
            accepted |= {int(key[2:])}
        keys[key] = (keys.get(key, (0, None))[0] + 1, value)
    return world._replace(keys=tuple(sorted(keys.items(), key=lambda row: row[0])), accepted=accepted)


def entries(keys: dict[str, tuple[int, Any]]) -> list[HistoryEntry]:
    """All that the present root names. Raises Wrong if a block is not there."""
    out: list[HistoryEntry] = []
    for run in keys.get(ROOT, (0, Root()))[1].runs:
        for i in range(len(run.first_numbers)):
            key = tree.block_key(BUCKET, run.name, i)
            if key not in keys:
                raise Wrong(f"{key} is named and is not there")
            out += unpack(keys[key][1])
    return out


def check(world: World, bounds: Bounds) -> None:
    """Raises Wrong."""
    keys = dict(world.keys)
    there = entries(keys)
    found = {e.number for e in there}
    if len(found) != len(there):
        raise Wrong("an id is in two runs")
    for number in NUMBERS[: bounds.ids]:
        record = keys.get(f"j/{number}", (0, None))[1]
        if number in world.accepted and record is None and number not in found:
            raise Wrong(f"{number} was forgotten")
        if number not in world.accepted and (record is not None or number in found):
            raise Wrong(f"{number} was invented")
        if number in world.ended and record == QUEUED:
            raise Wrong(f"{number} went back")
        if number not in world.ended and number in found:
            raise Wrong(f"{number} ended too early")


def _sent(world: World, txn: Txn, bounds: Bounds) -> Iterator[tuple[World, bool | None]]:
    """What may become of a transaction: the world after it, and what its sender knows."""
    after = apply(world, txn)
    yield (after, True) if after is not None else (world, False)
    if after is not None:
        yield after, None  # the answer is lost
    if len(world.late) < bounds.late:
        yield world._replace(late=world.late | {txn}), None


def _accepts(world: World, bounds: Bounds) -> Iterator[World]:
    for node in world.nodes:
        for number in NUMBERS[: bounds.ids]:
            if number in node.known:
                continue
            conditions = [(f"j/{number}", 0)]
            if bounds.without != CONDITION:
                conditions.append((ROOT, node.root))
            for after, _ in _sent(world, Txn(tuple(conditions), ((f"j/{number}", QUEUED),), ()), bounds):
                yield after


def _follows(world: World) -> Iterator[World]:
    keys = dict(world.keys)
    known = {e.number for e in entries(keys)} | {int(k[2:]) for k in keys if k.startswith("j/")}
    fresh = Node(keys.get(ROOT, (0, None))[0], frozenset(known))
    for i in range(len(world.nodes)):
        yield world._replace(nodes=world.nodes[:i] + (fresh,) + world.nodes[i + 1 :])


def _take_over(world: World, which: int, bounds: Bounds) -> World | None:
    if world.token >= bounds.takeovers:
        return None
    token = world.token + 1
    return _with(world._replace(token=token), which, _freeze(Compaction(BUCKET, token, 2, 40)))


def _with(world: World, which: int, kept: tuple[Any, ...] | None) -> World:
    some = list(world.compactors)
    some[which] = kept
    return world._replace(compactors=tuple(some))


def _begin(one: Compaction, world: World) -> None:
    """What a compactor finds to do: what a former one left, new jobs, runs to join, blocks that nobody
    names.
    """
    keys = dict(world.keys)
    root = keys.get(ROOT, (0, Root()))[1]
    found = {e.number for e in entries(keys)}
    jobs = [
        CompactableJob(HistoryEntry(int(key[2:]), False, 1), ((key, version),))
        for key, (version, value) in keys.items()
        if key.startswith("j/") and value == DONE
    ]
    contents = {
        run.name: [
            e
            for i in range(len(run.first_numbers))
            for e in unpack(keys[tree.block_key(BUCKET, run.name, i)][1])
        ]
        for run in runs_to_merge(root)
    }
    if one.begin_clear([j for j in jobs if j.final.number in found]):
        return
    if one.begin_write([j for j in jobs if j.final.number not in found][:1]):
        return
    if not one.begin_merge(root, contents):
        one.begin_sweep(root, [key for key in keys if key.startswith(HISTORY_BLOCK_PREFIX)])


def _compacts(world: World, which: int, bounds: Bounds) -> Iterator[World]:
    kept = world.compactors[which]
    if kept is None:
        return
    one = _thaw(kept)
    if one.run_count > MOST_BEGUN:
        return
    if one.state == IDLE:
        _begin(one, world)
    keys = dict(world.keys)
    version, root = keys.get(ROOT, (0, Root()))
    step = one.step(root, version)
    if step is None:
        if _freeze(one) != kept:
            yield _with(world, which, _freeze(one))
        return
    begun = _freeze(one)
    for after, known in _sent(world, _txn(step, bounds), bounds):
        if known is None and bounds.without != FENCE:
            # It takes a new token before anything else; without one it has to stop here.
            anew = _take_over(after, which, bounds) if after.token == one.fencing_token else None
            yield anew if anew is not None else _with(after, which, None)
            continue
        same = _thaw(begun)
        same.record_outcome(bool(known), known is not None)
        # One that learns that the key is another's stops.
        stays = known or after.token == one.fencing_token
        yield _with(after, which, _freeze(same) if stays else None)


def _txn(step: Step, bounds: Bounds) -> Txn:
    conditions = {k: v for k, v in step.conditions.items() if bounds.without != COMPACTED or k != COMPACTOR}
    return Txn(tuple(sorted(conditions.items())), tuple(step.puts.items()), step.deletes)


def successors(world: World, bounds: Bounds) -> Iterator[World]:
    """All that may come next."""
    yield from _accepts(world, bounds)
    yield from _follows(world)
    for number in NUMBERS[: bounds.ids]:
        version, value = dict(world.keys).get(f"j/{number}", (0, None))
        if value == QUEUED:
            after = apply(world, Txn(((f"j/{number}", version),), ((f"j/{number}", DONE),), ()))
            assert after is not None
            yield after._replace(ended=world.ended | {number})
    for which in range(2):
        anew = _take_over(world, which, bounds)
        if anew is not None:
            yield anew
        yield from _compacts(world, which, bounds)
    for txn in world.late:
        rest = world._replace(late=world.late - {txn})
        yield apply(rest, txn) or rest


def explore(bounds: Bounds) -> tuple[int, int, str]:
    """States, how many of them have a job in the history, and what is wrong ('': nothing)."""
    fanout, tree.FANOUT = tree.FANOUT, 2
    try:
        begin = World()
        seen, queue, compacted = {begin}, deque([begin]), 0
        while queue:
            world = queue.popleft()
            try:
                check(world, bounds)
                compacted += any(key == ROOT for key, _ in world.keys)
                for after in successors(world, bounds):
                    if after not in seen:
                        seen.add(after)
                        queue.append(after)
            except Wrong as err:
                return len(seen), compacted, str(err)
        return len(seen), compacted, ""
    finally:
        tree.FANOUT = fanout


@click.command()
@click.option("--quick", is_flag=True, help="Two ids instead of three, and no late ones beside the variants.")
def main(quick: bool) -> None:
    """Walk through all states."""
    large = [Bounds(1, 3, 2), Bounds(2, 2, 1), Bounds(3, 1, 0)]
    sizes = [Bounds(1, 3, 1), Bounds(2, 2, 0)] if quick else large
    rows: list[dict[str, Any]] = []
    wrong: list[str] = []
    for bounds in sizes:
        states, compacted, why = explore(bounds)
        rows.append({**bounds._asdict(), "states": states, "compacted": compacted, "wrong": why})
        wrong += [f"{bounds}: {why}"] if why else []
    for without in (FENCE, CONDITION, COMPACTED):
        states, _, why = explore(Bounds(1, 2, 1, without))
        rows.append({"without": without, "states": states, "caught": why})
        wrong += [] if why else [f"nothing is wrong without {without}"]
    sys.exit(say({"measurement": "history_states", "worlds": rows, "wrong": wrong}))


if __name__ == "__main__":
    main()
