"""From a worker's files to the archive and back, over loopback: long lines, many lines, many attempts, more
than is taken, and an agent that was killed.
"""

import asyncio

from pearstep.archive.records import Key, Seal
from pearstep.transport.clock import now_us
from pearstep.worker.agent import Agent
from pearstep.worker.folder import Folder, RunNote, lengths
from pearstep.worker.settings import WorkerSettings
from pearstep.worker.shipping import Shipping
from pearstep.worker.spool import GIVEN_UP, SEALED, Spooled
from tests.test_archive_service import Site, play


def spooled(folder, key, stdout, stderr=b"", session=1, end=True):
    folder.mkdir(parents=True)
    (folder / "stdout").write_bytes(stdout)
    (folder / "stderr").write_bytes(stderr)
    spool = Spooled(key, session, "t", "c", 1)
    if end:
        spool.end(Seal("done", 0, lengths(folder), 2))
    return spool


async def wait_until_idle(shipping):
    # Waits for the tasks instead of polling with `sleep(0)`: a spinning event loop takes the interpreter lock
    # from the threads that read and write files. Seen beside a process that writes to the disk: 60 s.
    while shipping._busy:
        await asyncio.wait(shipping._tasks._running)


async def ship(shipping):
    """Until nothing is left; every pass goes as far as it can at once."""
    while shipping.spools:
        await shipping.step()
        await wait_until_idle(shipping)
        for spool in shipping.spools:
            spool.not_before_us = 0


def test_long_lines_and_many_lines_arrive_byte_for_byte(tmp_path):
    async def scenario():
        site = Site(tmp_path / "site", 3)
        await site.settle()
        texts = {
            "ten megabytes without a newline": b"x" * 10_000_000 + "ä".encode()[:1],
            "a million short lines": b"".join(b"%d\n" % (i % 97) for i in range(1_000_000)),
            "nothing": b"",
        }
        ended = []
        shipping = Shipping(site.client, 256 * 1024, 1 << 30, 10**9, ended.append)
        found = {}
        for i, text in enumerate(texts.values()):
            key = Key("req-5", i, 1, "i-1", i)
            found[key] = text
            spool = spooled(tmp_path / str(i), key, text)
            shipping.add(spool, tmp_path / str(i))
        await ship(shipping)
        assert [s.state for s in ended] == [SEALED] * 3
        for key, text in found.items():
            assert await site.text(key) == text
        assert all(a["whole"] for a in await site.client.attempts("req-5"))

    play(scenario)


def test_five_thousand_attempts_that_end_at_once_take_few_syncs(tmp_path):
    async def scenario():
        site = Site(tmp_path / "site", 1)
        await site.settle()
        ended = []
        shipping = Shipping(site.client, 256 * 1024, 1 << 30, 10**9, ended.append)
        folder = tmp_path / "all"
        folder.mkdir()
        (folder / "stdout").write_bytes(b"one line\n")
        (folder / "stderr").write_bytes(b"")
        for i in range(5000):
            spool = Spooled(Key("req-6", i, 1, "i-1", i), 1, "t", "c", 1)
            spool.end(Seal("done", 0, lengths(folder), 2))
            shipping.add(spool, folder)
        await ship(shipping)
        assert len(ended) == 5000 and site.nodes["ar-0"].writer.commits < 50
        assert len(site.nodes["ar-0"].index.find("req-6")) == 5000

    play(scenario)


def test_what_is_over_the_bound_is_a_hole_that_readers_are_told_of(tmp_path):
    async def scenario():
        site = Site(tmp_path / "site", 1)
        await site.settle()
        site.cut.add("ar-0")  # the archive takes nothing for a while, and the task goes on
        shipping = Shipping(site.client, 64 * 1024, 200_000, 10**9, lambda s: None)
        key, folder = Key("req-8", 0, 1, "i-1", 1), tmp_path / "run"
        text = bytes(i % 251 for i in range(900_000))
        spool = spooled(folder, key, text, end=False)
        shipping.add(spool, folder)
        await shipping.step()
        assert spool.unconfirmed <= 200_000 and shipping.dropped == 700_000
        assert (folder / "stdout").stat().st_size == len(text)
        site.cut.clear()
        spool.end(Seal("done", 0, lengths(folder), 2))
        await ship(shipping)
        out, holes = b"", []
        while True:
            data, gaps = await site.client.read(key, "stdout", len(out))
            holes += gaps
            if not data:
                break
            out += data
        assert len(out) == len(text) and sum(n for _, n in holes) == 700_000
        kept = out[700_000:]
        assert holes[0][0] == 0 and kept == text[700_000:]

    play(scenario)


def test_an_agent_started_anew_finishes_old_logs_and_sends_nothing_twice(tmp_path):
    async def scenario():
        site = Site(tmp_path / "site", 3)
        await site.settle()
        place = Folder(tmp_path / "agent")
        start, folder = place.new_start()
        key = Key("req-9", 0, 1, "i-1", start)
        place.note(folder, RunNote(key, place.new_session(), "t", "c", 1))
        (folder / "stdout").write_bytes(b"a" * 300_000)
        (folder / "stderr").write_bytes(b"")
        old = Spooled(key, 1, "t", "c", 1)
        before = Shipping(site.client, 64 * 1024, 1 << 30, 10**9, lambda s: None)
        before.add(old, folder)
        await before.step()
        await wait_until_idle(before)
        place.close()
        # The agent is gone; its task wrote a little more.
        with open(folder / "stdout", "ab") as out:
            out.write(b"b" * 5)
        again = Folder(tmp_path / "agent")
        ((found, note, seal),) = again.found()
        assert (found, note.key, seal) == (folder, key, None)
        session = again.new_session()
        assert session == 2
        spool = Spooled(note.key, session, note.team, note.cls, note.opened_us)
        spool.probe = True
        spool.end(Seal("killed", None, lengths(found), 3))
        after = Shipping(site.client, 64 * 1024, 1 << 30, 10**9, lambda s: None)
        after.add(spool, found)
        taken = sum(n.m_bytes._value.get() for n in site.nodes.values())
        await ship(after)
        assert sum(n.m_bytes._value.get() for n in site.nodes.values()) - taken < 1000
        assert await site.text(key) == b"a" * 300_000 + b"b" * 5
        # The former agent, if it were not gone after all, is fenced and gives up.
        old.grown({"stdout": 300_005})
        old.end(Seal("done", 0, lengths(folder), 4))
        await ship(before)
        assert old.state == GIVEN_UP
        assert (await site.client.attempts("req-9"))[0]["cause"] == "killed"
        again.close()

    play(scenario)


def test_a_silent_attempt_says_that_it_is_alive():
    spool = Spooled(Key("req-1", 0, 1, "i", 1), 1, "t", "c", 1)
    now = now_us()
    assert spool.next(10, 10, now, 1000) == ([], False)
    spool.sent(now)
    spool.answered(200, {}, False, 0, now)
    assert spool.next(10, 10, now + 999, 1000) is None
    assert spool.next(10, 10, now + 1000, 1000) == ([], False)


def test_files_that_a_killed_agent_owed_are_brought_by_the_next_one(tmp_path):
    """A task was done and its agent killed while it uploaded: the next attempt finds the result kept, so
    nobody would ever make the files again.
    """

    async def scenario():
        site = Site(tmp_path / "site", 3)
        await site.settle()
        place = Folder(tmp_path / "agent")
        place.new_session()
        keys, gone = [], None
        for outputs, cause in (
            (["out.bin"], "done"),
            ([], "done"),
            (["out.bin"], "error"),
            (["none*"], "done"),
        ):
            start, folder = place.new_start()
            key = Key("req-9", start, 1, "i-1", start)
            place.note(folder, RunNote(key, 1, "t", "c", 1, outputs=outputs))
            (folder / "task" / "out.bin").write_bytes(b"tile" * 1000)
            (folder / "stdout").write_bytes(b"log")
            place.ended(folder, Seal(cause, 0, lengths(folder), 3))
            keys.append(key)
            gone = gone or folder
        place.close()
        settings = WorkerSettings(
            "i-1",
            "127.0.0.1:1",
            str(tmp_path / "agent"),
            {"n": "127.0.0.1:1"},
            "any",
            archives=list(site.addrs.values()),
        )
        agent = Agent(settings)
        assert agent.session.number == 2 and sorted(n.key.task for n in agent.owed.values()) == [1, 4]
        await agent.archive.refresh()
        await ship(agent.shipping)
        assert gone.exists()  # its log is safe, its file is not
        for folder, note in list(agent.owed.items()):
            await agent._pay(folder, note)
        files = {a["task"]: a["artefacts"] for a in await site.client.attempts("req-9")}
        assert [len(files[key.task]) for key in keys] == [1, 0, 0, 0]
        assert files[1][0]["size"] == 4000 and list(agent.place.runs.iterdir()) == []
        agent.place.close()

    play(scenario)
