"""The agent: joins the session, the processes, the gangs and the way to the archive."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import structlog
from prometheus_client import CollectorRegistry, Gauge, generate_latest
from tornado.httputil import HTTPServerRequest

from pearstep.archive.packs import pack_folder
from pearstep.archive.records import Key, Seal
from pearstep.client.archive import ArchiveClient, ArchiveUnreachableError
from pearstep.domain.units import SECOND_US
from pearstep.jobs.description import Description, DescriptionError, decode
from pearstep.protocol import agent_messages as wire
from pearstep.protocol.controller_messages import (
    COMMANDS_PATH,
    HEARTBEAT_PATH,
    INSPECT_PATH,
    MalformedMessageError,
    encode_error,
)
from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.clock import now_us, wall_us
from pearstep.transport.event_log import EventLogger
from pearstep.transport.http import Answer, Client, Server
from pearstep.worker import mates as mt
from pearstep.worker.folder import CHECKPOINT, Folder, RunNote, lengths
from pearstep.worker.gangs import GANG, Gangs
from pearstep.worker.materials import CHECKPOINT_FILE, Materials, NoImageError
from pearstep.worker.outputs import collect
from pearstep.worker.processes import adopt_orphans, reap, sweep
from pearstep.worker.run import GATHERING, HELD, OVER, PAUSED, PREPARING, RUNNING, STOPPING, Run
from pearstep.worker.session import ENDING, Effect, Machine, Session, Timing
from pearstep.worker.settings import WorkerSettings
from pearstep.worker.shipping import Shipping
from pearstep.worker.spool import Spooled

log = structlog.get_logger("pearstep.worker")
event_log = EventLogger("pearstep.worker")

POLL_S = 0.025
MB = 1024 * 1024
NOTICE = "notice"
NEVER = "no such job"


class Agent:
    """One machine's worker."""

    def __init__(self, settings: WorkerSettings) -> None:
        """Take over the worker's folder, finish what a former agent left, and set up the agent's parts."""
        self.settings = s = settings
        self.place = Folder(s.directory)
        adopt_orphans()
        self._finish_former()
        machine = Machine(s.machine, s.bind, s.type, s.zone, s.spot, s.cpus, s.gpus, s.memory_gb)
        timing = Timing(
            int(s.report_s * SECOND_US),
            int(s.lease_s * SECOND_US),
            int(s.gang_wait_s * SECOND_US),
            int(s.gang_peer_s * SECOND_US),
        )
        self.session = Session(machine, timing, s.nodes, self.place.new_session(), now_us(), random.Random())
        self.client = Client(100, list(s.nodes.values()))
        self.archive = ArchiveClient(Client(50), s.archives)
        self.shipping = Shipping(
            self.archive,
            int(s.chunk_kb * 1024),
            int(s.spool_mb * MB),
            int(s.keep_s * SECOND_US),
            self._shipped,
        )
        self.gangs = Gangs(self.client, self.archive, s.bind)
        self.materials = Materials(self.archive, self.place.root, int(s.images_gb * 1e9))
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended: dict[Spooled, Run | None] = {}
        # Starts whose files a former agent did not bring to the archive. Seen: a task that was done, its
        # agent killed while it uploaded; the next attempt found the result kept, and the files were
        # nowhere.
        self.owed: dict[Path, RunNote] = {}
        self.due = asyncio.Event()
        self._tasks = BackgroundTasks(event_log)
        for folder, note, seal in self._former:
            # An earlier session's: this one finishes its log, and nobody of that session may write it any
            # more.
            spool = Spooled(note.key, self.session.number, note.team, note.cls, note.opened_us)
            spool.probe = True
            spool.end(seal)
            self.ended[spool] = None
            self.shipping.add(spool, folder)
            if self.place.owes_files(folder, note, seal):
                self.owed[folder] = note
        self._meters()

    def _finish_former(self) -> None:
        """End what a former agent started, and settle how long its logs are.

        Only then a new session begins.
        """
        found = self.place.found()
        count = sweep(self.place.mark, [n.process for _, n, seal in found if n.process and seal is None])
        self._former = []
        for folder, note, seal in found:
            if seal is None:
                seal = Seal("killed", None, lengths(folder), wall_us())
                self.place.ended(folder, seal)
            self._former.append((folder, note, seal))
        if found:
            log.info("took over from a former agent", attempts=len(found), processes_ended=count)

    def _meters(self) -> None:
        self.registry = CollectorRegistry()
        shipping = self.shipping
        for name, text, figure in (
            (
                "worker_tasks",
                "Tasks on this machine that have not ended.",
                lambda: sum(r.state not in (HELD, OVER) for r in self.runs.values()),
            ),
            ("worker_unconfirmed_bytes", "Log bytes that are nowhere else.", lambda: shipping.unconfirmed),
            ("worker_confirmed_bytes", "Log bytes that the archive confirmed.", lambda: shipping.confirmed),
            ("worker_dropped_bytes", "Log bytes given up for want of room.", lambda: shipping.dropped),
            ("worker_spooled_attempts", "Attempts not whole in the archive.", lambda: len(shipping.spools)),
            ("worker_session", "Number of the session.", lambda: self.session.number),
            (
                "worker_image_bytes",
                "Images on this machine.",
                lambda: sum(self.materials.kept.sizes.values()),
            ),
            ("worker_images_fetched", "Images fetched.", lambda: self.materials.fetched),
        ):
            Gauge(name, text, registry=self.registry).set_function(figure)

    # -- running ---------------------------------------------------------------------------------

    async def run(self) -> None:
        """Until the process is killed."""
        host, _, port = self.settings.bind.rpartition(":")
        Server(self.handle).listen(host, int(port))
        log.info(
            "worker", machine=self.settings.machine, bind=self.settings.bind, session=self.session.number
        )
        for folder, note in list(self.owed.items()):
            self._tasks.start(self._pay(folder, note))
        await asyncio.gather(
            self._forever(self._report, 0.0),
            self._forever(self._poll, POLL_S),
            self._forever(self.shipping.step, self.settings.ship_ms / 1000),
            self._forever(self._tell_mates, self.settings.gang_peer_s / 5),
        )

    async def _forever(self, step: Callable[[], Awaitable[None]], pause_s: float) -> None:
        while True:
            try:
                await step()
            except Exception:
                log.exception("failed", loop=step.__name__)
                await asyncio.sleep(0.2)
            await asyncio.sleep(pause_s)

    async def handle(self, request: HTTPServerRequest) -> Answer:
        """Commands, questions, and what the mates of a gang tell."""
        if request.path == COMMANDS_PATH and request.method == "POST":
            try:
                commands = wire.decode_direct_commands(request.body)
            except MalformedMessageError as err:
                return 400, encode_error(str(err)), {}
            status, effects = self.session.commands(commands, now_us())
            self._carry_out(effects)
            return status, wire.encode_heartbeat(self.session.snapshot(now_us())), {}
        if request.path == INSPECT_PATH:
            return 200, wire.encode_heartbeat(self.session.snapshot(now_us())), {}
        if request.path == GANG and request.method == "POST":
            try:
                return 200, self.gangs.hear(request.body, now_us()), {}
            except (msgspec.MsgspecError, UnicodeDecodeError) as err:
                return 400, encode_error(str(err)), {}
        if request.path == "/metrics":
            return 200, generate_latest(self.registry), {"Content-Type": "text/plain; version=0.0.4"}
        return 404, encode_error("no such path"), {}

    async def _report(self) -> None:
        now = now_us()
        todo = self.session.report(now)
        if todo is None:
            self.due.clear()
            wait_s = min(max((self.session.wake_us() - now) / 1e6, 0.01), 0.5)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.due.wait(), wait_s)
            return
        addr, report = todo
        status, body = await self.client.fetch(
            addr, "POST", HEARTBEAT_PATH, wire.encode_heartbeat(report), 4.0
        )
        answer = wire.decode_heartbeat_answer(body)
        self._carry_out(self.session.answered(status, answer, now_us()))

    async def _poll(self) -> None:
        """What has happened to processes and gangs, and what time brings."""
        now = now_us()
        self._carry_out(self.session.tick(now))
        for run in list(self.runs.values()):
            if run.mates is not None and run.state in (GATHERING, RUNNING, STOPPING, PAUSED):
                self._gang_step(run, now)
            if run.state in (RUNNING, STOPPING) and run.poll():
                self._process_ended(run)
            elif run.state == HELD and (now >= run.held_until_us or self._safe(run)):
                self._tell_end(run)
        reap()
        if self.session.state == ENDING and all(
            r.process is None or r.end is not None for r in self.runs.values()
        ):
            for run in self.runs.values():
                if run.state != OVER:
                    run.move(OVER)
            self.runs.clear()
            self.session.all_gone(self.place.new_session(), now_us())
            log.warning("new session: the lease was over", session=self.session.number)
        self._look_for_notice()
        if self.session.changed:
            self.due.set()

    def _look_for_notice(self) -> None:
        path = self.place.root / NOTICE
        if self.session.notice_us is None and path.exists():
            try:
                self.session.notice(now_us() + int(float(path.read_text() or 0) * SECOND_US))
            except ValueError:
                log.warning("unreadable notice", file=str(path))

    # -- effects ---------------------------------------------------------------------------------

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            key = (effect.task, effect.attempt)
            run = self.runs.get(key)
            if effect.what == "fetch":
                job, _, task = effect.task.rpartition("/")
                run = self.runs[key] = Run(job, int(task), effect.attempt, self.session.number)
                self._tasks.start(self._fetch(run))
            elif run is None:
                continue
            elif effect.what == "gather":
                assert run.description is not None
                run.mates = mt.Mates(run.description.tasks, run.task, self.session.timing.gang_peer_us)
                run.move(GATHERING)
                self.gangs.add(run)
            elif effect.what == "start":
                self._start(run)
            elif effect.what == "save":
                self._save(run)
            elif effect.what == "kill":
                self._kill(run)
            elif effect.what == "forget":
                self._forget(run, key)
        if effects:
            self.due.set()

    def _forget(self, run: Run, key: tuple[str, int]) -> None:
        if run.state == OVER:
            del self.runs[key]
        else:
            run.abandoned = True

    async def _fetch(self, run: Run) -> None:
        """The description, from any archive node, and what it asks for, until there is an answer."""
        pause_s = 0.1
        while run.state == PREPARING and not run.abandoned:
            try:
                job, done = await self._describe(run)
                if job is not None and not done:
                    await self._equip(run, job)
            except NoImageError as err:
                log.warning("task cannot start", job=run.job, task=run.task, why=str(err))
                job, done = None, False
            except ArchiveUnreachableError as err:
                log.info("description or image not to be had", job=run.job, why=str(err))
                await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
                pause_s = min(pause_s * 2, 5.0)
                continue
            if run.state != PREPARING or run.abandoned:
                self._release(run)
                return
            run.description = job
            need = None if job is None else (job.cpus, job.gpus, job.memory_gb)
            gang = job is not None and job.kind == "gang" and job.tasks > 1
            saves = job is not None and job.run.save is not None
            save_us = 0 if job is None else int(job.save_s * SECOND_US)
            effects = self.session.described(run.key, need, gang, saves, save_us, done, now_us())
            if not effects:
                self._release(run)
                run.move(OVER)
            self._carry_out(effects)
            self.due.set()
            return

    async def _describe(self, run: Run) -> tuple[Description | None, bool]:
        status, body = await self.archive.ask("GET", f"/v1/jobs/{run.job}")
        if status == 404:
            return None, False
        if status != 200:
            raise ArchiveUnreachableError(f"the archive answers {status}")
        try:
            job = decode(body)
        except DescriptionError as err:
            log.warning("description cannot be used", job=run.job, why=str(err))
            return None, False
        if run.task >= job.tasks:
            return None, False
        if run.attempt <= 1:
            return job, False
        # The result of an earlier attempt is kept: a gang is done as soon as one of its tasks is.
        known = await self.archive.attempts(run.job, None if job.kind == "gang" else run.task)
        return job, any(a["cause"] == "done" for a in known or ())

    async def _equip(self, run: Run, job: Description) -> None:
        """The image, the input files, and the checkpoint that an earlier attempt saved."""
        if job.run.inputs:
            shutil.rmtree(run.inputs, ignore_errors=True) if run.inputs is not None else None
            run.inputs = self.place.scratch()
            await self.materials.inputs(job, run.inputs)
        if run.image is None:
            run.image = await self.materials.image(job.image.name)
        if job.run.save is None:
            return
        if self.settings.checkpoints:
            run.checkpoint = Path(self.settings.checkpoints) / run.job / str(run.task)
            return
        await self.materials.resume(run.job, run.task, job.tasks, job.kind == "gang")
        run.checkpoint, run.archived = self.materials.folder(run.job, run.task), True

    def _release(self, run: Run) -> None:
        self.materials.release(run.image)
        run.image = None
        if run.inputs is not None:
            shutil.rmtree(run.inputs, ignore_errors=True)
            run.inputs = None

    def _start(self, run: Run) -> None:
        spool = run.start(self.place, self.settings.machine)
        assert run.folder is not None
        run.move(RUNNING)
        if run.mates is not None and run.mates.state == mt.READY:
            run.mates.move(mt.RUNNING)
        self.ended[spool] = run
        self.shipping.add(spool, run.folder)

    def _save(self, run: Run) -> None:
        if run.state != RUNNING and run.state != PAUSED:
            return
        assert run.description is not None and run.description.run.save is not None
        run.saving = True
        if run.mates is not None:
            run.mates.halted_us = run.mates.halted_us or now_us()
            if run.mates.state == mt.RUNNING:
                run.mates.move(mt.SAVING)
        if run.state == RUNNING:
            run.move(STOPPING)
            if run.process is not None:
                run.process.send(run.description.run.save.signal)

    def _kill(self, run: Run) -> None:
        if run.state in (PREPARING, GATHERING):
            if run.state == GATHERING:
                self._release(run)
            self.gangs.drop(run, mt.GONE)
            run.move(OVER)
            return
        run.killed = True
        if run.state in (RUNNING, STOPPING) and run.process is not None and run.end is None:
            if run.state == RUNNING:
                run.move(STOPPING)
            run.process.send("KILL")
        elif run.state == PAUSED:
            self._finalize(run, "stopped", False, "killed", mt.GONE)

    # -- ends ------------------------------------------------------------------------------------

    def _process_ended(self, run: Run) -> None:
        why, saved, cause = run.outcome()
        if run.mates is not None and not run.killed:
            if cause == "done" and run.mates.state in (mt.RUNNING, mt.SAVING):
                run.mates.move(mt.FINISHED)
                run.move(PAUSED)
                return
            if cause == "saved":
                run.mates.move(mt.SAVED)
                run.move(PAUSED)
                return
        self._finalize(run, why, saved, cause, mt.GONE)

    def _gang_step(self, run: Run, now: int) -> None:
        assert run.mates is not None
        verdict = run.mates.decide(now)
        if verdict is None:
            return
        if verdict == "start":
            if run.state == GATHERING:
                self._carry_out(self.session.gathered(run.key))
        elif verdict == "done" and run.state == PAUSED:
            self._finalize(run, "done", None, "done", mt.DONE)
        elif verdict == "kept" and run.state == PAUSED:
            self._finalize(run, "stopped", True, "saved", mt.KEPT)
        elif verdict == "mates_gone":
            if run.state == PAUSED:
                self._finalize(run, "peers", None, "mates gone", mt.GONE)
            elif run.state in (RUNNING, STOPPING) and run.why is None and run.process is not None:
                run.why = "peers"
                run.killed = True
                run.process.send("KILL")

    def _finalize(self, run: Run, why: str, saved: bool | None, cause: str, phase: str) -> None:
        if run.why == "peers":
            why, saved, cause = "peers", None, "mates gone"
        run.why, run.saved = why, saved
        self.gangs.drop(run, phase)
        run.seal(self.place, cause)
        if run.archived:
            self.materials.forget(run.job, run.task)
        self._release(run)
        run.move(HELD)
        hold = 0 if cause in ("killed", "mates gone") or run.abandoned else self.settings.hold_s
        run.held_until_us = now_us() + int(hold * SECOND_US)
        if cause == "done" and run.description is not None and run.description.run.outputs:
            run.published = False
            self._tasks.start(self._publish(run))
        elif run.folder is not None and (run.folder / CHECKPOINT).is_dir():
            # Whoever goes on with it elsewhere should find it there.
            hold = max(hold, min(self.settings.hold_s, 1.0))
            run.held_until_us = now_us() + int(hold * SECOND_US)
            run.published = False
            self._tasks.start(self._publish_checkpoint(run))
        if run.abandoned or hold == 0:
            self._tell_end(run)

    def _safe(self, run: Run) -> bool:
        return run.published and run.spool not in self.shipping.spools

    def _tell_end(self, run: Run) -> None:
        run.move(OVER)
        if run.saved and run.archived and not run.published:
            # It is on this machine alone, which may be gone before it is anywhere else.
            run.saved = False
        if not run.abandoned and run.session == self.session.number:
            self.session.exited(run.key, run.why or "error", run.saved)
        if run.key not in self.session.tasks and self.runs.get(run.key) is run:
            del self.runs[run.key]
        self._clean(run)
        self.due.set()

    async def _publish(self, run: Run) -> None:
        assert run.description is not None and run.folder is not None and run.spool is not None
        job = run.description
        names = await self._collected(run.folder, run.spool.key, job.run.outputs)
        await self._bring_files(run.folder, run.folder / "task", run.spool.key, job.team, names)
        run.published = True
        self._clean(run)

    async def _publish_checkpoint(self, run: Run) -> None:
        assert run.description is not None and run.folder is not None and run.spool is not None
        await self._bring_checkpoint(run.folder, run.spool.key, run.description.team)
        run.published = True
        self._clean(run)

    async def _bring_checkpoint(self, folder: Path, key: Key, team: str) -> None:
        await asyncio.to_thread(pack_folder, folder / CHECKPOINT, folder / CHECKPOINT_FILE)
        await self._bring_files(folder, folder, key, team, [CHECKPOINT_FILE])

    async def _pay(self, folder: Path, note: RunNote) -> None:
        """Bring the files that a former agent owed."""
        if (folder / CHECKPOINT).is_dir():
            await self._bring_checkpoint(folder, note.key, note.team)
        else:
            names = await self._collected(folder, note.key, note.outputs)
            await self._bring_files(folder, folder / "task", note.key, note.team, names)
        del self.owed[folder]
        if not any(s.key == note.key for s in self.shipping.spools):
            self.place.remove(folder)

    async def _collected(self, folder: Path, key: Key, outputs: list[str]) -> list[str]:
        names, left = await asyncio.to_thread(collect, folder / "task", outputs)
        for name, why in left:
            log.warning("output left out", attempt=key.text(), file=name, why=why)
        return names

    async def _bring_files(self, folder: Path, root: Path, key: Key, team: str, names: list[str]) -> None:
        """Until they are there, or the archive says that it will never take them."""
        pause_s = 0.2
        while True:
            try:
                why = await self.archive.publish(key, team, root, names)
                if why:
                    log.warning("outputs refused", attempt=key.text(), why=why)
                break
            except (ArchiveUnreachableError, OSError) as err:
                log.info("outputs wait", attempt=key.text(), why=str(err))
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, 10.0)
        self.place.published(folder)

    def _shipped(self, spool: Spooled) -> None:
        """The archive has all of an attempt, or takes no more of it."""
        run = self.ended.pop(spool, None)
        if run is None:
            folder = self.place.runs / str(spool.key.start)
            if folder not in self.owed:
                self.place.remove(folder)
        else:
            self._clean(run)

    def _clean(self, run: Run) -> None:
        if (
            run.state == OVER
            and run.published
            and run.folder is not None
            and run.spool not in self.shipping.spools
        ):
            self.place.remove(run.folder)

    async def _tell_mates(self) -> None:
        await self.gangs.tell(now_us())


def run(settings: WorkerSettings) -> None:
    """Start an agent; returns when the process is asked to end."""
    asyncio.run(Agent(settings).run())
