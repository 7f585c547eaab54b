"""What lending is worth and what it costs, in simulated time: a burst of three times one cluster's room,
alone and with a peer that has work of its own.

python -m measurements.federation_overflow [--quick]

Both clusters are slots and queues; what is lent, what is offered, and each step of a handoff are the
product's own (``pearstep.federation``). Prints one JSON line; exit 1 if the burst is not done sooner with
the peer, if the peer's own work starts later than its aim because of what it borrowed, if a job is not done
exactly once, or if a handoff takes more changes of state than the design says.
"""

from __future__ import annotations

import heapq
import sys
import time
import tracemalloc
from collections import deque
from collections.abc import Callable

import click
import numpy as np

from measurements.harness import say
from pearstep.federation import handoff
from pearstep.federation.handoff import OriginOffload, RemoteOffload
from pearstep.federation.offload_selection import (
    Grant,
    PeerCapacity,
    Policy,
    WaitingJob,
    capacity_to_offer,
    choose_offers,
)

S = 1_000_000
SLOTS = 100
LINK_US = 200_000
SAVE_US = 2 * S
AIM_US = 10 * S


class Sim:
    """Events in order of time; two clusters of slots."""

    def __init__(self, seed: int, with_peer: bool, own_load: float) -> None:
        self.rng = np.random.default_rng(seed)
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], object]]] = []
        self.count = 0
        self.with_peer = with_peer
        self.home_queue: deque[int] = deque()
        self.home_runs: dict[int, int] = {}
        self.guest_runs: dict[int, int] = {}  # job -> epoch of its run
        self.own_queue: deque[tuple[int, int]] = deque()
        self.own_runs = 0
        self.jobs: dict[int, OriginOffload] = {}
        self.loans: dict[int, RemoteOffload] = {}
        self.left: dict[int, int] = {}
        self.finished: dict[int, int] = {}
        self.own_waits: list[int] = []
        self.home_changes = self.guest_changes = self.handed = self.returned = 0
        self.returns: dict[int, int] = {}
        self.number = 0
        self.epoch = 0
        self.own_left = int(own_load * SLOTS * 20)
        for i in range(3 * SLOTS):
            self.jobs[i] = OriginOffload(1)
            self.left[i] = int(self.rng.exponential(60) * S) + S
            self.home_queue.append(i)
        if own_load:
            self.at(0, self.own_arrives)
        self.own_gap = 60 * S / (own_load * SLOTS) if own_load else 0
        self.at(0, self.look)

    def at(self, us: int, what: Callable[[], object]) -> None:
        self.count += 1
        heapq.heappush(self.events, (us, self.count, what))

    def run(self) -> None:
        while self.events and (len(self.finished) < len(self.jobs) or self.own_left):
            self.now, _, what = heapq.heappop(self.events)
            what()

    # -- home ------------------------------------------------------------------------------------

    def put_home(self, i: int, pair: tuple[OriginOffload, list]) -> None:
        if pair[0] != self.jobs[i]:
            self.home_changes += 1
            if pair[0].final_state and not self.jobs[i].final_state:
                assert i not in self.finished, "answered twice"
                self.finished[i] = self.now
            if pair[0].state == handoff.AT_ORIGIN and not pair[0].final_state:
                self.home_queue.appendleft(i)
            self.jobs[i] = pair[0]
        for message in pair[1]:
            self.at(self.now + LINK_US, lambda m=message: self.guest_hears(i, m))  # type: ignore[misc]

    def start_home(self) -> None:
        while self.home_queue and len(self.home_runs) < SLOTS:
            i = self.home_queue.popleft()
            if self.jobs[i].startable and i not in self.home_runs:
                self.home_runs[i] = self.now + self.left[i]
                self.at(self.home_runs[i], lambda j=i: self.home_done(j))  # type: ignore[misc]

    def home_done(self, i: int) -> None:
        del self.home_runs[i]
        self.put_home(i, (handoff.task_done_at_origin(self.jobs[i], 0), []))
        self.start_home()

    def look(self) -> None:
        """The leader's pass, once a second: when would each that waits start, and what is lent."""
        self.start_home()
        if self.with_peer:
            ends = sorted(self.home_runs.values())
            waiting = []
            for place, i in enumerate(self.home_queue):
                end = ends[place] if place < len(ends) else ends[-1] + place * S if ends else 0
                waiting.append(
                    WaitingJob(
                        f"req-{i}",
                        "c",
                        "t",
                        1,
                        1.0,
                        0,
                        0.1,
                        max(end - self.now, 0),
                        AIM_US,
                        is_queue_head=place == 0,
                        returned=self.returns.get(i, 0),
                    )
                )
            free = SLOTS - self.own_runs - len(self.guest_runs)
            held = sum(loan.state == handoff.RESERVED for loan in self.loans.values())
            room = capacity_to_offer(
                Grant(SLOTS, 0, 1e9),
                (free - held, 0, 1e9),
                (len(self.own_queue), 0, 0),
                (len(self.guest_runs) + held, 0, 0),
            )
            peers = [PeerCapacity("b", room[0], 0, 1e9, 0, LINK_US)]
            for lend in choose_offers(waiting, peers, Policy(max_open_offers=64), self.now):
                i = int(lend.ref.removeprefix("req-"))
                self.home_queue.remove(i)
                self.number += 1
                self.handed += 1
                self.put_home(i, handoff.offer(self.jobs[i], self.number, 1, 0))
        self.at(self.now + S, self.look)

    # -- guest -----------------------------------------------------------------------------------

    def guest_hears(self, i: int, message: handoff.Message) -> None:
        free = SLOTS - self.own_runs - len(self.guest_runs) - len(self.own_queue) > 0
        self.put_guest(i, handoff.receive_at_remote(self.loans.get(i, RemoteOffload()), message, free))

    def put_guest(self, i: int, pair: tuple[RemoteOffload, list]) -> None:
        if pair[0] != self.loans.get(i, RemoteOffload()):
            self.guest_changes += 1
            self.loans[i] = pair[0]
        for message in pair[1]:
            self.at(
                self.now + LINK_US,
                lambda m=message: self.put_home(i, handoff.receive_at_origin(self.jobs[i], m)),  # type: ignore[misc]
            )
        if self.loans.get(i, RemoteOffload()).startable and i not in self.guest_runs:
            self.epoch += 1
            self.guest_runs[i] = self.epoch
            assert i not in self.home_runs, "runs twice"
            self.at(self.now + self.left[i], lambda e=self.epoch: self.guest_done(i, e))  # type: ignore[misc]

    def guest_done(self, i: int, epoch: int) -> None:
        if self.guest_runs.get(i) == epoch and self.loans[i].state == handoff.HOLDING:
            del self.guest_runs[i]
            self.put_guest(i, handoff.task_done_at_remote(self.loans[i], 0))
            self.start_own()

    def own_arrives(self) -> None:
        if self.own_left:
            self.own_left -= 1
            self.own_queue.append((self.now, int(self.rng.exponential(60) * S) + S))
            self.start_own()
            self.at(self.now + int(self.rng.exponential(self.own_gap)) + 1, self.own_arrives)

    def start_own(self) -> None:
        """The guest's own go first; for those that wait, what is borrowed is stopped with its progress
        saved.
        """
        while self.own_queue and self.own_runs + len(self.guest_runs) < SLOTS:
            came, length = self.own_queue.popleft()
            self.own_waits.append(self.now - came)
            self.own_runs += 1
            self.at(self.now + length, self.own_done)
        stopping = sum(self.loans[i].state == handoff.STOPPING for i in self.guest_runs)
        for i in list(self.guest_runs):
            if stopping >= len(self.own_queue):
                break
            if self.loans[i].state == handoff.HOLDING:
                stopping += 1
                self.put_guest(i, (handoff.begin_return(self.loans[i]), []))
                self.at(self.now + SAVE_US, lambda j=i: self.stopped(j))  # type: ignore[misc]

    def stopped(self, i: int) -> None:
        del self.guest_runs[i]
        self.returned += 1
        self.returns[i] = self.returns.get(i, 0) + 1
        self.left[i] = max(self.left[i] // 2, S)
        self.put_guest(i, handoff.all_tasks_stopped(self.loans[i]))
        self.start_own()

    def own_done(self) -> None:
        self.own_runs -= 1
        self.start_own()


def quantiles(done: dict[int, int]) -> list[float]:
    """Seconds until half, 95% and all are done."""
    times = sorted(done.values())
    return [round(times[max(int(len(times) * q) - 1, 0)] / S, 1) for q in (0.5, 0.95, 1.0)]


def mean_of(values: list[float]) -> float:
    """Their mean, 0 if there are none."""
    return round(float(np.mean(values)), 2) if values else 0.0


def pass_cost(count: int) -> dict[str, float]:
    """One pass over many waiting jobs with eight peers."""
    rng = np.random.default_rng(5)
    starts = rng.integers(0, 600 * S, count)
    waiting = [
        WaitingJob(f"req-{i}", "c", "t", 1 + i % 7, 2.0, 0, 4.0, int(starts[i]), AIM_US, gang=i % 3 == 0)
        for i in range(count)
    ]
    policy = Policy()
    best = 1e9
    for _ in range(3):
        rooms = [PeerCapacity(f"p{i}", 200.0, 0, 1000.0, i * S, LINK_US) for i in range(8)]
        begun = time.process_time()
        lent = choose_offers(waiting, rooms, policy, 0)
        best = min(best, time.process_time() - begun)
    tracemalloc.start()
    choose_offers(
        waiting, [PeerCapacity(f"p{i}", 200.0, 0, 1000.0, i * S, LINK_US) for i in range(8)], policy, 0
    )
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return {
        "waiting": count,
        "peers": 8,
        "pass_ms": round(best * 1000, 1),
        "pass_mb": round(peak / 2**20, 2),
        "lent": len(lent),
    }


@click.command()
@click.option("--quick", is_flag=True, help="Three seeds instead of twenty.")
def main(quick: bool) -> None:
    """Measure what lending is worth."""
    wrong: list[str] = []
    rows = []
    for load in (0.0, 0.5, 0.9):
        alone, shared, late, changes, theirs, returned, handed = [], [], 0, [], [], 0, 0
        for seed in range(3 if quick else 20):
            base, lone = Sim(seed, True, load), Sim(seed, False, load)
            base.run()
            lone.run()
            alone.append(quantiles(lone.finished))
            shared.append(quantiles(base.finished))
            if len(base.finished) != 3 * SLOTS or len(lone.finished) != 3 * SLOTS:
                wrong.append(f"load {load}, seed {seed}: not all done")
            lone_late = sum(w > AIM_US + S for w in lone.own_waits)
            late += max(sum(w > AIM_US + S for w in base.own_waits) - lone_late, 0)
            returned += base.returned
            handed += base.handed
            if base.handed:
                changes.append((base.home_changes - 3 * SLOTS) / base.handed)
                theirs.append(base.guest_changes / base.handed)
        mean = [round(float(np.mean([a[q] for a in alone])), 1) for q in range(3)]
        with_peer = [round(float(np.mean([a[q] for a in shared])), 1) for q in range(3)]
        rows.append(
            {
                "peer_load": load,
                "alone_s": mean,
                "with_peer_s": with_peer,
                "handed_over": handed,
                "given_back": returned,
                "own_late": late,
                "home_changes_per_loan": mean_of(changes),
                "guest_changes_per_loan": mean_of(theirs),
            }
        )
        if with_peer[1] >= mean[1] and load < 0.9:
            wrong.append(f"load {load}: no sooner with a peer")
        if late:
            wrong.append(f"load {load}: {late} of the peer's own jobs late by what it borrowed")
        if changes and np.mean(changes) > 2.5:
            wrong.append(f"load {load}: too many changes of state")
    cost = pass_cost(10_000 if quick else 100_000)
    sys.exit(
        say(
            {
                "measurement": "federation_overflow",
                "simulated": True,
                "quantiles": [0.5, 0.95, 1.0],
                "rows": rows,
                "cost": cost,
                "wrong": wrong,
            }
        )
    )


if __name__ == "__main__":
    main()
