"""Transfers of descriptions, logs and files between the archives of two sites over a TLS link."""

import asyncio

import msgspec

from pearstep.archive.frames import pack
from pearstep.archive.records import Append, Chunk, Key, Seal
from pearstep.federation import handoff
from pearstep.federation.handoff import OriginOffload
from pearstep.federation.ledger import OriginRecord, ResourceAmounts
from pearstep.federation.link import Link
from pearstep.federation.offload_records import OffloadRecords
from pearstep.federation.offload_transactions import local_job_id, team_of_peer
from pearstep.federation.transfers import COPY_AFTER_END_US, Transfers
from pearstep.jobs.description import Description, Run, decode, encode
from pearstep.protocol.controller_messages import JOBS_PATH
from pearstep.state.records import JobRecord
from pearstep.state.replica import Replica
from tests.test_archive_service import Site
from tests.test_keys import site, trust
from tests.test_link import free_addr
from tests.world import spec

NUMBER = 7
LOCAL_JOB_ID = local_job_id("huye", "req-1", NUMBER)


class TransferSite:
    """One site: keys, an archive, records and its end of the link."""

    def __init__(self, root, name, other, addrs, keys):
        self.site = Site(root / f"{name}-archive", 1)
        self.replica = Replica()
        self.records = OffloadRecords(self.replica, lambda key: None)

        async def unexpected_receive(peer, envelope):
            raise AssertionError("nothing is said here")

        self.link = Link(keys, {other: [addrs[other]]}, unexpected_receive, self.serve)
        host, _, port = addrs[name].rpartition(":")
        assert self.link.listen(host, int(port))
        self.now = 0
        self.transfers = Transfers(
            list(self.site.addrs.values()), self.link, self.records, self.replica, lambda: self.now
        )

    async def serve(self, peer, request):
        return await self.transfers.serve(peer, request)

    def put(self, key, value):
        self.replica.put(key, self.replica.version_of(key) + 1, msgspec.json.encode(value), 0)


async def start_sites(tmp_path):
    for name in ("huye", "nyarugenge"):
        (tmp_path / f"{name}-archive").mkdir()
    keys = {n: site(tmp_path, n) for n in ("huye", "nyarugenge")}
    trust(keys["huye"], keys["nyarugenge"])
    trust(keys["nyarugenge"], keys["huye"])
    addrs = {n: free_addr() for n in keys}
    origin = TransferSite(tmp_path, "huye", "nyarugenge", addrs, keys["huye"])
    remote = TransferSite(tmp_path, "nyarugenge", "huye", addrs, keys["nyarugenge"])
    for end in (origin, remote):
        await end.site.settle()
    origin.put("j/req-1", JobRecord(spec(job_id="req-1", kind="array", tasks=2), 1))
    put_origin_record(origin, handoff.GRANTED)
    job = Description("solve", "office", Run(["x"], outputs=["*"]), tasks=2)
    assert (await origin.site.client.ask("PUT", "/v1/jobs/req-1", encode(job)))[0] == 201
    return origin, remote


def put_origin_record(origin, state, **more):
    task_mask = 0 if state == handoff.AT_ORIGIN else 0b11
    offload = OriginOffload(2, state=state, number=NUMBER, task_mask=task_mask, **more)
    origin.put("l/req-1", OriginRecord(offload, "nyarugenge", ResourceAmounts()))


async def append_log(remote, key, data, end, cause="done", hole=0):
    chunks = [pack("stdout", 0, data)] if data else []
    if hole:
        chunks.append(Chunk("stdout", len(data), hole, hole=True))
    seal = Seal(cause, 0, {"stdout": len(data) + hole}, 9) if end else None
    item = Append(key, 1, team_of_peer("huye"), "solve", 5, chunks, seal)
    addr = (await remote.site.client.owners(key.job, key.task))[0]
    assert (await remote.site.client.append(addr, [item]))[0].status == 200


def play(scenario, tmp_path):
    async def run():
        await scenario(*await start_sites(tmp_path), tmp_path)

    asyncio.run(asyncio.wait_for(run(), 60))


def test_the_description_is_transferred_and_accounted_to_the_peer(tmp_path):
    async def scenario(origin, remote, tmp_path):
        assert await remote.transfers.fetch_description("huye", "req-1", LOCAL_JOB_ID)
        status, body = await remote.site.client.ask("GET", f"/v1/jobs/{LOCAL_JOB_ID}")
        assert status == 200 and decode(body).team == "peer:huye" and decode(body).run.command == ["x"]
        # A peer can't read the description of a job that it does not hold.
        put_origin_record(origin, handoff.OFFERED)
        assert not await remote.transfers.fetch_description("huye", "req-1", LOCAL_JOB_ID + "1")
        assert not await remote.transfers.fetch_description("huye", "req-2", LOCAL_JOB_ID + "2")

    play(scenario, tmp_path)


def test_logs_and_files_are_copied_to_the_origin_as_they_are_written(tmp_path):
    async def scenario(origin, remote, tmp_path):
        await remote.transfers.fetch_description("huye", "req-1", LOCAL_JOB_ID)
        key = Key(LOCAL_JOB_ID, 0, 1, "i-1", 4)
        await append_log(remote, key, b"half of it\n", end=False)
        await origin.transfers.step()
        origin_attempt_key = Key("req-1", 0, 1, "nyarugenge.i-1", 4)
        assert (await origin.site.client.read(origin_attempt_key, "stdout", 0))[0] == b"half of it\n"
        (found,) = await origin.site.client.attempts("req-1")
        assert found["state"] == "open" and found["team"] == "peer:huye"
        # The attempt ends with a hole, where its worker dropped bytes, and publishes a file.
        addr = (await remote.site.client.owners(LOCAL_JOB_ID, 0))[0]
        more = [pack("stdout", 11, b"rest"), Chunk("stdout", 15, 6, hole=True)]
        seal = Seal("done", 0, {"stdout": 21}, 9)
        result = await remote.site.client.append(addr, [Append(key, 1, "t", "solve", 5, more, seal)])
        assert result[0].status == 200
        folder = tmp_path / "out"
        (folder / "maps").mkdir(parents=True)
        (folder / "maps" / "a.tif").write_bytes(b"tile" * 600_000)
        assert await remote.site.client.publish(key, "t", folder, ["maps/a.tif"]) == ""
        put_origin_record(origin, handoff.AT_ORIGIN, done_mask=0b11)
        await origin.transfers.step()
        (found,) = await origin.site.client.attempts("req-1")
        assert (found["state"], found["cause"], found["whole"]) == ("sealed", "done", True)
        data, holes = await origin.site.client.read(origin_attempt_key, "stdout", 0)
        assert data[:15] == b"half of it\nrest" and holes == [(15, 6)]
        assert [(f["name"], f["size"]) for f in found["artefacts"]] == [("maps/a.tif", 2_400_000)]
        # The copy is complete. Files that a task saved may arrive after its end, so requests continue for
        # COPY_AFTER_END_US.
        assert origin.transfers._offloads_to_copy
        origin.now += COPY_AFTER_END_US
        await origin.transfers.step()
        assert not origin.transfers._offloads_to_copy
        before = origin.transfers.copied_bytes
        await origin.transfers.step()
        assert origin.transfers.copied_bytes == before

    play(scenario, tmp_path)


def test_an_interrupted_link_delays_a_copy_and_loses_nothing(tmp_path):
    async def scenario(origin, remote, tmp_path):
        await remote.transfers.fetch_description("huye", "req-1", LOCAL_JOB_ID)
        await append_log(remote, Key(LOCAL_JOB_ID, 1, 2, "i-2", 1), b"all of it", end=True, cause="error")
        put_origin_record(origin, handoff.AT_ORIGIN, done_mask=0)
        origin.transfers._offloads_to_copy["req-1", NUMBER] = "nyarugenge"
        addrs = origin.link.peers["nyarugenge"]
        origin.link.peers["nyarugenge"] = [free_addr()]
        await origin.transfers.step()
        assert origin.transfers._offloads_to_copy and await origin.site.client.attempts("req-1") == []
        origin.link.peers["nyarugenge"] = [free_addr(), *addrs]
        await origin.transfers.step()
        (found,) = await origin.site.client.attempts("req-1")
        assert found["cause"] == "error"
        origin.now += COPY_AFTER_END_US
        await origin.transfers.step()
        assert not origin.transfers._offloads_to_copy

    play(scenario, tmp_path)


def test_a_peer_can_read_its_own_jobs_only(tmp_path):
    async def scenario(origin, remote, tmp_path):
        own = Description("solve", "office", Run(["x"]))
        assert (await remote.site.client.ask("PUT", "/v1/jobs/req-9", encode(own)))[0] == 201
        await append_log(remote, Key("req-9", 0, 1, "i-1", 1), b"secret", end=True)
        other = local_job_id("musanze", "req-1", NUMBER)
        await append_log(remote, Key(other, 0, 1, "i-1", 2), b"secret", end=True)

        async def request(method, path, key=None):
            body = msgspec.msgpack.encode(key) if key else None
            addr = origin.link.peers["nyarugenge"][0]
            return await origin.link.request("nyarugenge", addr, method, path, body)

        for job in ("req-9", other):
            status, body = await request("POST", "/v1/read?stream=stdout&from=0", Key(job, 0, 1, "i-1", 1))
            assert status == 403 and b"secret" not in body
        assert (await request("GET", "/v1/description?ref=req-9"))[0] == 404
        assert (await request("GET", "/v1/attempts?ref=../x&number=1"))[0] == 400
        assert (await request("GET", f"{JOBS_PATH}/req-9"))[
            0
        ] == 404  # the paths of the user API aren't served on the link
        status, _ = await request("POST", f"/v1/file?digest={'a' * 64}", Key(LOCAL_JOB_ID, 0, 1, "i-1", 1))
        assert status == 404

    play(scenario, tmp_path)
