"""The controller's extension for history.

Every controller answers queries about compacted jobs. One controller at a time compacts, in these states:

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
COMPACTOR_STATES = TransitionTable(
    "keeper of the history",
    {
        NONE: (CLAIMING,),
        CLAIMING: (WORKING, NONE),
        WORKING: (FENCING, NONE),
        FENCING: (WORKING, NONE),
    },
)
# The interval between checks for work, and the time for which an idle compactor keeps its key.
WORK_CHECK_INTERVAL_US = 5 * SECOND_US
# Values stay below the state service's limit by this factor: each is written as text in a larger body.
VALUE_SIZE_SHARE = 0.98
BYTES_PER_KB = 1024
# Enough bits to tell processes apart, and few enough for a number in JSON.
PROCESS_BITS = 53
# Steps are spread by this share around their interval, so that controllers don't act at the same time.
STEP_JITTER = (0.8, 1.2)
# The number of read barriers after which the outcome of a transaction counts as unknown.
MAX_READ_BARRIERS = 20
CATCH_UP_PAUSE_S = 0.5
MAX_KEYS_LOGGED = 4


class CompactorRecord(msgspec.Struct):
    """The record of the process that compacts: the controller's name and a random number of its process."""

    node: str
    process: int


def may_compact(replica: Replica, shard_count: int, version: int = HISTORY_VERSION) -> bool:
    """Tell whether finished jobs may be compacted.

    A controller of an earlier release would report a compacted job as unknown, or run it again. So before the
    first job is compacted, each controller must have been seen as the holder of its shard with a release that
    reads the history.
    """
    if any(key.startswith(HISTORY_ROOT_PREFIX) for key in replica.versions):
        return True
    holders = [replica.shard_holders.get(shard_id) for shard_id in range(shard_count)]
    all_understand = all(
        holder is not None and holder.node and holder.node_version >= version for holder in holders
    )
    return all_understand and len({holder.node for holder in holders if holder is not None}) == shard_count


class CompactionExtension(Extension):
    """Compacts finished jobs into history, as an extension of a controller."""

    def __init__(self, settings: HistorySettings) -> None:
        """Create an extension that is attached to its host later."""
        self.settings = settings
        self.state = NONE
        self.planner: CompactionPlanner | None = None
        # Set when the state service rejects even the smallest step; this process then stops compacting.
        self.stopped = False
        self._process = random.getrandbits(PROCESS_BITS)
        self._next_check_us = 0
        self._next_write_us = 0
        self._last_active_us = 0
        self._orphaned_since_us: dict[str, int] = {}

    def attach(self, controller: HistoryHost) -> None:
        """Attach to the host, a controller or a command, before it reads any record."""
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
            max_value_bytes=int(state.value_kb * BYTES_PER_KB * VALUE_SIZE_SHARE),
        )
        # Changes per second that compaction may write when the write budget has none to spare.
        self._changes_per_second = burst * settings.share

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops that run beside the controller's own."""
        return [self.step, self.read]

    async def before_plan(self, leadership: Any) -> None:
        """Do nothing before a scheduling pass."""

    def after_plan(self, leadership: Any) -> None:
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

        Seen: a command read the keys before its reader was registered for roots, so that no block seemed to
        be referenced by a root; only the conditions on the roots prevented the blocks from being swept.
        """
        node = self.node
        return (
            node.follower.loaded
            and node.leases.lease_id is not None
            and node.kv.unavailable_since_us is None
            and node.leases.may_act()
            and self.reader.fully_listed
            and not self.reader.damaged
            and not node.replica.has_unread_history
            and not self.stopped
        )

    def _set_state(self, state: str, planner: CompactionPlanner | None = None) -> None:
        """Change the state and set the planner, if the new state has one."""
        COMPACTOR_STATES.transition(self, state)
        self.planner = planner

    def _own_fencing_token(self) -> int:
        """Return the fencing token of the compactor's key if this process holds it, else 0."""
        fencing_token = self.node.replica.version_of(COMPACTOR)
        if not fencing_token:
            return 0
        try:
            holder = msgspec.json.decode(self.reader.compactor_record, type=CompactorRecord)
        except msgspec.MsgspecError:
            return 0
        return fencing_token if holder == CompactorRecord(self.node.node, self._process) else 0

    async def step(self) -> None:
        """Wait for the interval between steps, then take one step if there is one to take."""
        await asyncio.sleep(self.settings.step_s * random.uniform(*STEP_JITTER))
        if not self._may_write():
            if self.state != NONE:
                self._set_state(NONE)
            return
        if self.state == NONE:
            await self._claim_if_due()
        elif self.planner is None or self._own_fencing_token() != self.planner.fencing_token:
            log.info("history compaction lost")
            self._set_state(NONE)
        else:
            await self._run_next_action(self.planner)

    async def _claim_if_due(self) -> None:
        """Claim the compactor's key if there is work to do and no other process holds the key."""
        now = now_us()
        if now < self._next_check_us:
            return
        self._next_check_us = now + WORK_CHECK_INTERVAL_US
        held_token = self._own_fencing_token()
        if not held_token and not self._should_claim():
            return
        self._set_state(CLAIMING)
        # Also if this process holds the key: a transaction in flight when work was dropped must fail.
        fencing_token = await self._claim(held_token)
        if not fencing_token:
            self._set_state(NONE)
            return
        log.info("history compaction started", fencing_token=fencing_token)
        self._last_active_us = now_us()
        self._create_planner(fencing_token)

    def _should_claim(self) -> bool:
        """Tell whether this process, which does not hold the key, should claim it."""
        node = self.node
        if node.replica.version_of(COMPACTOR) or not self.has_work():
            return False
        if node.leases.leadership is not None and node.settings.shard_count > 1:
            return False  # the leader already has more work than other controllers
        return may_compact(node.replica, node.settings.shard_count)

    def _create_planner(self, fencing_token: int) -> None:
        """Start working under a fencing token, with a new planner that relies on the records alone."""
        planner = CompactionPlanner(fencing_token, self.node.replica, self.reader.history, self.limits)
        self._set_state(WORKING, planner)

    def has_work(self) -> bool:
        """Tell whether there is something to compact, delete or sweep."""
        jobs = due_jobs(self.node.replica, self.limits, wall_us())
        return bool(jobs or self._orphaned_records()) or self.reader.has_unreferenced_blocks()

    def _orphaned_records(self) -> list[str]:
        """Return the keys of records that have had no job for a while."""
        return find_orphaned_records(
            self.node.replica, self._orphaned_since_us, now_us(), self.limits.min_age_us
        )

    async def _claim(self, held_token: int) -> int:
        """Write the compactor's key under the condition of its version.

        Args:
            held_token: The version at which this process holds the key, or 0.

        Returns:
            The new fencing token, or 0 if the key was not taken.
        """
        node, lease_id = self.node, self.node.leases.lease_id
        holder = CompactorRecord(node.node, self._process)
        outcome = await node.kv.commit({COMPACTOR: held_token}, {COMPACTOR: (holder, lease_id)}, urgency=IDLE)
        if outcome.state == CommitOutcome.NO_LEASE:
            return 0
        if not await self._wait_for(outcome.revision if outcome.state == CommitOutcome.COMMITTED else 0):
            return 0
        # Whatever the outcome: if the key names this process and has a new version, this process holds it.
        fencing_token = self._own_fencing_token()
        return fencing_token if fencing_token != held_token else 0

    async def _wait_for(self, revision: int) -> bool:
        """Wait until the replica has reached a revision; False if it doesn't."""
        for _ in range(MAX_READ_BARRIERS):
            if not await self.node.follower.read_barrier():
                return False
            if self.node.replica.revision >= revision:
                return True
        return False

    async def _fence(self, planner: CompactionPlanner) -> None:
        """Take a new fencing token, so that a transaction that is still in flight can't be applied."""
        self._set_state(FENCING)
        fencing_token = await self._claim(planner.fencing_token)
        if not fencing_token:
            self._set_state(NONE)
            return
        log.info("history compaction restarted", fencing_token=fencing_token)
        self._create_planner(fencing_token)

    # -- the work --------------------------------------------------------------------------------

    async def _run_next_action(self, planner: CompactionPlanner) -> None:
        """Perform the next action of the planner."""
        task = planner.next_action(now_us(), wall_us(), self._orphaned_records())
        if isinstance(task, ReadBlock):
            await self.reader.read_block(task.key, IDLE)
        elif isinstance(task, ReadRun):
            entries = await self.reader.read_run(task.bucket, task.run)
            if entries is not None:
                planner.put_run_entries(task.run, entries)
        elif task is None:
            await self._release_if_idle(planner)
        else:
            self._last_active_us = now_us()
            if self._may_write_changes(len(task.puts) + len(task.deletes)):
                await self._write(planner, task)

    def _may_write_changes(self, changes: int) -> bool:
        """Tell whether changes may be written now, from the spare write budget or by compaction's share."""
        now = now_us()
        if not self.node.kv.has_spare_writes(changes) and now < self._next_write_us:
            return False
        self._next_write_us = now + int(changes / self._changes_per_second * SECOND_US)
        return True

    async def _write(self, planner: CompactionPlanner, step: Step) -> None:
        """Commit a step and report its outcome to the planner."""
        puts: dict[str, Any] = {
            key: (value if isinstance(value, Root) else value.decode(), None)
            for key, value in step.puts.items()
        }
        outcome = await self.node.kv.commit(step.conditions, puts, list(step.deletes), urgency=IDLE)
        if outcome.state == CommitOutcome.REFUSED:
            return  # certainly not applied: the same step is tried again
        if outcome.state == CommitOutcome.MALFORMED:
            self._halve_step_size()
        if outcome.state not in (CommitOutcome.COMMITTED, CommitOutcome.CONFLICT):
            await self._fence(planner)
            return
        if not await self._wait_for(outcome.revision):
            # The next step is derived from the replica, which must contain this one.
            await self._fence(planner)
            return
        if outcome.state == CommitOutcome.CONFLICT:
            log.info("history step conflicted", keys=outcome.failed[:MAX_KEYS_LOGGED])
        planner.record_outcome(outcome.state == CommitOutcome.COMMITTED)

    def _halve_step_size(self) -> None:
        """Halve the number of changes in a step, after the state service rejected one as malformed."""
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
        if now_us() - self._last_active_us < WORK_CHECK_INTERVAL_US:
            return
        log.info("history compaction finished", jobs=planner.moved_count)
        outcome = await self.node.kv.commit({COMPACTOR: planner.fencing_token}, {}, [COMPACTOR], urgency=IDLE)
        if outcome.state != CommitOutcome.REFUSED:
            self._next_check_us = now_us() + WORK_CHECK_INTERVAL_US
            await self.node.follower.read_barrier()
            self._set_state(NONE)
