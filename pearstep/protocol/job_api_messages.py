"""Messages between users and controllers: submissions, and the status of jobs.

The protocol's own names are mapped to the code's terms by ``rename=`` and by the tables below.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.units import SECOND_US
from pearstep.protocol.errors import MalformedMessageError
from pearstep.protocol.fields import Amount, JobId, Name, Seconds

JOBS_PATH = "/v2/runs"
CANCEL_ACTION = "abort"
READY_PATH = "/ready"
MAX_SUBMISSION_BYTES = 64 * 1024

KIND_FROM_WIRE = {"batch": "array", "gang": "gang", "daemon": "service"}
PRIORITY_FROM_WIRE = {"critical": 0, "high": 1, "normal": 2, "low": 3}
JOB_STATE_TO_WIRE = {"queued": "queued", "running": "running", "done": "done", "cancelled": "withdrawn"}


class Submission(
    msgspec.Struct,
    rename={
        "job_id": "ref",
        "job_class": "cohort",
        "team": "holder",
        "kind": "shape",
        "priority": "rank",
        "tasks": "parcels",
        "cpus": "vcpus",
        "gpus": "accelerators",
        "memory_gb": "memoryGb",
        "image": "bundle",
        "image_gb": "sizeGb",
        "types": "breeds",
        "zone": "plot",
        "one_zone": "together",
        "spread": "scatter",
        "spot": "windfall",
        "estimate_s": "reckonS",
        "checkpoint_s": "markS",
        "save_s": "stowS",
        "deadline_s": "dueS",
    },
):
    """A job as a user submits it."""

    job_id: JobId
    job_class: Name
    team: Name
    kind: str
    priority: str
    tasks: Annotated[int, Meta(ge=1, le=100_000)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Name
    image_gb: Amount
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: Seconds
    checkpoint_s: Seconds
    save_s: Seconds
    types: Annotated[list[Name], Meta(max_length=100)] | None = None
    zone: Name | None = None
    deadline_s: Seconds | None = None


_submission = msgspec.json.Decoder(Submission)


class _JobIdOnly(msgspec.Struct, rename={"job_id": "ref"}):
    job_id: JobId


_job_id_only = msgspec.json.Decoder(_JobIdOnly)


def decode_job_id(body: bytes) -> str:
    """Return the job id of a submission that may otherwise be invalid.

    The answer to a repeated submission of an existing job does not depend on its other fields.

    Raises:
        MalformedMessageError: The job id is missing or invalid.
    """
    try:
        return _job_id_only.decode(body).job_id
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from err


def decode_submission(body: bytes) -> JobSpec:
    """Decode a submission, and convert it to a job specification; seconds become microseconds.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    try:
        submission = _submission.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from err
    if submission.kind not in KIND_FROM_WIRE:
        raise MalformedMessageError("unknown shape")
    if submission.priority not in PRIORITY_FROM_WIRE:
        raise MalformedMessageError("unknown rank")
    return JobSpec(
        job_id=submission.job_id,
        job_class=submission.job_class,
        team=submission.team,
        kind=KIND_FROM_WIRE[submission.kind],
        priority=PRIORITY_FROM_WIRE[submission.priority],
        tasks=submission.tasks,
        cpus=submission.cpus,
        gpus=submission.gpus,
        memory_gb=submission.memory_gb,
        image=submission.image,
        image_gb=submission.image_gb,
        types=None if submission.types is None else tuple(submission.types),
        zone=submission.zone,
        one_zone=submission.one_zone,
        spread=submission.spread,
        spot=submission.spot,
        estimate_us=int(submission.estimate_s * SECOND_US),
        checkpoint_us=int(submission.checkpoint_s * SECOND_US),
        save_us=int(submission.save_s * SECOND_US),
        deadline_us=None if submission.deadline_s is None else int(submission.deadline_s * SECOND_US),
    )


def encode_job_status(job_id: str, state: str, done: int | None = None, running: int | None = None) -> bytes:
    """Encode the status of a job for a user."""
    status: dict[str, Any] = {"ref": job_id, "stage": JOB_STATE_TO_WIRE[state]}
    if done is not None:
        status["done"], status["running"] = done, running
    return msgspec.json.encode(status)


def encode_error(reason: str) -> bytes:
    """Encode the short reason of an error answer."""
    return msgspec.json.encode({"error": reason})
