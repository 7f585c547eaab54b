"""The controller's extension for history.

Every controller answers for jobs that have left their records, and one at a time compacts, in these states:

    none -> claiming -> working -> none
                          |  ^
                        fencing      the outcome of a transaction is unknown: take a new fencing token first
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from tornado.httputil import HTTPServerRequest

from pearstep.controller.extension import Extension
from pearstep.domain.state_machine import TransitionTable
from pearstep.domain.units import SECOND_US
from pearstep.history.compaction import COMPACTOR, Step
from pearstep.history.compactor import CompactionPlanner, Limits, ReadBlock, ReadRun, due_jobs
from pearstep.history.eligibility import find_orphaned_records
from pearstep.history.host import HistoryHost
from pearstep.history.reader import Reader
from pearstep.history.settings import HistorySettings
from pearstep.history.tree import Root
from pearstep.state.job import Job
from pearstep.state.records import HISTORY_ROOT_PREFIX, HISTORY_VERSION
from pearstep.state.replica import Replica
from pearstep.transport.clock import now_us, wall_us
from pearstep.transport.event_log import EventLogger
from pearstep.transport.http import Answer
from pearstep.transport.kv_client import CommitOutcome
from pearstep.transport.rate_limiter import IDLE

log = EventLogger("pearstep.history")

NONE, CLAIMING, WORKING, FENCING = "none", "claiming", "working", "fencing"
KEEPER = TransitionTable(
    "keeper of the history",
    {
        NONE: (CLAIMING,),
        CLAIMING: (WORKING, NONE),
        WORKING: (FENCING, NONE),
        FENCING: (WORKING, NONE),
    },
)
# The interval between checks for work, and how long an idle compactor keeps its key.
LOOK_US = 5 * SECOND_US
# The share of the state service's limit that a value may have: it is written as text in a larger body.
FILL = 0.98
BYTES_PER_KB = 1024
# Enough bits to tell processes apart, and few enough for a number in JSON.
PROCESS_BITS = 53
# Steps are spread by this share around their interval, so that controllers don't act at the same time.
STEP_JITTER = (0.8, 1.2)
# How often the follower is asked for a revision before the outcome counts as unknown.
MOST_BARRIERS = 20
CATCH_UP_PAUSE_S = 0.5
# Keys that an event names at most.
MOST_KEYS_LOGGED = 4


class CompactorRec(msgspec.Struct):
    """The record of the process that compacts: the controller's name and a random number of its process."""

    node: str
    process: int


def may_begin(replica: Replica, shard_count: int, version: int = HISTORY_VERSION) -> bool:
    """Tell whether finished jobs may leave their records.

    A controller of an earlier release would say that it never heard of such a job, or run it again. So before
    the first job leaves, each controller must have been seen as the holder of its shard with a release that
    reads the history.
    """
    if any(key.startswith(HISTORY_ROOT_PREFIX) for key in replica.versions):
        return True
    holders = [replica.shard_holders.get(shard_id) for shard_id in range(shard_count)]
    all_understand = all(
        holder is not None and holder.node and holder.node_version >= version for holder in holders
    )
    return all_understand and len({holder.node for holder in holders if holder is not None}) == shard_count


class Compacting(Extension):
    """Compacts finished jobs into history, as an extension of a controller."""

    def __init__(self, settings: HistorySettings) -> None:
        """Prepare an extension that is attached to its host later."""
        self.settings = settings
        self.state = NONE
        self.planner: CompactionPlanner | None = None
        # Set once the state service refuses even the smallest step: this process compacts no more.
        self.stopped = False
        self._process = random.getrandbits(PROCESS_BITS)
        self._next_look_us = 0
        self._next_us = 0
        self._idle_us = 0
        self._orphaned_since_us: dict[str, int] = {}

    def attach(self, controller: HistoryHost) -> None:
        """Take the host, a controller or a command, before it has read anything."""
        self.node = controller
        settings = self.settings
        self.reader = Reader(
            controller.replica,
            controller.kv,
            controller.follower.read_barrier,
            settings.kept_blocks,
            settings.most_waiting,
        )
        controller.job_api.history = self.reader
        controller.leases.version = HISTORY_VERSION
        state = controller.settings.params.state
        burst = max(state.write_rps / controller.settings.shard_count, 1.0)
        self.limits = Limits(
            min_age_us=int(settings.rest_s * SECOND_US),
            keep=settings.keep,
            batch=settings.batch,
            max_ops=max(min(controller.settings.txn_ops, int(burst / 2)), 1),
            max_records=state.txn_ops,
            max_value_bytes=int(state.value_kb * BYTES_PER_KB * FILL),
        )
        # Changes per second that compaction may take when the write budget has none to spare.
        self._changes_per_second = burst * settings.share

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops that run beside the controller's own."""
        return [self.step, self.read]

    async def before_plan(self, chief: Any) -> None:
        """Do nothing before a scheduling pass."""

    def after_plan(self, chief: Any) -> None:
        """Do nothing after a scheduling pass."""

    def handle(self, request: HTTPServerRequest) -> Answer | None:
        """Answer no request."""
        return None

    async def before_cancellation(self, job: Job) -> dict[str, int] | None:
        """Allow every cancellation, without conditions."""
        return {}

    async def read(self) -> None:
        """Read the blocks that were stored before this controller started."""
        follower = self.node.follower
        if not follower.loaded or not await self.reader.catch_up(follower.loads):
            await asyncio.sleep(CATCH_UP_PAUSE_S)

    # -- the key of the compactor ----------------------------------------------------------------

    def _may_write(self) -> bool:
        """Tell whether this process may write as a compactor now.

        Seen with a command that read the keys before its reader was registered for roots: no block seemed to
        be named by a root, and only the precondition on the roots kept them from being swept.
        """
        node = self.node
        return (
            node.follower.loaded
            and node.leases.lease_id is not None
            and node.kv.unavailable_since_us is None
            and node.leases.may_act()
            and self.reader.whole
            and not self.reader.damaged
            and not node.replica.has_unread_history
            and not self.stopped
        )

    def _enter(self, state: str, planner: CompactionPlanner | None = None) -> None:
        """Change the state; ``works`` is the work that it has."""
        KEEPER.transition(self, state)
        self.planner = planner

    def _held_token(self) -> int:
        """Return the fencing token of the compactor's key if this process holds it, else 0."""
        fencing_token = self.node.replica.version_of(COMPACTOR)
        if not fencing_token:
            return 0
        try:
            holder = msgspec.json.decode(self.reader.compactor, type=CompactorRec)
        except msgspec.MsgspecError:
            return 0
        return fencing_token if holder == CompactorRec(self.node.node, self._process) else 0

    async def step(self) -> None:
        """Wait for the interval between steps, then take one step if there is one to take."""
        await asyncio.sleep(self.settings.step_s * random.uniform(*STEP_JITTER))
        if not self._may_write():
            if self.state != NONE:
                self._enter(NONE)
            return
        if self.state == NONE:
            await self._claim_if_due()
        elif self.planner is None or self._held_token() != self.planner.fencing_token:
            log.info("history compaction lost")
            self._enter(NONE)
        else:
            await self._work(self.planner)

    async def _claim_if_due(self) -> None:
        """Take the compactor's key if there is work to do and nobody does it."""
        now = now_us()
        if now < self._next_look_us:
            return
        self._next_look_us = now + LOOK_US
        before = self._held_token()
        if not before and not self._should_claim():
            return
        self._enter(CLAIMING)
        # Also if the key is ours: a transaction that was under way when work was dropped must not be applied.
        fencing_token = await self._claim(before)
        if not fencing_token:
            self._enter(NONE)
            return
        log.info("history compaction started", fencing_token=fencing_token)
        self._idle_us = now_us()
        self._begin_works(fencing_token)

    def _should_claim(self) -> bool:
        """Tell whether this process should take the key, which it does not hold."""
        node = self.node
        if node.replica.version_of(COMPACTOR) or not self.due():
            return False
        if node.leases.leadership is not None and node.settings.shard_count > 1:
            return False  # the leader has enough to do
        return may_begin(node.replica, node.settings.shard_count)

    def _begin_works(self, fencing_token: int) -> None:
        """Begin to work under a fencing token, from the records alone."""
        planner = CompactionPlanner(fencing_token, self.node.replica, self.reader.history, self.limits)
        self._enter(WORKING, planner)

    def due(self) -> bool:
        """Tell whether there is something to compact, delete or sweep."""
        jobs = due_jobs(self.node.replica, self.limits, wall_us())
        return bool(jobs or self._orphaned_records()) or self.reader.strays()

    def _orphaned_records(self) -> list[str]:
        """Return the keys of records that have had no job for a while."""
        return find_orphaned_records(
            self.node.replica, self._orphaned_since_us, now_us(), self.limits.min_age_us
        )

    async def _claim(self, before: int) -> int:
        """Write the compactor's key under the condition of its version.

        Args:
            before: The version at which this process holds the key, or 0.

        Returns:
            The new fencing token, or 0 if the key was not taken.
        """
        node, lease_id = self.node, self.node.leases.lease_id
        holder = CompactorRec(node.node, self._process)
        outcome = await node.kv.commit({COMPACTOR: before}, {COMPACTOR: (holder, lease_id)}, urgency=IDLE)
        if outcome.state == CommitOutcome.NO_LEASE:
            return 0
        if not await self._wait_for(outcome.revision if outcome.state == CommitOutcome.COMMITTED else 0):
            return 0
        # Whatever became of this transaction: if the key has our name and another version, it is ours.
        fencing_token = self._held_token()
        return fencing_token if fencing_token != before else 0

    async def _wait_for(self, revision: int) -> bool:
        """Wait until the replica has everything up to a revision; False if it doesn't get there."""
        for _ in range(MOST_BARRIERS):
            if not await self.node.follower.read_barrier():
                return False
            if self.node.replica.revision >= revision:
                return True
        return False

    async def _fence(self, planner: CompactionPlanner) -> None:
        """Take a new fencing token, so that a transaction that is still under way can't be applied."""
        self._enter(FENCING)
        fencing_token = await self._claim(planner.fencing_token)
        if not fencing_token:
            self._enter(NONE)
            return
        log.info("history compaction restarted", fencing_token=fencing_token)
        self._begin_works(fencing_token)

    # -- the work --------------------------------------------------------------------------------

    async def _work(self, planner: CompactionPlanner) -> None:
        """Do the next thing that the work asks for."""
        task = planner.next_action(now_us(), wall_us(), self._orphaned_records())
        if isinstance(task, ReadBlock):
            await self.reader.block(task.key, IDLE)
        elif isinstance(task, ReadRun):
            entries = await self.reader.run(task.bucket, task.run)
            if entries is not None:
                planner.put_run_entries(task.run, entries)
        elif task is None:
            await self._release_if_idle(planner)
        else:
            self._idle_us = now_us()
            if self._may_spend(len(task.puts) + len(task.deletes)):
                await self._write(planner, task)

    def _may_spend(self, changes: int) -> bool:
        """Tell whether changes may be written now, from the spare write budget or by compaction's share."""
        now = now_us()
        if not self.node.kv.has_spare_writes(changes) and now < self._next_us:
            return False
        self._next_us = now + int(changes / self._changes_per_second * SECOND_US)
        return True

    async def _write(self, planner: CompactionPlanner, step: Step) -> None:
        """Commit a step and tell the work how it ended."""
        puts: dict[str, Any] = {
            key: (value if isinstance(value, Root) else value.decode(), None)
            for key, value in step.puts.items()
        }
        outcome = await self.node.kv.commit(step.conditions, puts, list(step.deletes), urgency=IDLE)
        if outcome.state == CommitOutcome.REFUSED:
            return  # certainly not executed: the same step again
        if outcome.state == CommitOutcome.MALFORMED:
            self._take_smaller_steps()
        if outcome.state not in (CommitOutcome.COMMITTED, CommitOutcome.CONFLICT):
            await self._fence(planner)
            return
        if not await self._wait_for(outcome.revision):
            # The next step is decided from the replica, which must have this one.
            await self._fence(planner)
            return
        if outcome.state == CommitOutcome.CONFLICT:
            log.info("history step conflicted", keys=outcome.failed[:MOST_KEYS_LOGGED])
        planner.record_outcome(outcome.state == CommitOutcome.COMMITTED)

    def _take_smaller_steps(self) -> None:
        """Halve the number of changes in a step, after the state service took one for malformed."""
        max_ops, max_records = self.limits.max_ops, self.limits.max_records
        if max_ops == max_records == 1:
            log.error("history compaction stopped", reason="a single change was malformed")
            self.stopped = True
            return
        self.limits = msgspec.structs.replace(
            self.limits, max_ops=max(max_ops // 2, 1), max_records=max(max_records // 2, 1)
        )
        log.error("history step malformed", most_changes=self.limits.max_ops)

    async def _release_if_idle(self, planner: CompactionPlanner) -> None:
        """Release the compactor's key after a while without work."""
        if now_us() - self._idle_us < LOOK_US:
            return
        log.info("history compaction finished", jobs=planner.moved_count)
        outcome = await self.node.kv.commit({COMPACTOR: planner.fencing_token}, {}, [COMPACTOR], urgency=IDLE)
        if outcome.state != CommitOutcome.REFUSED:
            self._next_look_us = now_us() + LOOK_US
            await self.node.follower.read_barrier()
            self._enter(NONE)
