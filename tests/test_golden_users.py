"""Messages between users and controllers match the golden files: submissions, answers, and error answers."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from pearstep.controller.controller import Controller
from pearstep.controller.extension import FinishedJob
from pearstep.controller.job_api import JobApi
from pearstep.domain.machine_type import MachineType
from pearstep.domain.team import Team
from pearstep.jobs import description
from pearstep.protocol import client_messages as client_wire
from pearstep.protocol import controller_messages as wire
from pearstep.state.replica import Replica
from pearstep.state.transactions import TransactionLimits
from pearstep.transport.kv_client import CommitOutcome, CommitResult
from tests.golden import files

JOB_SPEC = dict(
    job_id="req-000412",
    job_class="train",
    team="vision",
    kind="gang",
    priority=1,
    tasks=16,
    cpus=8.0,
    gpus=1.5,
    memory_gb=64.25,
    image="img-07",
    image_gb=6.2,
    types=None,
    zone=None,
    one_zone=False,
    spread=False,
    spot=False,
    estimate_us=240_500_000,
    checkpoint_us=30_000_000,
    save_us=4_000_000,
    deadline_us=None,
)
SUBMISSIONS = {
    "submission_all": JOB_SPEC
    | dict(
        types=["g8", "g4"],
        zone="north",
        one_zone=True,
        spread=True,
        spot=True,
        deadline_us=900_000_000,
    ),
    "submission_nulls": JOB_SPEC,
    "submission_required": JOB_SPEC,
    "submission_batch": JOB_SPEC | dict(kind="array", priority=0),
    "submission_daemon": JOB_SPEC | dict(kind="service", priority=3),
    "submission_normal": JOB_SPEC | dict(priority=2),
}
STATUSES = {
    "status_queued": dict(job_id="req-7", state="queued", done=0, running=0),
    "status_running": dict(job_id="req-7", state="running", done=3, running=2),
    "status_done": dict(job_id="req-7", state="done", done=5, running=0),
    "status_withdrawn": dict(job_id="req-7", state="cancelled", done=1, running=0),
    "status_accepted": dict(job_id="req-7", state="queued", done=0, running=0),
}
OTHER_FILES = {"exchanges", "paths", "submission_of_client", "submission_of_client_defaults"}
EXCHANGES = files.table("users/exchanges.json")


def test_every_golden_file_of_the_area_is_covered():
    names = {*SUBMISSIONS, *STATUSES, *OTHER_FILES}
    assert files.names("users") == {f"users/{name}.json" for name in names}
    assert EXCHANGES.keys() == SITUATIONS.keys()


@pytest.mark.parametrize("name", SUBMISSIONS)
def test_submissions_are_decoded_as_in_the_golden_files(name):
    body = files.read(f"users/{name}.json")
    assert files.fields(wire.decode_submission(body)) == SUBMISSIONS[name]
    assert wire.decode_job_id(body) == "req-000412"


@pytest.mark.parametrize("name", sorted(SUBMISSIONS.keys() - {"submission_required"}))
def test_submissions_are_encoded_as_in_the_golden_files(name):
    body = files.read(f"users/{name}.json")
    submission = msgspec.json.decode(body, type=wire.Submission)
    assert msgspec.json.encode(submission) == body


def test_client_encodes_a_job_description_as_in_the_golden_files():
    job = description.Description(
        cls="train",
        team="vision",
        run=description.Run(["true"]),
        kind="gang",
        priority="high",
        tasks=16,
        cpus=8.0,
        gpus=1.5,
        memory_gb=64.25,
        image=description.Image("img-07", 6.2),
        types=["g8", "g4"],
        zone="north",
        one_zone=True,
        spread=True,
        spot=True,
        estimate_s=240.5,
        checkpoint_s=30.0,
        save_s=4.0,
        deadline_s=900.0,
    )
    default_job = description.Description("batch", "dev", description.Run(["true"]))
    for name, description_of_job in (
        ("submission_of_client", job),
        ("submission_of_client_defaults", default_job),
    ):
        body = client_wire.encode_submission(description_of_job.submission("req-000412"))
        assert body == files.read(f"users/{name}.json")
    spec = wire.decode_submission(files.read("users/submission_of_client.json"))
    assert files.fields(spec) == SUBMISSIONS["submission_all"]


@pytest.mark.parametrize("name", STATUSES)
def test_job_statuses_are_decoded_and_encoded_as_in_the_golden_files(name):
    body, values = files.read(f"users/{name}.json"), STATUSES[name]
    assert files.fields(client_wire.decode_job_status(body)) == values
    counts = () if name == "status_accepted" else (values["done"], values["running"])
    assert wire.encode_job_status(values["job_id"], values["state"], *counts) == body


def test_paths_are_as_in_the_golden_file():
    assert files.table("users/paths.json") == {
        "jobs": wire.JOBS_PATH,
        "ready": wire.READY_PATH,
        "job": client_wire.job_path("req-7"),
        "cancel": client_wire.cancel_path("req-7"),
        "most bytes": wire.MAX_SUBMISSION_BYTES,
    }


# -- requests and answers --------------------------------------------------------------------------

JOBS = {name: files.read(f"state/{name}.json") for name in ("job_all", "job_defaults", "job_cancelled")}
QUEUED, DONE, CANCELLED = (
    [("j/req-7", 1, JOBS["job_defaults"])],
    [("j/req-000412", 1, JOBS["job_all"])],
    [("j/req-7", 1, JOBS["job_cancelled"])],
)
PLACED = [*QUEUED, ("p/0/req-7/0", 2, b'{"run":{"0":["i-1",1,1,1]},"done":"2"}')]


def make_controller(
    records=(),
    ready=True,
    is_fresh_now=True,
    kv_unavailable=False,
    outcome=None,
    finished_job=None,
    offloaded=False,
    has_unread_offloads=False,
    cancellation_delay_us=0,
    can_serve_users=True,
):
    """Return a controller with these records; ``outcome`` is the result of each of its transactions."""

    async def is_fresh():
        return is_fresh_now

    async def commit(*args, **options):
        return outcome or CommitResult(CommitOutcome.COMMITTED, 9)

    async def find_finished(job_id):
        return finished_job

    async def before_cancellation(job):
        return None if offloaded else {}

    replica = Replica()
    for key, version, value in records:
        replica.put(key, version, value, 0)
    replica.has_unread_offloads = has_unread_offloads

    def apply_to_replica(key, version, value):
        replica.put(key, version, msgspec.json.encode(value), 0)

    teams = {"vision": Team("vision", cpus_max=128.0), "dev": Team("dev"), "small": Team("small", cpus_max=1)}
    store = SimpleNamespace(is_unavailable=lambda: kv_unavailable, commit=commit)
    job_api = JobApi(
        store,
        replica,
        teams,
        is_fresh,
        apply_to_replica,
        lambda: 1_700_000_000_000_009,
        7,
        TransactionLimits(12, 48, 16_384),
    )
    job_api.machine_types = {
        "g8": MachineType("g8", 96.0, 8.0, 384.0, 100.0, 1.0, 29.0, 12.0, 50_000_000, ("north",))
    }
    job_api.ready, job_api.home_shard, job_api.cancellation_delay_us = ready, 0, cancellation_delay_us
    job_api.history = None if finished_job is None else SimpleNamespace(find=find_finished)
    job_api.before_cancellation = before_cancellation
    controller = Controller.__new__(Controller)
    controller.job_api, controller.replica, controller.machine_types, controller.extension = (
        job_api,
        replica,
        job_api.machine_types,
        None,
    )
    controller.follower = SimpleNamespace(loaded=ready)
    controller.health = SimpleNamespace(
        reachability=SimpleNamespace(can_serve_users=lambda now_us: can_serve_users)
    )
    return controller


SITUATIONS = {
    "submit": {},
    "submit again": dict(records=PLACED),
    "submit again, done": dict(records=DONE),
    "submit again, in the history": dict(finished_job=FinishedJob("req-7", "done", 2)),
    "submit, another node was first": dict(outcome=CommitResult(CommitOutcome.CONFLICT, 9, ["j/req-7"])),
    "poll, queued": dict(records=QUEUED),
    "poll, running": dict(records=PLACED),
    "poll, done": dict(records=DONE),
    "poll, cancelled": dict(records=CANCELLED),
    "poll, done in the history": dict(finished_job=FinishedJob("req-7", "done", 2)),
    "poll, cancelled in the history": dict(finished_job=FinishedJob("req-7", "cancelled", 1)),
    "cancel": dict(records=PLACED),
    "cancel, done": dict(records=DONE),
    "cancel, cancelled": dict(records=CANCELLED),
    "cancel, in the history": dict(finished_job=FinishedJob("req-7", "done", 2)),
    "ready": {},
    "not ready": dict(ready=False),
    "not ready, cut off": dict(can_serve_users=False),
    "no such path": {},
    "no such path below a job": {},
    "wrong method to submit": {},
    "wrong method to poll": {},
    "wrong method to cancel": {},
    "wrong method for ready": {},
    "body too large": {},
    "not JSON": {},
    "no id": {},
    "id is no id": {},
    "unknown shape": {},
    "unknown rank": {},
    "no tasks": {},
    "field missing": {},
    "unknown team": {},
    "no machine type": {},
    "over the team's limit": {},
    "submit, not ready": dict(ready=False),
    "submit, wrong and not fresh": dict(is_fresh_now=False),
    "submit, known and not fresh": dict(records=QUEUED, is_fresh_now=False),
    "submit, state service away": dict(kv_unavailable=True),
    "submit, refused by the state service": dict(outcome=CommitResult(CommitOutcome.REFUSED)),
    "poll, no such job": {},
    "poll, not fresh": dict(is_fresh_now=False),
    "poll, state service away": dict(kv_unavailable=True),
    "poll, cancelled a moment ago": dict(records=CANCELLED, cancellation_delay_us=10**18),
    "cancel, no such job": {},
    "cancel, not fresh": dict(records=QUEUED, is_fresh_now=False),
    "cancel, loans unread": dict(records=QUEUED, has_unread_offloads=True),
    "cancel, lent": dict(records=QUEUED, offloaded=True),
    "cancel, state service does not answer": dict(
        records=QUEUED, outcome=CommitResult(CommitOutcome.REFUSED)
    ),
    "cancel, told later": dict(records=QUEUED, cancellation_delay_us=10**18),
}


async def send_request(controller, method, path, body):
    request = SimpleNamespace(method=method, path=path, body=body.encode(), arguments={})
    answer = controller.handle(request)
    return answer if isinstance(answer, tuple) else await answer


@pytest.mark.parametrize("name", SITUATIONS)
def test_requests_of_users_are_answered_as_in_the_golden_file(name):
    golden = EXCHANGES[name]
    request_fields = golden["method"], golden["path"], golden["body"] * golden.get("times", 1)

    async def scenario():
        return await send_request(make_controller(**SITUATIONS[name]), *request_fields)

    status, body, headers = asyncio.run(scenario())
    assert (status, body.decode(), headers) == (golden["status"], golden["answer"], golden["headers"])
