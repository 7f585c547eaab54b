"""What fails, and how: each kind of fault is a method; what it returns ends it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from measurements.simulation.built import Built, Node, Setup
from measurements.simulation.clock import STILL, Life, VirtualLoop
from measurements.simulation.faults import Fault
from measurements.simulation.users import odd_requests
from measurements.simulation.worker import SimWorker
from pearstep.protocol.agent_messages import decode_heartbeat_answer
from pearstep.protocol.controller_messages import COMMANDS_PATH, HEARTBEAT_PATH, OPERATION_TO_WIRE
from pearstep.state.records import LeaseHolderRecord, PlacementRecord

# Reports that were on their way when a machine was deleted may still be taken for news so much later.
LATE_S = 1.0
# When kept reports reach the controllers after a new leader's claim; how many are kept; how much longer a
# message takes over slow links.
KEPT_S = (0.002, 0.4, 4.0)
MOST_KEPT = 200
SLOW_LINK_S = 0.25
RUN_VERB = f'"{OPERATION_TO_WIRE["start"]}"'.encode()


class Troubles(Built):
    """All that there is, and what happens to it."""

    def __init__(self, setup: Setup, loop: VirtualLoop) -> None:
        super().__init__(setup, loop)
        self.copying: list[Fault] = []
        self.copying_commands: list[Fault] = []
        self.copied = 0
        self.net.answered.append(self._copy_command)
        self.net.taps += [self._copy, self._keep_report]
        self.net.commands.append(self._commanded)
        # Reports that are kept until another node leads: who sent them, and what.
        self.keeping: list[Fault] = []
        self.kept: list[tuple[str, bytes]] = []
        self.led_by = ""
        # Shares of jobs whose users look closely, and cancel at the moment of the end.
        self.looking = 0
        self.at_end = 0.0
        self.looks = 0
        self.checker.heard.append(self._heard)
        self.world.over.append(self._job_over)
        self.waiting: list[tuple[Fault, int]] = []
        self.state.steps += [self._step, self._watch]
        self.places: dict[str, dict[tuple[int, int], str]] = {}
        self.deaf_since: dict[str, float] = {}
        self.placed_deaf = 0

    def _watch(self, key: str, value: bytes | None) -> None:
        """What the controllers write: machines that are long gone, work for machines that hear nothing."""
        now = self.loop.time()
        kind, _, rest = key.partition("/")
        if kind == "leader" and value is not None:
            self._new_leader(msgspec.json.decode(value, type=LeaseHolderRecord).node)
        if kind == "m" and value is not None:
            name = rest.rpartition("/")[2]
            if now - self.cloud.deleted.get(name, now) > LATE_S:
                self.checker.breaks(
                    now, "brought_back", f"{name} recorded, deleted at {self.cloud.deleted[name]:.1f}"
                )
        elif kind == "p":
            rec = msgspec.json.decode(value, type=PlacementRecord) if value is not None else PlacementRecord()
            before = self.places.get(key, {})
            new = {(t, p.attempt): p.machine for t, p in rec.placements.items()}
            self.places[key] = new
            bound_s = 2 * self.setup.report_s * 1.25 + 2.5
            for what in new.keys() - before.keys():
                since = self.deaf_since.get(new[what])
                if since is not None and now - since > bound_s:
                    self.placed_deaf += 1

    def _step(self, key: str, value: bytes | None) -> None:
        for n, (fault, left) in enumerate(self.waiting):
            if key.startswith(fault.step) and left > 0:
                self.waiting[n] = (fault, left - 1)
                if left == 1:
                    self.loop.call_soon(self._begin, fault)

    def _copy(self, src: str, addr: str, method: str, path: str, body: bytes) -> None:
        if path != HEARTBEAT_PATH:
            return
        for fault in self.copying:
            if self.net.rng.random() < 0.2:
                # Mostly to whom it was sent; now and then to another node: whatever stands between may.
                elsewhere = self.net.rng.random() < 0.2
                to = self.net.rng.choice(self.nodes).addr if elsewhere else addr
                self.copied += 1
                self.net.copy(src, to, method, path, body, self.net.rng.uniform(*fault.late_s))

    def _copy_command(self, src: str, addr: str, method: str, path: str, body: bytes, status: int) -> None:
        if path != COMMANDS_PATH or status != 200:
            return
        for fault in self.copying_commands:
            if self.net.rng.random() < fault.share:
                self.copied += 1
                self.net.copy(src, addr, method, path, body, self.net.rng.uniform(*fault.late_s))

    def _workers(self, fault: Fault) -> list[SimWorker]:
        names = sorted(self.world.machines)
        return (
            [self.world.machines[n] for n in {names[w % len(names)]: 0 for w in fault.who}] if names else []
        )

    def _begin(self, fault: Fault) -> None:
        self.checker.note(self.loop.time(), f"FAULT {msgspec.json.encode(fault).decode()}")
        undo = getattr(self, f"_{fault.kind}")(fault)
        if undo is not None:
            self.loop.call_later(fault.for_s, undo)

    def _over(self, undo: list[Callable[[], None]]) -> Callable[[], None]:
        def over() -> None:
            for each in undo:
                each()

        return over

    def _meanwhile(self, what: object, name: str, value: float, after: float) -> Callable[[], None]:
        setattr(what, name, value)
        return lambda: setattr(what, name, after)

    def _cuts(self, pairs: list[tuple[str, str]], both: bool = True) -> Callable[[], None]:
        for a, b in pairs:
            self.net.cut(a, b, both)
        return self._over([lambda a=a, b=b: self.net.heal(a, b, both) for a, b in pairs])  # type: ignore[misc]

    def _node(self, fault: Fault) -> Node:
        """The node that is meant."""
        led = self.state.keys.keys.get("leader")
        if fault.whom == "leader" and led is not None:
            name = msgspec.json.decode(led[1], type=LeaseHolderRecord).node
            return next(node for node in self.nodes if node.name == name)
        return self.nodes[fault.who[0] % len(self.nodes)]

    def _late_writes(self, fault: Fault) -> Callable[[], None]:
        return self._meanwhile(self.state, "late", fault.share, 0.0)

    def _answers_lost(self, fault: Fault) -> Callable[[], None]:
        """Transactions are carried out at once, and only their answers are lost."""
        return self._meanwhile(self.state, "lost", fault.share, 0.0)

    def _quick_machines(self, fault: Fault) -> Callable[[], None]:
        return self._meanwhile(self.cloud, "quick", True, False)

    def _slow_links(self, fault: Fault) -> Callable[[], None]:
        return self._meanwhile(self.net, "slow_s", SLOW_LINK_S, 0.0)

    def _reports_kept(self, fault: Fault) -> Callable[[], None]:
        self.keeping.append(fault)
        return lambda: self.keeping.remove(fault)

    def _keep_report(self, src: str, addr: str, method: str, path: str, body: bytes) -> None:
        if path == HEARTBEAT_PATH and self.keeping and self.net.rng.random() < self.keeping[0].share:
            self.kept.append((src, body))
            del self.kept[:-MOST_KEPT]

    def _new_leader(self, name: str) -> None:
        """What was kept reaches it as it begins, and once it has acted; and all other controllers."""
        if name == self.led_by:
            return
        self.led_by = name
        kept, self.kept = self.kept, []
        for src, body in kept:
            for after_s in KEPT_S:
                for node in self.nodes:
                    self.copied += 1
                    self.net.copy(src, node.addr, "POST", HEARTBEAT_PATH, body, after_s)

    def _slow_state(self, fault: Fault) -> Callable[[], None]:
        return self._meanwhile(self.state, "slow", fault.share, 0.0)

    def _machine_held(self, fault: Fault) -> Callable[[], None]:
        """Commands and answers to it are held for seconds and then arrive."""
        nodes = [n.name for n in self.nodes]
        return self._cuts([(n, w.name) for w in self._workers(fault) for n in nodes], both=False)

    # -- what users do at the wrong moment -------------------------------------------------------

    def _commanded(self, body: bytes) -> None:
        if RUN_VERB in body:
            orders = decode_heartbeat_answer(body).commands
            self.checker.commanded(self.loop.time(), [o.task for o in orders if o.op == "start"])

    def _look_closely(self, ref: str) -> None:
        self.looks += 1
        self.users.start(self.jobs[ref].look_closely([n.addr for n in self.nodes]))

    def _heard(self, ref: str, what: str) -> None:
        if not self.looking or ref not in self.jobs:
            return
        self._look_closely(ref)
        if what == "accepted" and self.net.rng.random() < 0.15:
            addr = self.net.rng.choice(self.nodes).addr
            self.users.start(self.jobs[ref].cancel(self.net.rng.choice([0.0, 0.002, 0.05]), addr))

    def _job_over(self, ref: str) -> None:
        """The last task of a job has completed; nobody knows of it yet."""
        if ref not in self.jobs:
            return
        if self.looking:
            self._look_closely(ref)
        if self.at_end and self.net.rng.random() < self.at_end:
            addr = self.net.rng.choice(self.nodes).addr
            self.users.start(self.jobs[ref].cancel(self.net.rng.choice([0.0, 0.01, 0.3, 0.6]), addr))

    def _close_looks(self, fault: Fault) -> Callable[[], None]:
        self.looking += 1
        return lambda: setattr(self, "looking", self.looking - 1)

    def _cancel_at_end(self, fault: Fault) -> Callable[[], None]:
        return self._meanwhile(self, "at_end", fault.share, 0.0)

    def _cancel_now(self, fault: Fault) -> Callable[[], None] | None:
        """So many jobs that run are cancelled within a fifth of a second; with a duration, up to eight of
        their machines hang for so long.
        """
        running = sorted({task.partition("/")[0] for task in self.checker.where})
        wanted = [ref for ref in running if not self.checker.jobs[ref].told and ref in self.jobs]
        hung: dict[str, int] = {}
        for ref in self.net.rng.sample(wanted, min(fault.count or 6, len(wanted))):
            self.users.start(self.jobs[ref].cancel(self.net.rng.uniform(0, 0.2)))
            for task, there in self.checker.where.items():
                if task.partition("/")[0] == ref:
                    hung.update(dict.fromkeys((name for name, _ in there), 0))
        names = sorted(self.world.machines)
        who = [names.index(name) for name in list(hung)[:8] if name in self.world.machines]
        if not fault.for_s or not who:
            return None
        return self._machine_hangs(msgspec.structs.replace(fault, who=who))

    def _odd_requests(self, fault: Fault) -> None:
        async def ask() -> None:
            until_s, n = self.loop.time() + fault.for_s, 0
            while self.loop.time() < until_s:
                await asyncio.sleep(self.net.rng.uniform(0.1, 0.8))
                if self.jobs:
                    user = self.net.rng.choice(list(self.jobs.values()))
                    n += 1
                    self.users.start(odd_requests(user, n))

        self.users.start(ask())

    def _small_jobs(self, fault: Fault) -> None:
        """One-task jobs come four a second."""
        for n in range(int(fault.for_s * 4)):
            self.loop.call_later(n / 4, self.submit, True, context=self.users.context.copy())

    def _users_cancel(self, fault: Fault) -> None:
        """Users of jobs with tasks on machines withdraw them, at one node."""
        addr = self._node(fault).addr
        running = {task.partition("/")[0] for task in self.checker.where}
        for ref in sorted(running):
            seen = self.checker.jobs[ref]
            if seen.accepted_s is not None and seen.wish_s is None and self.rng.random() < fault.share:
                seen.wish_s = self.loop.time()
                self.users.start(self.jobs[ref].cancel(addr=addr))

    def _cancel_waiting(self, fault: Fault) -> None:
        """Users of accepted jobs of which no task is on a machine cancel them, at one node."""
        addr = self._node(fault).addr
        running = {task.partition("/")[0] for task in self.checker.where}
        for ref, seen in sorted(self.checker.jobs.items()):
            waits = seen.accepted_s is not None and seen.begun_s is None and ref not in running
            if waits and seen.wish_s is None and ref in self.jobs:
                seen.wish_s = self.loop.time()
                self.users.start(self.jobs[ref].cancel(addr=addr))

    def _node_crash(self, fault: Fault) -> None:
        node = self._node(fault)
        node.crash(fault.back_s)
        if fault.again_s:
            self.loop.call_later(fault.back_s + fault.again_s, node.crash, fault.back_s)

    def _nodes_crash(self, fault: Fault) -> None:
        for n in range(len(self.nodes)):
            self._node_crash(msgspec.structs.replace(fault, who=[n], whom=""))

    def _node_still(self, fault: Fault) -> Callable[[], None] | None:
        return self._still(self._node(fault).life)

    def _still(self, life: Life | None) -> Callable[[], None] | None:
        if life is None or life.state != "running":
            return None
        life.stand_still()
        return lambda: life.go_on() if life.state == STILL else None

    def _node_isolated(self, fault: Fault) -> Callable[[], None]:
        node = self._node(fault)
        pairs = [(node.name, o.name) for o in self.nodes if o is not node] + [(node.name, "state")]
        return self._cuts(pairs)

    def _node_refused(self, fault: Fault) -> Callable[[], None]:
        name = self._node(fault).name
        self.state.refuses.add(name)
        return lambda: self.state.refuses.discard(name)

    def _node_no_workers(self, fault: Fault) -> Callable[[], None]:
        name = self._node(fault).name
        return self._cuts([(name, w) for w in sorted(self.world.machines)])

    def _nodes_apart(self, fault: Fault) -> Callable[[], None]:
        names = [n.name for n in self.nodes]
        return self._cuts([(a, b) for i, a in enumerate(names) for b in names[i + 1 :]])

    def _zone_hosts(self, zone: str) -> list[str]:
        return [n.name for n in self.nodes if n.zone == zone] + [
            name for name, w in sorted(self.world.machines.items()) if w.zone == zone
        ]

    def _zone_cut(self, fault: Fault) -> Callable[[], None]:
        zone = self.zones[fault.who[0] % len(self.zones)]
        inside = self._zone_hosts(zone)
        outside = [h for other in self.zones if other != zone for h in self._zone_hosts(other)]
        return self._cuts([(a, b) for a in inside for b in outside])

    def _state_outage(self, fault: Fault) -> Callable[[], None]:
        self.state.outage(True)
        return lambda: self.state.outage(False)

    def _cloud_outage(self, fault: Fault) -> Callable[[], None]:
        self.cloud.away += 1
        return lambda: setattr(self.cloud, "away", self.cloud.away - 1)

    def _machine_dies(self, fault: Fault) -> None:
        for worker in self._workers(fault):
            worker.life.end()
            worker.gone_all()

    def _machine_hangs(self, fault: Fault) -> Callable[[], None]:
        workers = self._workers(fault)
        undo = [self._still(w.life) for w in workers]
        for worker in workers:
            # It may go on within its lease; past it its tasks are over (PROTOCOL, "Workers").
            gone_us = worker.life.now_us() - worker.session.base_us
            left_s = max(self.setup.lease_s - gone_us / 1e6, 0.0)
            self.loop.call_later(left_s + 0.01, self._past_lease, worker)
        return self._over([u for u in undo if u is not None])

    def _past_lease(self, worker: SimWorker) -> None:
        if worker.life.state == STILL:
            worker.gone_all()

    def _machine_sick(self, fault: Fault) -> Callable[[], None]:
        workers = self._workers(fault)
        for worker in workers:
            worker.sick = True
        return self._over([lambda w=w: setattr(w, "sick", False) for w in workers])  # type: ignore[misc]

    def _deaf(self, names: list[str]) -> Callable[[], None]:
        for name in names:
            self.net.set_deaf(name, True)
            self.deaf_since.setdefault(name, self.loop.time())

        def over() -> None:
            for name in names:
                self.net.set_deaf(name, False)
                if name not in self.net.deaf:
                    self.deaf_since.pop(name, None)

        return over

    def _machine_deaf(self, fault: Fault) -> Callable[[], None]:
        return self._deaf([w.name for w in self._workers(fault)])

    def _zone_deaf(self, fault: Fault) -> Callable[[], None]:
        zone = self.zones[fault.who[0] % len(self.zones)]
        return self._deaf([name for name, w in sorted(self.world.machines.items()) if w.zone == zone])

    def _machine_mute(self, fault: Fault) -> Callable[[], None]:
        """Its reports are held back and arrive when that is over."""
        nodes = [n.name for n in self.nodes]
        return self._cuts([(w.name, n) for w in self._workers(fault) for n in nodes], both=False)

    def _machine_reborn(self, fault: Fault) -> None:
        """It is back at once under its name, with nothing on it, and counts from the start."""
        for worker in self._workers(fault):
            if worker.name in self.cloud.machines:
                worker.life.end()
                worker.gone_all()
                self.boot(self.cloud.machines[worker.name])

    def _report_copies(self, fault: Fault) -> Callable[[], None]:
        self.copying.append(fault)
        return lambda: self.copying.remove(fault)

    def _command_copies(self, fault: Fault) -> Callable[[], None]:
        """Direct commands that were carried out and answered arrive once more."""
        self.copying_commands.append(fault)
        return lambda: self.copying_commands.remove(fault)

    def _spot_taken(self, fault: Fault) -> None:
        for worker in self._workers(fault):
            if worker.spot:
                self.cloud.take(worker.name)

    def _flood(self, fault: Fault) -> None:
        for _ in range(30):
            self.submit()
