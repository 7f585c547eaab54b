"""The users' API over HTTP, against a small fake state service."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from tornado.testing import bind_unused_port

from pearstep.controller.job_api import JobApi
from pearstep.domain.team import Team
from pearstep.protocol import controller_messages as wire
from pearstep.state.replica import Replica
from pearstep.state.transactions import TransactionLimits
from pearstep.transport.http import Client, Server
from pearstep.transport.kv_client import KeyValueStore
from pearstep.transport.rate_limiter import RateLimiter
from tests.test_formats import SUBMISSION
from tests.world import TYPES, FakeKeyValueStore

JOB = {**SUBMISSION, "shape": "batch", "parcels": 2, "breeds": None, "holder": "t", "memoryGb": 8.0}
LIMITS = TransactionLimits(operations=12, conditions=48, value_bytes=2048)


class StateService:
    """Serves transactions and changes over HTTP; answers 503 to all requests while ``unavailable``."""

    def __init__(self):
        self.ledger = FakeKeyValueStore()
        self.unavailable = False

    async def handle(self, request):
        if self.unavailable:
            return 503, b"{}", {}
        if request.path == wire.TRANSACTION_PATH:
            body = msgspec.json.decode(request.body)
            puts = {op["put"]: op["value"] for op in body["then"] if "put" in op}
            outcome = self.ledger.txn(
                {condition["path"]: condition["stamp"] for condition in body["when"]}, puts
            )
            if isinstance(outcome, int):
                return 200, msgspec.json.encode({"ledger": outcome}), {}
            return 409, msgspec.json.encode({"failed": outcome, "ledger": self.ledger.revision}), {}
        after = int(request.arguments["from"][0])
        changes = [entry for entry in self.ledger.log if entry[0] > after]
        log = [{"put": key, "value": msgspec.Raw(value), "stamp": version} for version, key, value in changes]
        return 200, msgspec.json.encode({"ledger": self.ledger.revision, "log": log}), {}


async def scenario(steps):
    state = StateService()
    sockets = [bind_unused_port("127.0.0.1") for _ in range(2)]
    ports = []
    for socket, port in sockets:
        socket.close()
        ports.append(port)
    Server(state.handle).listen("127.0.0.1", ports[0])
    client = Client()
    rate_limiter = RateLimiter(1e6, 1e6, lambda: 0)
    kv = KeyValueStore(client, f"127.0.0.1:{ports[0]}", rate_limiter, rate_limiter, lambda: 0)
    replica = Replica()

    async def read_barrier():
        changes = await kv.read_changes(replica.revision, 0)
        if isinstance(changes, int):
            return False
        for event in changes.events:
            replica.put(event.put, event.version, bytes(event.value), 0)
        replica.revision = changes.revision
        return True

    def apply(key, version, value):
        replica.put(key, version, msgspec.json.encode(value), 0)

    job_api = JobApi(kv, replica, {"t": Team("t", cpus_max=64.0)}, read_barrier, apply, lambda: 1, 1, LIMITS)
    job_api.machine_types = TYPES
    job_api.home_shard = 2
    job_api.ready = True

    async def handle(request):
        return await job_api.handle(request) or (404, b"{}", {})

    Server(handle).listen("127.0.0.1", ports[1])

    async def send_request(method, path, body=None):
        data_to_send = body if isinstance(body, bytes) or body is None else msgspec.json.encode(body)
        status, data = await client.fetch(f"127.0.0.1:{ports[1]}", method, path, data_to_send)
        return status, msgspec.json.decode(data)

    await steps(send_request, state, job_api)


def test_lifecycle_of_a_job_and_bad_input():
    async def steps(send_request, state, job_api):
        assert await send_request("POST", wire.JOBS_PATH, JOB) == (
            201,
            {"ref": "req-000412", "stage": "queued"},
        )
        assert (await send_request("POST", wire.JOBS_PATH, JOB))[0] == 200
        # A known job is not validated again.
        assert (await send_request("POST", wire.JOBS_PATH, {"ref": "req-000412"}))[0] == 200
        assert (await send_request("GET", f"{wire.JOBS_PATH}/req-000412"))[1]["stage"] == "queued"
        assert (await send_request("GET", f"{wire.JOBS_PATH}/req-7"))[0] == 404
        assert (await send_request("POST", f"{wire.JOBS_PATH}/req-7/abort"))[0] == 404
        assert (await send_request("POST", wire.JOBS_PATH, b"{"))[0] == 400
        assert (await send_request("POST", wire.JOBS_PATH, b"[" + b" " * 70_000 + b"]"))[0] == 413
        assert (await send_request("GET", wire.JOBS_PATH))[0] == 405
        for invalid in ({"holder": "nobody"}, {"vcpus": 97.0}, {"shape": "gang", "parcels": 16}):
            assert (await send_request("POST", wire.JOBS_PATH, {**JOB, "ref": "req-9", **invalid}))[0] == 422
        for _ in range(2):
            status, body = await send_request("POST", f"{wire.JOBS_PATH}/req-000412/abort")
            assert (status, body["stage"]) == (200, "withdrawn")
        assert state.ledger.revision == 2

    asyncio.run(scenario(steps))


def test_job_too_large_for_a_value_is_rejected_immediately():
    async def steps(send_request, state, job_api):
        for count, status in ((5, 201), (10, 400), (5, 200)):
            types = ["big", *(f"{n:0200}" for n in range(count))]
            job = {**JOB, "breeds": types, "ref": f"req-{count}"}
            assert (await send_request("POST", wire.JOBS_PATH, job))[0] == status
        assert state.ledger.revision == 1 and "req-10" not in job_api.replica.jobs

    asyncio.run(scenario(steps))


def test_single_task_job_of_a_team_without_quota_is_routed_on_acceptance():
    async def steps(send_request, state, job_api):
        job_api.teams["free"] = Team("free")
        await send_request("POST", wire.JOBS_PATH, {**JOB, "ref": "req-1", "holder": "free", "parcels": 1})
        await send_request("POST", wire.JOBS_PATH, {**JOB, "ref": "req-2", "holder": "free"})
        await send_request("POST", wire.JOBS_PATH, {**JOB, "ref": "req-3", "parcels": 1})
        jobs = job_api.replica.jobs
        assert {job_id: dict.fromkeys(job.routes, job.routed_tasks) for job_id, job in jobs.items()} == {
            "req-1": {2: 1},
            "req-2": {},
            "req-3": {},
        }
        job_api.replica.put("r/2/req-1", 50, b'{"tasks":""}', 0)
        assert not jobs["req-1"].routed_tasks and jobs["req-1"].routes[2].version == 50

    asyncio.run(scenario(steps))


def test_users_get_retry_after_while_the_state_service_is_unavailable():
    async def steps(send_request, state, job_api):
        await send_request("POST", wire.JOBS_PATH, JOB)
        state.unavailable = True
        status, _, headers = await job_api.submit(msgspec.json.encode({**JOB, "ref": "req-8"}))
        assert status == 503 and headers["Retry-After"] == "1"
        assert (await send_request("GET", f"{wire.JOBS_PATH}/req-000412"))[0] == 503
        state.unavailable = False
        assert (await send_request("POST", wire.JOBS_PATH, {**JOB, "ref": "req-8"}))[0] == 201

    asyncio.run(scenario(steps))


def test_node_that_is_not_ready_does_not_reject_invalid_submissions():
    # Another node may have accepted the job, and repeating an accepted job must never get 400 or 422.
    async def steps(send_request, state, job_api):
        invalid = {**JOB, "vcpus": 97.0}, {"ref": "req-000412"}, {**JOB, "parcels": 0}
        job_api.ready = False
        for body in (JOB, *invalid):
            assert (await send_request("POST", wire.JOBS_PATH, body))[0] == 503
        job_api.ready = True
        assert [(await send_request("POST", wire.JOBS_PATH, body))[0] for body in invalid] == [422, 400, 400]
        await send_request("POST", wire.JOBS_PATH, JOB)
        assert [(await send_request("POST", wire.JOBS_PATH, body))[0] for body in invalid] == [200, 200, 200]

    asyncio.run(scenario(steps))


@pytest.mark.parametrize("fault", ["apply", "clock", "commit"])
def test_submissions_are_answered_if_their_commit_raises_and_later_ones_are_accepted(fault):
    # Seen: such requests were never answered, because their futures were never resolved.
    async def steps(send_request, state, job_api):
        submissions = job_api._submissions
        attribute = {"apply": "_apply", "clock": "_wall_us", "commit": "_kv"}[fault]
        original = getattr(submissions, attribute)

        def failing(*args, **options):
            raise ZeroDivisionError("a fault in the program")

        setattr(submissions, attribute, SimpleNamespace(commit=failing) if fault == "commit" else failing)
        jobs = [{**JOB, "ref": f"req-{n}"} for n in range(30)]
        requests = asyncio.gather(*(job_api.submit(msgspec.json.encode(job)) for job in jobs))
        answers = await asyncio.wait_for(requests, 5.0)
        assert {(status, headers.get("Retry-After")) for status, _, headers in answers} == {(503, "1")}
        setattr(submissions, attribute, original)
        assert (await send_request("POST", wire.JOBS_PATH, {**JOB, "ref": "req-99"}))[0] == 201

    asyncio.run(scenario(steps))
