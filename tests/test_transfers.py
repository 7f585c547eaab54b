"""What goes along with a loan, between two archives over a TLS link: the description there, logs and files
back.
"""

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
LOCAL = local_job_id("huye", "req-1", NUMBER)


class End:
    """One site: keys, an archive, records, its end of the link."""

    def __init__(self, root, name, other, addrs, keys):
        self.site = Site(root / f"{name}-archive", 1)
        self.view = Replica()
        self.loans = OffloadRecords(self.view, lambda key: None)

        async def nobody(peer, envelope):
            raise AssertionError("nothing is said here")

        self.link = Link(keys, {other: [addrs[other]]}, nobody, self.serve)
        host, _, port = addrs[name].rpartition(":")
        assert self.link.listen(host, int(port))
        self.now = 0
        self.transfers = Transfers(
            list(self.site.addrs.values()), self.link, self.loans, self.view, lambda: self.now
        )

    async def serve(self, peer, request):
        return await self.transfers.serve(peer, request)

    def put(self, key, value):
        self.view.put(key, self.view.version_of(key) + 1, msgspec.json.encode(value), 0)


async def begin(tmp_path):
    for name in ("huye", "nyarugenge"):
        (tmp_path / f"{name}-archive").mkdir()
    keys = {n: site(tmp_path, n) for n in ("huye", "nyarugenge")}
    trust(keys["huye"], keys["nyarugenge"])
    trust(keys["nyarugenge"], keys["huye"])
    addrs = {n: free_addr() for n in keys}
    home = End(tmp_path, "huye", "nyarugenge", addrs, keys["huye"])
    there = End(tmp_path, "nyarugenge", "huye", addrs, keys["nyarugenge"])
    for end in (home, there):
        await end.site.settle()
    home.put("j/req-1", JobRecord(spec(job_id="req-1", kind="array", tasks=2), 1))
    lend(home, handoff.GRANTED)
    job = Description("solve", "office", Run(["x"], outputs=["*"]), tasks=2)
    assert (await home.site.client.ask("PUT", "/v1/jobs/req-1", encode(job)))[0] == 201
    return home, there


def lend(home, state, **more):
    task_mask = 0 if state == handoff.AT_ORIGIN else 0b11
    offload = OriginOffload(2, state=state, number=NUMBER, task_mask=task_mask, **more)
    home.put("l/req-1", OriginRecord(offload, "nyarugenge", ResourceAmounts()))


async def write(there, key, data, end, cause="done", hole=0):
    chunks = [pack("stdout", 0, data)] if data else []
    if hole:
        chunks.append(Chunk("stdout", len(data), hole, hole=True))
    seal = Seal(cause, 0, {"stdout": len(data) + hole}, 9) if end else None
    item = Append(key, 1, team_of_peer("huye"), "solve", 5, chunks, seal)
    addr = (await there.site.client.owners(key.job, key.task))[0]
    assert (await there.site.client.append(addr, [item]))[0].status == 200


def play(scenario, tmp_path):
    async def run():
        await scenario(*await begin(tmp_path), tmp_path)

    asyncio.run(asyncio.wait_for(run(), 60))


def test_the_description_goes_along_and_counts_for_the_peer(tmp_path):
    async def scenario(home, there, tmp_path):
        assert await there.transfers.fetch_description("huye", "req-1", LOCAL)
        status, body = await there.site.client.ask("GET", f"/v1/jobs/{LOCAL}")
        assert status == 200 and decode(body).team == "peer:huye" and decode(body).run.command == ["x"]
        # A job that this peer does not hold is none of its business.
        lend(home, handoff.OFFERED)
        assert not await there.transfers.fetch_description("huye", "req-1", LOCAL + "1")
        assert not await there.transfers.fetch_description("huye", "req-2", LOCAL + "2")

    play(scenario, tmp_path)


def test_logs_and_files_come_home_as_they_are_written(tmp_path):
    async def scenario(home, there, tmp_path):
        await there.transfers.fetch_description("huye", "req-1", LOCAL)
        key = Key(LOCAL, 0, 1, "i-1", 4)
        await write(there, key, b"half of it\n", end=False)
        await home.transfers.step()
        mine = Key("req-1", 0, 1, "nyarugenge.i-1", 4)
        assert (await home.site.client.read(mine, "stdout", 0))[0] == b"half of it\n"
        (found,) = await home.site.client.attempts("req-1")
        assert found["state"] == "open" and found["team"] == "peer:huye"
        # It ends with bytes that its worker had to drop, and leaves a file.
        addr = (await there.site.client.owners(LOCAL, 0))[0]
        more = [pack("stdout", 11, b"rest"), Chunk("stdout", 15, 6, hole=True)]
        seal = Seal("done", 0, {"stdout": 21}, 9)
        result = await there.site.client.append(addr, [Append(key, 1, "t", "solve", 5, more, seal)])
        assert result[0].status == 200
        folder = tmp_path / "out"
        (folder / "maps").mkdir(parents=True)
        (folder / "maps" / "a.tif").write_bytes(b"tile" * 600_000)
        assert await there.site.client.publish(key, "t", folder, ["maps/a.tif"]) == ""
        lend(home, handoff.AT_ORIGIN, done_mask=0b11)
        await home.transfers.step()
        (found,) = await home.site.client.attempts("req-1")
        assert (found["state"], found["cause"], found["whole"]) == ("sealed", "done", True)
        data, holes = await home.site.client.read(mine, "stdout", 0)
        assert data[:15] == b"half of it\nrest" and holes == [(15, 6)]
        assert [(f["name"], f["size"]) for f in found["artefacts"]] == [("maps/a.tif", 2_400_000)]
        # All of it is here. What a task saved may follow its end; after a while nothing is asked for any
        # more.
        assert home.transfers._offloads_to_copy
        home.now += COPY_AFTER_END_US
        await home.transfers.step()
        assert not home.transfers._offloads_to_copy
        before = home.transfers.copied_bytes
        await home.transfers.step()
        assert home.transfers.copied_bytes == before

    play(scenario, tmp_path)


def test_a_link_that_is_cut_costs_time_and_nothing_else(tmp_path):
    async def scenario(home, there, tmp_path):
        await there.transfers.fetch_description("huye", "req-1", LOCAL)
        await write(there, Key(LOCAL, 1, 2, "i-2", 1), b"all of it", end=True, cause="error")
        lend(home, handoff.AT_ORIGIN, done_mask=0)
        home.transfers._offloads_to_copy["req-1", NUMBER] = "nyarugenge"
        addrs = home.link.peers["nyarugenge"]
        home.link.peers["nyarugenge"] = [free_addr()]
        await home.transfers.step()
        assert home.transfers._offloads_to_copy and await home.site.client.attempts("req-1") == []
        home.link.peers["nyarugenge"] = [free_addr(), *addrs]
        await home.transfers.step()
        (found,) = await home.site.client.attempts("req-1")
        assert found["cause"] == "error"
        home.now += COPY_AFTER_END_US
        await home.transfers.step()
        assert not home.transfers._offloads_to_copy

    play(scenario, tmp_path)


def test_a_peer_reads_its_own_jobs_alone(tmp_path):
    async def scenario(home, there, tmp_path):
        own = Description("solve", "office", Run(["x"]))
        assert (await there.site.client.ask("PUT", "/v1/jobs/req-9", encode(own)))[0] == 201
        await write(there, Key("req-9", 0, 1, "i-1", 1), b"secret", end=True)
        other = local_job_id("musanze", "req-1", NUMBER)
        await write(there, Key(other, 0, 1, "i-1", 2), b"secret", end=True)

        async def ask(method, path, key=None):
            body = msgspec.msgpack.encode(key) if key else None
            addr = home.link.peers["nyarugenge"][0]
            return await home.link.request("nyarugenge", addr, method, path, body)

        for job in ("req-9", other):
            status, body = await ask("POST", "/v1/read?stream=stdout&from=0", Key(job, 0, 1, "i-1", 1))
            assert status == 403 and b"secret" not in body
        assert (await ask("GET", "/v1/description?ref=req-9"))[0] == 404
        assert (await ask("GET", "/v1/attempts?ref=../x&number=1"))[0] == 400
        assert (await ask("GET", f"{JOBS_PATH}/req-9"))[
            0
        ] == 404  # nothing of the users' is served on the link
        status, _ = await ask("POST", f"/v1/file?digest={'a' * 64}", Key(LOCAL, 0, 1, "i-1", 1))
        assert status == 404

    play(scenario, tmp_path)
