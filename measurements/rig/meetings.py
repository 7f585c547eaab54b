"""Two troubles that meet, made on purpose: each of the users' meetings as faults, and beside it one fault
of any kind that overlaps it."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from .faults import BACK_S, KINDS, Fault

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


MEETINGS: dict[str, Drawn] = {
    "uneven": _uneven,
    "old_reports": _old_reports,
    "late_writes": _late_writes,
    "leader_cut": _leader_cut,
    "refused": _refused,
    "back_and_forth": _back_and_forth,
    "held": _held,
    "out_of_reach": _out_of_reach,
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
        kind, rng.uniform(from_s - 3, last_s), rng.uniform(least_s, min(most_s, 45.0)),
        [rng.randrange(1000) for _ in range(3 if subject == "machine" else 1)], back_s=rng.choice(BACK_S),
    )  # fmt: skip
    faults = sorted([*faults, beside], key=lambda f: f.at_s)
    faults = [msgspec.structs.replace(f, at_s=round(f.at_s, 2), for_s=round(f.for_s, 2)) for f in faults]
    return faults, max(f.at_s + f.for_s + f.back_s + f.again_s for f in faults)
