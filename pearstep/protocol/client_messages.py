"""The users' side of the protocol: encodes submissions, and decodes answers."""

from __future__ import annotations

from typing import Any

import msgspec

from pearstep.protocol.job_api_messages import (
    CANCEL_ACTION,
    JOB_STATE_TO_WIRE,
    JOBS_PATH,
    KIND_FROM_WIRE,
    Submission,
)

KIND_TO_WIRE = {kind: shape for shape, kind in KIND_FROM_WIRE.items()}
JOB_STATE_FROM_WIRE = {stage: state for state, stage in JOB_STATE_TO_WIRE.items()}


class JobStatus(msgspec.Struct, rename={"job_id": "ref", "state": "stage"}):
    """The status of a job, as a controller reports it."""

    job_id: str
    state: str
    done: int = 0
    running: int = 0


def encode_submission(job: dict[str, Any]) -> bytes:
    """Encode a submission from the fields of a job, given in the code's terms."""
    return msgspec.json.encode(Submission(**{**job, "kind": KIND_TO_WIRE[job["kind"]]}))


def decode_job_status(body: bytes) -> JobStatus:
    """Decode an answer with the status of a job."""
    status = msgspec.json.decode(body, type=JobStatus)
    status.state = JOB_STATE_FROM_WIRE.get(status.state, status.state)
    return status


def job_path(job_id: str) -> str:
    """Return the path of a job."""
    return f"{JOBS_PATH}/{job_id}"


def cancel_path(job_id: str) -> str:
    """Return the path that cancels a job."""
    return f"{JOBS_PATH}/{job_id}/{CANCEL_ACTION}"
