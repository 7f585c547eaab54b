"""Archive nodes over HTTP on loopback, with a state service of ours: copies, the loss of a node, its return,
refusals. Nothing waits for a clock: what runs in loops is stepped by hand.
"""

import asyncio
from pathlib import Path

import msgspec
import pytest
from tornado.testing import bind_unused_port

from pearstep.archive import messages as msg
from pearstep.archive.frames import File, pack
from pearstep.archive.index import Index
from pearstep.archive.placement import bucket_of
from pearstep.archive.records import Append, Key, Seal
from pearstep.archive.repair import digests
from pearstep.archive.retention import Retention
from pearstep.archive.service import Archive
from pearstep.archive.settings import ArchiveError, ArchiveSettings, load
from pearstep.archive.storage import Storage
from pearstep.client.archive import ArchiveClient, ArchiveUnreachableError, digest
from pearstep.emulator.state_service import StateService
from pearstep.transport.http import Client, Server


def port():
    sock, number = bind_unused_port("127.0.0.1")
    sock.close()
    return f"127.0.0.1:{number}"


class Site:
    """Archive nodes and a state service in one process; a node can be cut off, or lose its disk."""

    def __init__(self, root, count, **more):
        self.root, self.more = root, more
        self.state = StateService(None, 1e6, 1e6, 16, 16)
        self.addr = port()
        Server(self.state.handle).listen(*self._split(self.addr))
        self.cut: set[str] = set()
        self.nodes = {}
        self.addrs = {}
        self.copies = min(count, 2)
        for i in range(count):
            self.add(f"ar-{i}")
        self.http = Client()
        self.client = ArchiveClient(self.http, list(self.addrs.values()))

    @staticmethod
    def _split(addr):
        host, _, number = addr.rpartition(":")
        return host, int(number)

    def add(self, name, folder=None):
        """A node, on a new address, or again on the one that it had."""
        fresh = name not in self.addrs
        addr = self.addrs.setdefault(name, port())
        self.nodes[name] = Archive(
            ArchiveSettings(
                name,
                addr,
                str(self.root / (folder or name)),
                state=self.addr,
                copies=self.copies,
                durable_on=self.copies,
                patience_s=0,
                reserve_mb=0,
                state_rps=1e6,
                state_write_rps=1e6,
                repair_mb_per_s=1e6,
                **self.more,
            )
        )
        if fresh:
            Server(lambda request: self._answer(name, request)).listen(*self._split(addr))

    async def _answer(self, name, request):
        if name in self.cut:
            return 500, b"", {}
        return await self.nodes[name].handle(request)

    async def settle(self):
        for _ in range(3):
            for name, node in self.nodes.items():
                if name not in self.cut:
                    await node.joining.step()
        await self.client.refresh()

    def lose(self, name):
        """The node is cut off, and its lease ends."""
        self.cut.add(name)
        self.state.keys.end_lease(self.nodes[name].joining.lease)

    async def repair(self):
        done = 0
        for _ in range(3):
            for name, node in self.nodes.items():
                if name not in self.cut:
                    done += await node.copies.round()
        return done

    async def write(self, key, text, at=0, session=1, end=True, team="t"):
        """Write a text in pieces as a worker does; the last answer."""
        step = 40
        pieces = [pack("stdout", at + i, text[i : i + step]) for i in range(0, len(text), step)]
        seal = Seal("done", 0, {"stdout": at + len(text)}, 5) if end else None
        owners = await self.client.owners(key.job, key.task)
        return (await self.client.append(owners[0], [Append(key, session, team, "c", 1, pieces, seal)]))[0]

    async def text(self, key):
        out = b""
        while True:
            data, holes = await self.client.read(key, "stdout", len(out))
            assert not holes
            if not data:
                return out
            out += data


def keys(count):
    return [Key("req-77", task, 1, f"i-{task}", 1) for task in range(count)]


def play(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_copies_survive_the_loss_of_a_node_and_are_made_anew(tmp_path):
    async def scenario():
        site = Site(tmp_path, 3)
        await site.settle()
        texts = {key: (f"task {key.task} " * 30).encode() for key in keys(24)}
        for key, text in texts.items():
            assert (await site.write(key, text)).status == 200
        for key in texts:
            have = [n for n, node in site.nodes.items() if node.index.live(key) is not None]
            assert sorted(have) == sorted(site.client.layout.owners(bucket_of(key.job, key.task)))
        site.lose("ar-1")
        # Before the list has changed a write that needs the lost node is refused, not half confirmed.
        new = next(
            k for k in keys(400)[24:] if "ar-1" in site.client.layout.owners(bucket_of(k.job, k.task))[1:]
        )
        refused = await site.write(new, b"early")
        assert (refused.status, refused.retry_after_s > 0) == (503, True)
        await site.settle()
        assert sorted(site.client.layout.members) == ["ar-0", "ar-2"]
        assert (await site.write(new, b"early")).status == 200
        assert await site.repair() > 0
        for key, text in texts.items():
            assert site.nodes["ar-0"].index.live(key).have == site.nodes["ar-2"].index.live(key).have
            assert await site.text(key) == text
        assert await site.repair() == 0
        assert all(node.copies.lacking == 0 for n, node in site.nodes.items() if n != "ar-1")
        # It comes back with what it had, and fetches what it missed; another one comes back with nothing.
        site.cut.clear()
        site.nodes["ar-1"].joining.lease = None
        await site.settle()
        site.nodes["ar-2"].writer.close()
        site.state.keys.end_lease(site.nodes["ar-2"].joining.lease)
        site.add("ar-2", "a new disk")
        await site.settle()
        await site.repair()
        layout = site.client.layout
        for key, text in {**texts, new: b"early"}.items():
            for owner in layout.owners(bucket_of(key.job, key.task)):
                live = site.nodes[owner].index.live(key)
                assert live is not None and live.record.state == "sealed" and live.have["stdout"] == len(text)
        rows = {n: digests(node.index.bucket_rows()) for n, node in site.nodes.items()}
        for bucket in {b for r in rows.values() for b in r}:
            assert len({rows[n].get(bucket) for n in layout.owners(bucket)}) == 1

    play(scenario)


def test_copies_that_others_keep_go_and_only_those(tmp_path):
    async def scenario():
        site = Site(tmp_path, 3)
        await site.settle()
        texts = {key: f"task {key.task}".encode() for key in keys(40)}
        for key, text in texts.items():
            assert (await site.write(key, text)).status == 200
        unfinished = keys(41)[40]
        await site.write(unfinished, b"not over", end=False)
        site.add("ar-3")
        await site.settle()
        layout = site.client.layout
        # The newcomer is silent for a while: what it is to keep stays where it is.
        site.cut.add("ar-3")
        await site.repair()
        held = {n: {r[1:6] for r in node.index.bucket_rows()} for n, node in site.nodes.items()}
        assert sum(map(len, held.values())) == 2 * 41
        site.cut.clear()
        for _ in range(3):
            await site.repair()
        for key, text in texts.items():
            has = {n for n, node in site.nodes.items() if node.index.live(key) is not None}
            assert has == set(layout.owners(bucket_of(key.job, key.task)))
            assert await site.text(key) == text
        assert sum(node.copies.dropped for node in site.nodes.values()) > 5
        assert sum(node.index.live(unfinished) is not None for node in site.nodes.values()) >= 2
        # After a restart with a lost index, what was dropped stays dropped or is dropped again.
        node = site.nodes["ar-0"]
        before = {r[1:] for r in node.index.bucket_rows()}
        again = Storage(node.disk, Index(":memory:"))
        assert {r[1:] for r in again.index.bucket_rows()} == before

    play(scenario)


def test_a_late_writer_ends_at_another_node_and_touches_no_later_attempt(tmp_path):
    async def scenario():
        site = Site(tmp_path, 3)
        await site.settle()
        first = keys(1)[0]
        second = msgspec.structs.replace(first, attempt=2, machine="i-9")
        assert (await site.write(first, b"first half, ", end=False)).status == 200
        site.lose((await site.client.refresh()).owners(bucket_of(first.job, first.task))[0])
        await site.settle()
        for node in site.nodes.values():
            await node.writer.lose_silent(-1, 9)
        assert (await site.write(second, b"second attempt")).status == 200
        # Its worker was cut off for an hour, and brings the rest to nodes of which one never saw the first
        # half.
        assert (await site.write(first, b"second half", at=12)).status == 200
        assert (await site.text(first), await site.text(second)) == (
            b"first half, second half",
            b"second attempt",
        )
        states = [(a["attempt"], a["state"], a["whole"]) for a in await site.client.attempts("req-77")]
        assert states == [(1, "sealed", True), (2, "sealed", True)]
        # An agent of a former session of the same machine is fenced on every copy.
        assert (await site.write(first, b"x", at=23, session=0)).status == 403

    play(scenario)


def test_a_node_that_cannot_know_says_so_instead_of_no(tmp_path):
    """A node that had just started knew of no others and said 404: a worker refuses a task for good on that,
    and a reader takes it for the end of the log.
    """

    async def scenario():
        site = Site(tmp_path, 3)
        await site.settle()
        assert (await site.client.ask("PUT", "/v1/jobs/req-77", b"{}"))[0] == 201
        texts = {key: b"some text" for key in keys(24)}
        for key, text in texts.items():
            await site.write(key, text)
        site.state.keys.end_lease(site.nodes["ar-0"].joining.lease)
        site.nodes["ar-0"].writer.close()
        site.add("ar-0", "an empty disk")
        asked = site.addrs["ar-0"]

        async def ask(method, path, body=None):
            return (await site.http.fetch(asked, method, path, body))[0]

        away = next(k for k in texts if "ar-0" not in site.client.layout.owners(bucket_of(k.job, k.task)))
        for _ in range(2):
            assert await ask("GET", "/v1/jobs/req-77") in (503, 200)
            assert await ask("GET", "/v1/jobs/req-404") == 503
            assert await ask("GET", msg.ATTEMPTS + "?job=req-404") == 503
            assert await ask("POST", msg.LOG + "?stream=stdout", msg.encode(away)) in (503, 200)
            await site.nodes["ar-0"].joining.step()
            # It knows the others now, but they do not answer.
            site.cut |= {"ar-1", "ar-2"}
        site.cut.clear()
        await site.settle()
        assert await ask("GET", "/v1/jobs/req-404") == 404
        assert await ask("GET", msg.ATTEMPTS + "?job=req-404") == 404
        assert await ask("POST", msg.LOG + "?stream=stdout", msg.encode(away)) == 200
        site.cut |= {"ar-1", "ar-2"}
        with pytest.raises(ArchiveUnreachableError):
            await site.client.look("req-77")

    play(scenario)


def test_a_gap_is_refused_with_what_is_wanted_and_a_lost_attempt_says_from_where(tmp_path):
    async def scenario():
        site = Site(tmp_path, 1)
        await site.settle()
        key = keys(1)[0]
        assert (await site.write(key, b"abc", end=False)).have == {"stdout": 3}
        gap = await site.write(key, b"x", at=9, end=False)
        assert (gap.status, gap.have) == (409, {"stdout": 3})
        node = site.nodes["ar-0"]
        assert [r.key for r in await node.writer.lose_silent(-1, 9)] == [key]
        found = (await site.client.attempts("req-77"))[0]
        assert (found["state"], found["whole"], found["have"]) == ("lost", False, {"stdout": 3})

    play(scenario)


def test_files_are_published_on_all_copies_at_once_and_read_from_any(tmp_path):
    async def scenario():
        site = Site(tmp_path / "site", 3)
        await site.settle()
        key = keys(1)[0]
        root = tmp_path / "task"
        (root / "out").mkdir(parents=True)
        (root / "out" / "a.bin").write_bytes(bytes(range(256)) * 9000)
        (root / "empty").write_bytes(b"")
        await site.write(key, b"log")
        assert await site.client.publish(key, "t", root, ["out/a.bin", "empty"]) == ""
        assert await site.client.publish(key, "t", root, ["out/a.bin", "empty"]) == ""
        (root / "empty").write_bytes(b"no longer")
        assert "other files" in await site.client.publish(key, "t", root, ["out/a.bin", "empty"])
        files = (await site.client.attempts("req-77"))[0]["artefacts"]
        assert [f["name"] for f in files] == ["empty", "out/a.bin"]
        site.lose(site.client.layout.owners(bucket_of(key.job, key.task))[0])
        parts = [p async for p in site.client.blob(key, files[1]["sha256"], files[1]["size"])]
        assert b"".join(parts) == (root / "out" / "a.bin").read_bytes()
        await site.settle()
        await site.repair()
        for owner in site.client.layout.owners(bucket_of(key.job, key.task)):
            assert len(site.nodes[owner].index.manifest(key).files) == 2

    play(scenario)


def test_wrong_requests_get_one_sentence_and_leave_nothing(tmp_path):
    async def scenario():
        site = Site(tmp_path, 1, quotas_mb={"small": 0.001}, most_artefact_mb=0.01)
        await site.settle()
        key, addr = keys(1)[0], site.addrs["ar-0"]
        await site.write(key, b"log")

        async def ask(method, path, body=b""):
            status, data = await site.http.fetch(addr, method, path, body)
            return status, msgspec.json.decode(data).get("error", "") if data else ""

        def publish(*files):
            return ask("POST", msg.PUBLISH, msg.encode(msg.Publish(key, "t", list(files))))

        good, wrong = digest(tmp_path / "ar-0" / "segments" / "00000001.seg")[0], "0" * 64
        assert (await ask("POST", msg.APPEND, b"\xc1"))[0] == 400
        assert (await ask("GET", msg.ATTEMPTS + "?job=req-404"))[0] == 404
        assert (await ask("GET", "/v1/jobs/req-404"))[0] == 404 and (await ask("GET", "/nothing"))[0] == 404
        assert (await ask("PUT", "/v1/jobs/../etc", b"{}"))[0] == 400
        assert (await ask("DELETE", msg.APPEND))[0] == 405
        assert (await ask("PUT", "/v1/jobs/req-1", b"x" * 70_000))[0] == 413
        assert (await ask("PUT", "/v1/jobs/req-1", b"{}"))[0] == 201
        assert (await ask("PUT", "/v1/jobs/req-1", b"{}"))[0] == 200
        assert (await ask("PUT", "/v1/jobs/req-1", b"[]"))[0] == 409
        assert (await ask("PUT", f"{msg.UPLOAD}?digest={wrong}&from=0&team=t", b"x" * 20_000))[0] == 413
        assert (await ask("PUT", f"{msg.UPLOAD}?digest=../../x&from=0", b"x"))[0] == 400
        assert (await ask("PUT", f"{msg.UPLOAD}?digest={wrong}&from=0&team=t", b"x"))[0] == 200
        assert (await publish(File("../../etc/x", wrong, 1)))[0] == 422
        assert (await publish(File("a", wrong, 1)))[0] == 422
        assert (await publish(File("a", good, 1), File("a", good, 1)))[0] == 422
        assert (await publish(*(File(f"f{i}", wrong, 1) for i in range(10_001))))[0] == 413
        stranger = msgspec.structs.replace(key, task=5)
        assert (await ask("POST", msg.PUBLISH, msg.encode(msg.Publish(stranger, "t", []))))[0] == 404
        assert (await ask("POST", msg.LOG + "?stream=stdout", msg.encode(stranger)))[0] == 404
        assert (await ask("POST", msg.LOG + "?stream=other", msg.encode(key)))[0] == 400
        bad = msgspec.structs.replace(key, job="../x")
        assert (await ask("POST", msg.APPEND, msg.encode(msg.AppendBatch(0, [Append(bad, 1, "t", "c", 0)]))))[
            0
        ] == 422
        assert site.nodes["ar-0"].index.manifest(key) is None
        # A quota and a full disk refuse at once and say when to come again.
        noise = bytes((i * 7919) % 251 for i in range(3000))
        full = await site.write(keys(2)[1], noise, team="small", end=False)
        assert (full.status, full.retry_after_s > 0) == (429, True) and "quota" in full.why
        site.nodes["ar-0"].room.counted({}, 0)
        full = await site.write(keys(3)[2], b"x", end=False)
        assert (full.status, full.why) == (503, "the archive's disk is full")

    play(scenario)


def test_retention_gives_space_back_while_the_node_runs(tmp_path):
    async def scenario():
        site = Site(
            tmp_path,
            1,
            retention=Retention(classes={"c": 1e-9}, record_days=0),
            segment_mb=0.02,
            lost_after_s=3600,
        )
        await site.settle()
        node = site.nodes["ar-0"]
        noise = bytes((i * i * 31) % 256 for i in range(20_000))
        open_key = keys(11)[10]
        assert (await site.write(open_key, noise, end=False)).status == 200
        for key in keys(10):
            assert (await site.write(key, noise)).status == 200
        before = sum(node.disk.size(n) for n in node.disk.names() if n.endswith(".seg"))
        for _ in range(30):
            await node._upkeep()
        assert sum(node.disk.size(n) for n in node.disk.names() if n.endswith(".seg")) < before / 2
        assert {a["state"] for a in await site.client.attempts("req-77")} == {"open", "expired"}
        assert await site.text(open_key) == noise
        assert (await site.write(open_key, b"", at=len(noise))).status == 200

    play(scenario)


def test_settings_that_cannot_be_are_named(tmp_path):
    file = tmp_path / "a.yaml"
    base = "name: a\nbind: h:1\ndirectory: d\n"
    for more, said in (("copies: 2\n", "state"), ("durable_on: 2\n", "durable_on"), ("copy: 1\n", "copy")):
        file.write_text(base + more)
        with pytest.raises(ArchiveError, match=said):
            load(str(file))
    file.write_text(base)
    assert load(str(file)).copies == 1


def test_the_settings_under_deploy_are_valid():
    from pearstep.worker.settings import load as load_worker

    root = Path(__file__).resolve().parents[1] / "deploy"
    assert load(str(root / "archive.yaml")).name and load_worker(str(root / "worker.yaml")).machine
