"""Two troubles that meet, made on purpose: each of the users' meetings as faults, and beside it one fault
of any kind that overlaps it.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from measurements.simulation.faults import (
    BACK_S,
    COMMAND_COPY_LATE_S,
    COMMAND_COPY_SHARES,
    KINDS,
    Fault,
)

Drawn = Callable[[random.Random, float], list[Fault]]
# How long a meeting takes at most, from its beginning.
MEETING_S = 70.0


def _uneven(rng: random.Random, at_s: float) -> list[Fault]:
    """Small jobs end far apart over two changes of leader and holders."""
    return [
        Fault("node_crash", at_s, whom="leader", back_s=rng.choice(BACK_S)),
        Fault("node_crash", at_s + rng.uniform(8, 25), whom="leader", back_s=rng.choice(BACK_S)),
    ]


def _old_reports(rng: random.Random, at_s: float) -> list[Fault]:
    """Old reports after newer ones, also from sessions and attempts that are over."""
    return [
        Fault("report_copies", at_s, 40.0, late_s=(2.0, 40.0)),
        Fault("machine_mute", at_s + 5, rng.uniform(5, 30), [rng.randrange(1000) for _ in range(3)]),
        Fault("node_crash", at_s + rng.uniform(5, 35), who=[rng.randrange(1000)], back_s=rng.choice(BACK_S)),
    ]


def _late_writes(rng: random.Random, at_s: float) -> list[Fault]:
    """Transactions without an answer, carried out after newer ones."""
    return [Fault("late_writes", at_s, rng.uniform(15, 40), share=rng.choice([0.1, 0.3, 0.5]))]


def _leader_cut(rng: random.Random, at_s: float) -> list[Fault]:
    """A leader without state service and peers that workers and users reach; its users cancel elsewhere."""
    return [
        Fault("node_isolated", at_s, rng.uniform(25, 60), whom="leader"),
        *(Fault("users_cancel", at_s + s, who=[n]) for s, n in ((4, 0), (14, 1), (20, 2))),
    ]


def _refused(rng: random.Random, at_s: float) -> list[Fault]:
    """Slow answers; refused alone, then with everybody, while users cancel through another."""
    alone_s = rng.uniform(1.0, 6.0)
    return [
        Fault("slow_state", at_s, 10.0, share=0.4),
        Fault("node_refused", at_s + 10, alone_s + 5, whom="leader"),
        *(Fault("users_cancel", at_s + 10 + alone_s * 0.8, who=[n]) for n in range(3)),
        Fault("state_outage", at_s + 10 + alone_s, rng.uniform(5, 55)),
    ]


def _back_and_forth(rng: random.Random, at_s: float) -> list[Fault]:
    """Controllers hand over and back, all end, one is back at once."""
    return [
        Fault("node_refused", at_s, 12.0, [rng.randrange(1000)]),
        Fault("nodes_crash", at_s + rng.uniform(10, 20), back_s=rng.choice([0.2, 3.0, 6.0])),
        Fault("node_crash", at_s + rng.uniform(18, 28), who=[rng.randrange(1000)], back_s=0.2, again_s=0.3),
    ]


def _held(rng: random.Random, at_s: float) -> list[Fault]:
    """Commands and answers held for seconds, then the machines go on."""
    who = [rng.randrange(1000) for _ in range(4)]
    return [
        Fault("machine_held", at_s, rng.uniform(2, 9), who),
        Fault("users_cancel", at_s + 1, who=[rng.randrange(1000)], share=0.4),
        Fault("machine_hangs", at_s + 12, rng.uniform(2, 9), who),
        Fault("machine_held", at_s + 24, rng.uniform(2, 9), [w + 1 for w in who]),
    ]


def _out_of_reach(rng: random.Random, at_s: float) -> list[Fault]:
    """The leader ends while machines can't be reached, or don't hear its successor."""
    who = [rng.randrange(1000) for _ in range(4)]
    kind = rng.choice(["machine_deaf", "machine_mute", "machine_hangs"])
    return [
        Fault(kind, at_s, rng.uniform(10, 50), who),
        Fault("node_crash", at_s + rng.uniform(1, 8), whom="leader", back_s=rng.choice(BACK_S)),
    ]


def _close_looks(rng: random.Random, at_s: float) -> list[Fault]:
    """Users ask at all nodes within milliseconds; holders change, answers are slow, some are lost."""
    return [
        Fault("close_looks", at_s, 60.0),
        Fault("slow_state", at_s + 5, 15.0, share=0.3),
        Fault("node_crash", at_s + rng.uniform(20, 30), whom="leader", back_s=rng.choice(BACK_S)),
        Fault("answers_lost", at_s + 35, 20.0, share=0.2),
    ]


def _answers_lost(rng: random.Random, at_s: float) -> list[Fault]:
    """Transactions are carried out at once, only their answers are lost, and everybody reads on."""
    return [
        Fault("answers_lost", at_s, rng.uniform(20, 40), share=rng.choice([0.1, 0.3, 0.5])),
        Fault("close_looks", at_s, 45.0),
        Fault("node_crash", at_s + rng.uniform(5, 30), whom="leader", back_s=rng.choice(BACK_S)),
    ]


def _limits(rng: random.Random, at_s: float) -> list[Fault]:
    """Teams are at their limits; jobs are cancelled whose machines hang or can't be asked; leaders change."""
    kind = rng.choice(["machine_deaf", "machine_mute", "machine_held"])
    return [
        Fault("cancel_now", at_s, rng.uniform(4, 30), count=6),
        Fault("node_crash", at_s + rng.uniform(0, 2), whom="leader", back_s=rng.choice(BACK_S)),
        Fault(kind, at_s + 25, rng.uniform(5, 30), [rng.randrange(1000) for _ in range(4)]),
        Fault("cancel_now", at_s + 27, count=6),
        Fault("node_refused", at_s + rng.uniform(27, 30), 12.0, whom="leader"),
        Fault("cancel_now", at_s + 45, rng.uniform(4, 12), count=6),
        Fault("node_crash", at_s + 46, whom="leader", back_s=rng.choice(BACK_S)),
    ]


def _hand_over(rng: random.Random, at_s: float) -> list[Fault]:
    """Jobs are cancelled in the seconds in which parts change hands: a rolling restart, and a giving up."""
    roll = [Fault("node_crash", at_s + 9 * n, who=[n], back_s=rng.choice(BACK_S)) for n in range(3)]
    cancels = [Fault("cancel_now", at_s + s, count=3) for s in (0.3, 2.5, 6.0, 9.2, 11.0, 15.0, 18.1, 20.0)]
    return [*roll, *cancels, Fault("node_no_workers", at_s + 30, 15.0, [0]), Fault("cancel_now", at_s + 34)]


def _quick_machines(rng: random.Random, at_s: float) -> list[Fault]:
    """Machines up within two seconds have work at once while writes lag, and the leader ends."""
    return [
        Fault("quick_machines", at_s, 50.0),
        Fault("machine_dies", at_s + 1, who=[rng.randrange(1000) for _ in range(6)]),
        Fault("slow_state", at_s, 40.0, share=0.4),
        Fault("late_writes", at_s + 3, 25.0, share=0.15),
        Fault("flood", at_s + 2),
        Fault("node_crash", at_s + rng.uniform(14, 22), whom="leader", back_s=rng.choice(BACK_S)),
    ]


def _reports_kept(rng: random.Random, at_s: float) -> list[Fault]:
    """Old reports reach every controller as a new leader begins, and once it has acted."""
    return [
        Fault("reports_kept", at_s, 55.0, share=0.3),
        Fault("machine_mute", at_s + 3, rng.uniform(5, 30), [rng.randrange(1000) for _ in range(3)]),
        *(
            Fault("node_crash", at_s + s + rng.uniform(0, 4), whom="leader", back_s=rng.choice(BACK_S))
            for s in (10, 30, 50)
        ),
    ]


def _small_jobs(rng: random.Random, at_s: float) -> list[Fault]:
    """One-task jobs four a second, a quarter cancelled; the leader ends meanwhile."""
    return [
        Fault("small_jobs", at_s, 45.0),
        Fault("close_looks", at_s + 5, 20.0),
        Fault("node_crash", at_s + rng.uniform(15, 40), whom="leader", back_s=rng.choice(BACK_S)),
    ]


def _cancelled_as_refused(rng: random.Random, at_s: float) -> list[Fault]:
    """Cancelled at the moment at which the leader alone is refused; a second later it is out for all."""
    return [
        Fault("node_refused", at_s, 14.0, whom="leader"),
        Fault("cancel_now", at_s, count=8),
        Fault("state_outage", at_s + rng.uniform(0.8, 1.6), rng.uniform(40, 60)),
    ]


def _at_end(rng: random.Random, at_s: float) -> list[Fault]:
    """Cancellations, questions and repeats meet the end of a job's last task."""
    return [Fault("cancel_at_end", at_s, 60.0, share=0.6), Fault("close_looks", at_s, 60.0)]


def _mute(rng: random.Random, at_s: float) -> list[Fault]:
    """Machines reach no controller while direct commands reach them; jobs are cancelled."""
    return [
        Fault("machine_mute", at_s, rng.uniform(8, 50), [rng.randrange(1000) for _ in range(5)]),
        Fault("cancel_now", at_s + rng.uniform(1, 6), count=6),
        Fault("node_crash", at_s + rng.uniform(5, 20), whom="leader", back_s=rng.choice(BACK_S)),
    ]


def _away(rng: random.Random, at_s: float) -> list[Fault]:
    """A zone is cut off, then all controllers are away, each for longer than the workers' lease."""
    return [
        Fault("zone_cut", at_s, rng.uniform(17, 25), [rng.randrange(1000)]),
        Fault("cancel_now", at_s + rng.uniform(0, 15), count=6),
        Fault("nodes_crash", at_s + 30, back_s=rng.uniform(17, 25)),
    ]


def _ten_leaders(rng: random.Random, at_s: float) -> list[Fault]:
    """Leaders change ten times in two minutes, also inside an outage."""
    ends = [
        Fault("node_crash", at_s + 11 * n + rng.uniform(0, 3), whom="leader", back_s=rng.choice(BACK_S))
        for n in range(10)
    ]
    return [
        *ends,
        Fault("state_outage", at_s + 40, 20.0),
        Fault("cancel_now", at_s + 42, count=4),
        Fault("cancel_now", at_s + 70, count=4),
    ]


def _bound(rng: random.Random, at_s: float) -> list[Fault]:
    """Jobs bound to one zone lose machines; more work than room, over slow links."""
    return [
        *(Fault("machine_dies", at_s + s, who=[rng.randrange(1000) for _ in range(3)]) for s in (0, 12, 24)),
        Fault("flood", at_s + 1),
        Fault("slow_links", at_s, 40.0),
        Fault("node_crash", at_s + rng.uniform(5, 30), whom="leader", back_s=rng.choice(BACK_S)),
    ]


def _command_copies(rng: random.Random, at_s: float) -> list[Fault]:
    """Commands that were answered arrive once more; nodes and machines are back at once, users cancel."""
    at_once_s = [back_s for back_s in BACK_S if back_s < 1]
    copies = Fault(
        "command_copies",
        at_s,
        50.0,
        share=rng.choice(COMMAND_COPY_SHARES),
        late_s=rng.choice(COMMAND_COPY_LATE_S),
    )
    return [
        copies,
        *(Fault("cancel_now", at_s + rng.uniform(5, 50), count=4) for _ in range(3)),
        Fault("node_crash", at_s + rng.uniform(5, 25), whom="leader", back_s=rng.choice(at_once_s)),
        Fault(
            "node_crash", at_s + rng.uniform(20, 50), who=[rng.randrange(1000)], back_s=rng.choice(at_once_s)
        ),
        Fault("machine_reborn", at_s + rng.uniform(20, 50), who=[rng.randrange(1000)]),
    ]


# All controllers are away for longer than the lease of ``BUILT``.
AWAY_S = 12.0


def sessions_over(at_s: float) -> list[Fault]:
    """Agents' sessions end while all controllers are away, transactions are late when these are back, and all
    end again while three are out of the agents' reach: a session's end is seen, and not recorded, by an owner
    that ends.
    """
    ends_s = at_s + AWAY_S + 15.0
    return [
        Fault("nodes_crash", at_s, back_s=AWAY_S),
        Fault("late_writes", at_s + AWAY_S - 0.5, 12.0, share=0.5),
        *(Fault("node_no_workers", ends_s - 0.5, 9.0, [n]) for n in (2, 3, 4)),
        Fault("nodes_crash", ends_s, back_s=1.0),
    ]


MEETINGS: dict[str, Drawn] = {
    "uneven": _uneven,
    "old_reports": _old_reports,
    "late_writes": _late_writes,
    "leader_cut": _leader_cut,
    "refused": _refused,
    "back_and_forth": _back_and_forth,
    "held": _held,
    "out_of_reach": _out_of_reach,
    "close_looks": _close_looks,
    "answers_lost": _answers_lost,
    "limits": _limits,
    "hand_over": _hand_over,
    "quick_machines": _quick_machines,
    "reports_kept": _reports_kept,
    "small_jobs": _small_jobs,
    "cancelled_as_refused": _cancelled_as_refused,
    "at_end": _at_end,
    "mute": _mute,
    "away": _away,
    "ten_leaders": _ten_leaders,
    "bound": _bound,
    "sessions_over": lambda rng, at_s: sessions_over(at_s),
    "command_copies": _command_copies,
}
# What is built differently for a meeting (``Setup``).
BUILT: dict[str, dict[str, object]] = {
    "uneven": {"uneven": 1.0},
    # Services would keep what they have of a limit for ever.
    "limits": {"most_cpus": (44.0, 44.0), "load": 0.12, "kinds": (5, 3, 0), "more_s": 150.0},
    "bound": {"bound": 0.7, "more_s": 200.0},
    "quick_machines": {"more_s": 200.0},
    "command_copies": {"more_s": 200.0},
    "sessions_over": {
        "nodes": 5,
        "zones": 2,
        "machines": 16,
        "lease_s": 10.0,
        "report_s": 1.0,
        "load": 0.2,
        "run_s": (40.0, 80.0),
        "kinds": (1, 5, 0),
        "most_cpus": (0.0, 0.0),
        "gang_tasks": (2, 4, 6),
        "gang_cpus": 15.0,
        "more_s": 150.0,
    },
}


def pairs() -> list[tuple[str, str]]:
    """Each meeting with each kind of fault."""
    return [(meeting, kind) for meeting in MEETINGS for kind in sorted(KINDS)]


def meet(rng: random.Random, meeting: str, kind: str, from_s: float) -> tuple[list[Fault], float]:
    """A meeting with a fault of a kind within it, and when both are over at the latest."""
    faults = MEETINGS[meeting](rng, from_s)
    subject, least_s, most_s = KINDS[kind]
    last_s = max(f.at_s + f.for_s for f in faults)
    beside = Fault(
        kind,
        rng.uniform(from_s - 3, last_s),
        rng.uniform(least_s, min(most_s, 45.0)),
        [rng.randrange(1000) for _ in range(3 if subject == "machine" else 1)],
        back_s=rng.choice(BACK_S),
    )
    faults = sorted([*faults, beside], key=lambda f: f.at_s)
    faults = [msgspec.structs.replace(f, at_s=round(f.at_s, 2), for_s=round(f.for_s, 2)) for f in faults]
    return faults, max(f.at_s + f.for_s + f.back_s + f.again_s for f in faults)
