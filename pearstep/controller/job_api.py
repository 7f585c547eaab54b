"""The users' API over HTTP: submissions, polls and cancellations.

Every controller serves them: it commits its own transaction, and answers after the commit.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPServerRequest

from pearstep.controller.extension import FinishedJob, FinishedJobs
from pearstep.controller.job_cancellation import (
    BeforeCancellation,
    BroadcastCancellation,
    CancellationRefusal,
    JobCanceller,
)
from pearstep.controller.job_lookup import JobAbsent, JobFound, JobLookup, JobUnknown
from pearstep.controller.job_submission import SubmissionOutcome, SubmissionQueue
from pearstep.domain.job_spec import JobSpec
from pearstep.domain.job_state import JobState
from pearstep.domain.machine_type import MachineType
from pearstep.domain.team import Team
from pearstep.protocol import controller_messages as wire
from pearstep.scheduling.placement import fits_machine_type
from pearstep.state.job import Job
from pearstep.state.replica import Replica
from pearstep.state.transactions import TransactionLimits
from pearstep.transport.event_log import EventLogger
from pearstep.transport.http import Answer
from pearstep.transport.kv_client import KeyValueStore

log = EventLogger("pearstep.job_api")

# Lookups for one submission while the history keeps changing concurrently.
MAX_LOOKUPS = 4

_STATE_UNKNOWN = "state not known now"
_KV_UNAVAILABLE = "state service is away"
# Errors for cancellations that can't be confirmed now. The texts are part of the protocol.
_CANCELLATION_TEXTS = {
    CancellationRefusal.STATE_UNKNOWN: _STATE_UNKNOWN,
    CancellationRefusal.OFFLOADS_UNREAD: (
        "there are loans that this node cannot read: start it with --federation"
    ),
    # The job is reported as cancelled only when none of its tasks can run any more.
    CancellationRefusal.OFFLOADED: "lent to a peer, which has been told to stop it",
    CancellationRefusal.NOT_VISIBLE_YET: "cancelled, and told once every controller knows",
    CancellationRefusal.NOT_COMMITTED: _KV_UNAVAILABLE,
}


def infeasibility_reason(spec: JobSpec, teams: dict[str, Team], types: dict[str, MachineType]) -> str | None:
    """Return why the job can never run, or None."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    if not any(fits_machine_type(spec, machine_type) for machine_type in types.values()):
        return "a task fits no allowed machine type"
    concurrent_tasks = 1 if spec.kind == "array" else spec.tasks
    if not team.within_limit(concurrent_tasks * spec.cpus, concurrent_tasks * spec.gpus):
        return "more than the team's limit"
    return None


def _method_not_allowed(allowed: str) -> Answer:
    return 405, wire.encode_error("method not allowed"), {"Allow": allowed}


def _job_answer(status: int, job: Job | FinishedJob) -> Answer:
    """Answer with the status of a job that was found."""
    if isinstance(job, FinishedJob):
        return status, wire.encode_job_status(job.job_id, job.state, job.done, 0), {}
    job_id = job.spec.job_id
    done = job.done_tasks.bit_count()
    if job.is_final:
        if job.state == JobState.DONE:
            done = job.spec.tasks
        return status, wire.encode_job_status(job_id, job.state, done, 0), {}
    running = job.placed_tasks & ~job.done_tasks
    state = "running" if running else "queued"
    return status, wire.encode_job_status(job_id, state, done, running.bit_count()), {}


class JobApi:
    """Serves the users' API.

    Every request is answered at once: with what is certain, or with a 503 and a Retry-After header.
    """

    def __init__(  # noqa: PLR0913 - called by position; the controller's parts are put together there
        self,
        kv: KeyValueStore,
        replica: Replica,
        teams: dict[str, Team],
        read_barrier: Callable[[], Awaitable[bool]],
        apply: Callable[[str, int, object], None],
        wall_us: Callable[[], int],
        retry_after_s: int,
        limits: TransactionLimits,
    ) -> None:
        """Answer from a replica, and write to the key-value store.

        Args:
            kv: The key-value store.
            replica: The replica of its keys.
            teams: The teams by name.
            read_barrier: Brings the replica up to date; returns whether that succeeded.
            apply: Applies a committed record to the replica: key, revision, record.
            wall_us: The time of day in microseconds.
            retry_after_s: The delay after which users retry a request that got a 503, in seconds.
            limits: The limits of a transaction.
        """
        self.kv = kv
        self.replica = replica
        self.teams = teams
        self.machine_types: dict[str, MachineType] = {}
        # The shard that this controller owns by default.
        self.home_shard: int | None = None
        self.lookup = JobLookup(kv, replica, read_barrier)
        self.canceller = JobCanceller(kv, self.lookup, apply, wall_us)
        self._submissions = SubmissionQueue(
            kv,
            limits,
            apply=apply,
            wall_us=wall_us,
            is_current=self.lookup.is_current,
            direct_shard=self.direct_shard,
        )
        self._retry = {"Retry-After": str(retry_after_s)}

    # -- attributes that the controller sets after construction ----------------------------------

    @property
    def ready(self) -> bool:
        """Whether the replica is loaded and users may be answered."""
        return self.lookup.ready

    @ready.setter
    def ready(self, ready: bool) -> None:
        self.lookup.ready = ready

    @property
    def history(self) -> FinishedJobs | None:
        """Finds finished jobs whose records were moved to the history."""
        return self.lookup.history

    @history.setter
    def history(self, history: FinishedJobs | None) -> None:
        self.lookup.history = history

    @property
    def cancellation_delay_us(self) -> int:
        """The time from when this node learns of a cancellation until users are told, in microseconds."""
        return self.lookup.cancellation_delay_us

    @cancellation_delay_us.setter
    def cancellation_delay_us(self, delay_us: int) -> None:
        self.lookup.cancellation_delay_us = delay_us

    @property
    def before_cancellation(self) -> BeforeCancellation | None:
        """The hook to call before a cancellation; see ``Extension.before_cancellation``."""
        return self.canceller.before_cancellation

    @before_cancellation.setter
    def before_cancellation(self, hook: BeforeCancellation | None) -> None:
        self.canceller.before_cancellation = hook

    @property
    def broadcast_cancellation(self) -> BroadcastCancellation | None:
        """Sends a cancellation to the other controllers; None if there are none."""
        return self.canceller.broadcast_cancellation

    @broadcast_cancellation.setter
    def broadcast_cancellation(self, broadcast: BroadcastCancellation | None) -> None:
        self.canceller.broadcast_cancellation = broadcast
        self.lookup.has_peers = broadcast is not None

    # -- requests --------------------------------------------------------------------------------

    def direct_shard(self, spec: JobSpec) -> int | None:
        """Return the shard that may place the job at once, without the leader.

        Only jobs of a single task qualify, whose team has no limit to be kept across shards. Seen: five small
        jobs a second, with four changes each, used up a limit of 20 changes a second. If no machine of the
        shard is free, the leader routes the job to another one like any other job.
        """
        team = self.teams[spec.team]
        if spec.kind != "array" or spec.tasks > 1 or team.cpus_max or team.gpus_max:
            return None
        return self.home_shard

    def unavailable(self, reason: str) -> Answer:
        """Answer 503: the request can't be decided now, and may be retried after a delay."""
        return 503, wire.encode_error(reason), self._retry

    async def handle(self, request: HTTPServerRequest) -> Answer | None:
        """Answer a request, or return None if the path is not part of the users' API."""
        path = request.path
        if path == wire.JOBS_PATH:
            if request.method != "POST":
                return _method_not_allowed("POST")
            return await self.submit(request.body)
        if not path.startswith(wire.JOBS_PATH + "/"):
            return None
        job_id, _, action = path[len(wire.JOBS_PATH) + 1 :].partition("/")
        if action == "":
            if request.method != "GET":
                return _method_not_allowed("GET")
            return await self.poll(job_id)
        if action == wire.CANCEL_ACTION:
            if request.method != "POST":
                return _method_not_allowed("POST")
            return await self.cancel(job_id)
        return None

    async def poll(self, job_id: str) -> Answer:
        """Answer the GET of a job."""
        found = await self.lookup.find(job_id)
        if isinstance(found, JobUnknown):
            return self.unavailable(_STATE_UNKNOWN)
        if isinstance(found, JobAbsent):
            return 404, wire.encode_error("no such job"), {}
        return _job_answer(200, found.job)

    async def cancel(self, job_id: str) -> Answer:
        """Answer the POST of a cancellation."""
        result = await self.canceller.cancel(job_id)
        if result is CancellationRefusal.NO_SUCH_JOB:
            return 404, wire.encode_error("no such job"), {}
        if isinstance(result, CancellationRefusal):
            return self.unavailable(_CANCELLATION_TEXTS[result])
        return 200, wire.encode_job_status(job_id, result.state), {}

    async def submit(self, body: bytes) -> Answer:
        """Answer the POST of a job. If the id is known, the other fields are not validated."""
        if len(body) > wire.MAX_SUBMISSION_BYTES:
            return 413, wire.encode_error("body over 64 KiB"), {}
        try:
            job_id = wire.decode_job_id(body)
        except wire.MalformedMessageError as err:
            return 400, wire.encode_error(str(err)), {}
        if job_id in self.replica.jobs:
            found = await self.lookup.find(job_id)
            if isinstance(found, JobFound):
                return _job_answer(200, found.job)
            return self.unavailable(_STATE_UNKNOWN)
        try:
            spec = wire.decode_submission(body)
        except wire.MalformedMessageError as err:
            return await self._reject(job_id, 400, str(err))
        if not self.ready or not self.machine_types:
            return self.unavailable("not ready")
        reason = infeasibility_reason(spec, self.teams, self.machine_types)
        if reason is not None:
            return await self._reject(job_id, 422, reason)
        if self.kv.is_unavailable():
            return self.unavailable(_KV_UNAVAILABLE)
        return await self._submit_new(spec)

    async def _reject(self, job_id: str, status: int, reason: str) -> Answer:
        """Refuse a submission, unless its id is known.

        Another controller may have accepted the id. A repeated submission is never refused, even by a
        controller that has just started and has not loaded its replica.
        """
        found = await self.lookup.find(job_id)
        if isinstance(found, JobFound):
            return _job_answer(200, found.job)
        if isinstance(found, JobUnknown):
            return self.unavailable(_STATE_UNKNOWN)
        return status, wire.encode_error(reason), {}

    async def _submit_new(self, spec: JobSpec) -> Answer:
        """Write a job whose id has no record in the replica."""
        outcome = SubmissionOutcome.STALE
        for lookups in range(MAX_LOOKUPS):
            if lookups and not await self.lookup.read_barrier():
                break
            found = await self.lookup.find_finished(spec.job_id)
            if isinstance(found, JobFound):
                return _job_answer(200, found.job)
            if isinstance(found, JobUnknown):
                return self.unavailable(_STATE_UNKNOWN)
            outcome = await self._submissions.submit(spec, found.preconditions)
            if outcome != SubmissionOutcome.STALE:
                break
        return await self._answer_submission(spec, outcome)

    async def _answer_submission(self, spec: JobSpec, outcome: SubmissionOutcome) -> Answer:
        if outcome == SubmissionOutcome.ACCEPTED:
            log.debug(
                "job accepted",
                job=spec.job_id,
                job_class=spec.job_class,
                tasks=spec.tasks,
                priority=spec.priority,
            )
            return 201, wire.encode_job_status(spec.job_id, "queued"), {}
        if outcome == SubmissionOutcome.TOO_LARGE:
            return 400, wire.encode_error("larger than the state service can store"), {}
        if outcome == SubmissionOutcome.CONFLICT:
            found = await self.lookup.find(spec.job_id)
            if isinstance(found, JobFound):
                return _job_answer(200, found.job)
        return self.unavailable(_KV_UNAVAILABLE)
