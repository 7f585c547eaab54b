"""Tests of `pearstep state compact`: compaction without a controller, against the emulated state service."""

import asyncio
import contextlib
import threading

import pytest
from click.testing import CliRunner

from pearstep.cli.state import state as state_command
from pearstep.controller.settings import StateSettings
from pearstep.domain.job_state import JobState
from pearstep.emulator.cloud import free_port
from pearstep.emulator.state_service import StateService
from pearstep.history import extension, standalone
from pearstep.history.compaction import COMPACTOR
from pearstep.history.settings import HistorySettings
from pearstep.history.standalone import CommandHost, compact
from pearstep.history.verification import verify
from pearstep.protocol.controller_messages import encode_transaction
from pearstep.protocol.emulator_messages import decode_transaction
from pearstep.state.records import JobRecord, LeaseHolderRecord, PlacementRecord, RouteRecord
from pearstep.transport.http import Client, Server
from tests.world import spec

SHARDS = 2
LIMITS = StateSettings(1000.0, 1000.0, 16.0, 16)
ENDED_AT_US = 5


class Service:
    """The emulated state service with records that controllers have written."""

    def __init__(self):
        self.service = StateService(None, 10_000.0, 10_000.0, 16.0, 16)
        self.keys = self.service.keys
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"

    def listen(self):
        Server(self.service.handle).listen("127.0.0.1", self.port)

    def put(self, puts):
        rows = {key: (value, None) for key, value in puts.items()}
        assert isinstance(
            self.keys.apply_transaction(decode_transaction(encode_transaction({}, rows, []))), int
        )

    def add_controllers(self, node_version=2):
        for shard_id in range(SHARDS):
            self.put({f"part/{shard_id}": LeaseHolderRecord(f"n{shard_id}", node_version)})

    def add_finished_jobs(self, count, routed=True):
        """Add jobs of two tasks, every third cancelled after one; ``routed`` adds routes and placements."""
        for number in range(count):
            job_id, cancelled = f"req-{number * 7919 + 1}", number % 3 == 0
            ended = JobState.CANCELLED if cancelled else JobState.DONE
            puts = {f"j/{job_id}": JobRecord(spec(tasks=2), 1, ended, ENDED_AT_US + number)}
            if routed:
                puts[f"r/0/{job_id}"] = RouteRecord("0-1")
                puts[f"p/0/{job_id}/0"] = PlacementRecord({}, "1" if cancelled else "3")
            self.put(puts)

    def starting_with(self, *prefixes):
        return [key for key in self.keys.keys if key.startswith(prefixes)]

    def report(self):
        return verify([(key, raw) for key, (_, raw, _) in self.keys.keys.items()])


def run_compact(service, patience_s=30.0, limits=LIMITS, keep=1, prepare=lambda host: None):
    async def run():
        service.listen()
        host = CommandHost(Client(10), service.address, SHARDS, limits)
        prepare(host)
        settings = HistorySettings(rest_s=1, keep=keep, batch=1, share=1.0, step_s=0.001)
        return await asyncio.wait_for(compact(host, settings, patience_s), 60)

    return asyncio.run(run())


@pytest.fixture(autouse=True)
def no_idle_wait(monkeypatch):
    """Make an idle compactor release its key at once."""
    monkeypatch.setattr(extension, "WORK_CHECK_INTERVAL_US", 1000)


def test_all_finished_jobs_except_those_to_keep_move_to_the_history():
    service = Service()
    service.add_controllers()
    service.add_finished_jobs(15)
    assert run_compact(service, keep=3) == (12, "")
    report = service.report()
    assert (report.violations, report.remarks) == ([], [])
    assert (report.jobs, report.finished) == (3, 12)
    # The three that ended last keep all of their records.
    kept = [f"req-{number * 7919 + 1}" for number in (12, 13, 14)]
    assert sorted(service.starting_with("j/")) == sorted(f"j/{job_id}" for job_id in kept)
    assert sorted(service.starting_with("r/", "p/")) == sorted(
        key for job_id in kept for key in (f"r/0/{job_id}", f"p/0/{job_id}/0")
    )
    assert COMPACTOR not in service.keys.keys


def test_a_second_run_has_nothing_to_do_and_writes_nothing():
    service = Service()
    service.add_controllers()
    service.add_finished_jobs(5)
    assert run_compact(service) == (4, "")
    before = service.starting_with("")
    service.port = free_port()
    service.address = f"127.0.0.1:{service.port}"
    assert run_compact(service) == (0, "")
    assert service.starting_with("") == before


def test_the_outcome_of_every_job_is_in_the_history():
    service = Service()
    service.add_controllers()
    service.add_finished_jobs(10)

    async def run():
        service.listen()
        host = CommandHost(Client(10), service.address, SHARDS, LIMITS)
        settings = HistorySettings(rest_s=1, keep=1, batch=1, share=1.0, step_s=0.001)
        assert await compact(host, settings) == (9, "")
        return [await host.job_api.history.find(f"req-{number * 7919 + 1}") for number in range(9)]

    found = asyncio.run(run())
    assert [(job.state, job.done) for job in found] == [
        ("cancelled", 1) if number % 3 == 0 else ("done", 2) for number in range(9)
    ]


def test_compaction_does_not_take_the_key_of_a_controller():
    service = Service()
    service.add_controllers()
    service.add_finished_jobs(4)
    service.put({COMPACTOR: extension.CompactorRecord("n0", 7)})
    before = dict(service.keys.keys)
    assert run_compact(service, patience_s=0.2) == (0, "a controller compacts at the moment")
    assert dict(service.keys.keys) == before


@pytest.mark.parametrize("announce", [lambda s: s.add_controllers(node_version=1), lambda s: None])
def test_no_job_moves_before_every_controller_reads_the_history(announce):
    service = Service()
    announce(service)
    service.add_finished_jobs(4)
    moved, why = run_compact(service, patience_s=0.2)
    assert moved == 0
    assert why == "not every controller has said that it reads the history: start all with --history FILE"
    assert len(service.starting_with("j/")) == 4 and not service.starting_with("hr/", "zb/")


def test_a_damaged_root_stops_compaction():
    service = Service()
    service.add_controllers()
    service.add_finished_jobs(4)
    service.put({"hr/4": "no root"})
    assert run_compact(service) == (0, "hr/4 is damaged: see `pearstep state verify`")
    assert len(service.starting_with("j/")) == 4


def test_a_state_service_that_rejects_every_block_stops_compaction():
    service = Service()
    service.add_controllers()
    # Enough jobs for a block in each bucket that exceeds the size limit set below.
    service.add_finished_jobs(900, routed=False)
    service.keys.value_bytes = 100
    assert run_compact(service) == (0, "the state service takes no step of it: see the log")
    assert len(service.starting_with("j/")) == 900
    assert not service.starting_with("hr/", "zb/")


def test_an_unavailable_state_service_is_reported():
    service = Service()

    async def run():
        host = CommandHost(Client(10), service.address, SHARDS, LIMITS)
        return await compact(host, HistorySettings())

    assert asyncio.run(asyncio.wait_for(run(), 60)) == (0, "the state service does not answer")


def test_a_lease_is_renewed_and_replaced_when_it_has_ended(monkeypatch):
    service = Service()
    monkeypatch.setattr(standalone, "LEASE_MS", 200)

    async def until(condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)

    async def run():
        service.listen()
        host = CommandHost(Client(10), service.address, SHARDS, LIMITS)
        lease_task = asyncio.ensure_future(host.keep_lease())
        await until(lambda: host.leases.lease_id is not None)
        first = host.leases.lease_id
        _, expires_us = service.keys.leases[first]
        await until(lambda: service.keys.leases[first][1] > expires_us)
        service.keys.end_lease(first)
        await until(lambda: host.leases.lease_id != first)
        assert list(service.keys.leases) == [host.leases.lease_id]
        lease_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await lease_task

    asyncio.run(run())


@contextlib.contextmanager
def in_thread(service):
    """Run the service in an event loop of its own, since a command runs its own loop."""
    loop, listening = asyncio.new_event_loop(), threading.Event()

    def serve():
        asyncio.set_event_loop(loop)

        async def start():
            service.listen()
            listening.set()

        loop.run_until_complete(start())
        loop.run_forever()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    assert listening.wait(10)
    try:
        yield
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join(10)
        assert not thread.is_alive()


def test_the_command_reports_the_number_of_compacted_jobs_and_exits_with_0():
    service = Service()
    service.add_controllers()
    service.add_finished_jobs(6)
    with in_thread(service):
        args = ["compact", "--state", service.address, "--parts", str(SHARDS), "--keep", "2"]
        result = CliRunner().invoke(state_command, args)
    assert (result.exit_code, result.output) == (0, "4 jobs have left their records\n")
    assert service.report().finished == 4


def test_the_command_exits_with_1_if_compaction_is_not_possible():
    service = Service()
    service.add_controllers()
    service.put({"hr/4": "no root"})
    with in_thread(service):
        args = ["compact", "--state", service.address, "--parts", str(SHARDS), "--keep", "2"]
        result = CliRunner().invoke(state_command, args)
    assert result.exit_code == 1
    assert result.output.startswith("0 jobs have left their records\n")
    assert "hr/4 is damaged" in result.output


def test_the_command_requires_the_number_of_controllers():
    result = CliRunner().invoke(state_command, ["compact", "--state", "127.0.0.1:1"])
    assert result.exit_code == 2 and "--parts" in result.output
