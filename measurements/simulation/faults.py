"""Faults as data: what happens, to whom, when, for how long; and a seed's draw of them."""

from __future__ import annotations

import random

import msgspec

# kind: what ``who`` is drawn from, the shortest and longest duration in seconds
KINDS: dict[str, tuple[str, float, float]] = {
    "node_crash": ("node", 0, 0),
    "nodes_crash": ("all", 0, 0),
    "node_still": ("node", 1, 25),
    "node_isolated": ("node", 5, 60),
    "node_refused": ("node", 5, 40),
    "node_no_workers": ("node", 5, 40),
    "nodes_apart": ("all", 5, 40),
    "zone_cut": ("zone", 5, 40),
    "state_outage": ("all", 2, 25),
    "cloud_outage": ("all", 2, 25),
    "machine_dies": ("machine", 0, 0),
    "machine_hangs": ("machine", 1, 40),
    "machine_sick": ("machine", 20, 60),
    "machine_deaf": ("machine", 5, 80),
    "zone_deaf": ("zone", 5, 40),
    "machine_mute": ("machine", 5, 60),
    "machine_reborn": ("machine", 0, 0),
    "report_copies": ("all", 20, 80),
    "spot_taken": ("machine", 0, 0),
    "flood": ("all", 0, 0),
    "late_writes": ("all", 10, 60),
    "slow_state": ("all", 10, 60),
    "machine_held": ("machine", 2, 9),
    "users_cancel": ("node", 0, 0),
    "close_looks": ("all", 20, 60),
    "odd_requests": ("all", 20, 60),
    "cancel_now": ("all", 0, 30),
    "cancel_waiting": ("node", 0, 0),
    "cancel_at_end": ("all", 20, 60),
    "answers_lost": ("all", 10, 60),
    "reports_kept": ("all", 20, 60),
    "quick_machines": ("all", 20, 60),
    "small_jobs": ("all", 20, 40),
    "slow_links": ("all", 10, 60),
    "command_copies": ("all", 20, 60),
}
# What a seed draws from if it is not told otherwise. It stays as it is, so that a seed stays what it was: the
# later kinds come with the meetings (``meetings.py``).
LATER = {
    "late_writes",
    "slow_state",
    "machine_held",
    "users_cancel",
    "close_looks",
    "odd_requests",
    "cancel_now",
    "cancel_waiting",
    "cancel_at_end",
    "answers_lost",
    "reports_kept",
    "quick_machines",
    "small_jobs",
    "slow_links",
    "command_copies",
}
DRAWN = sorted(KINDS.keys() - LATER)
BACK_S = (0.0, 0.05, 0.2, 0.9, 6.0)
# Shares of the answered commands of which a copy arrives, and how much later that is at the least and most.
COMMAND_COPY_SHARES = (0.2, 0.6, 1.0)
COMMAND_COPY_LATE_S = ((0.3, 3.0), (0.3, 20.0), (0.3, 60.0))


class Fault(msgspec.Struct, omit_defaults=True):
    """``who``: numbers of nodes, zones or machines, drawn from those there are when it begins. ``step``: it
    begins with so many writes of keys with this prefix after ``at_s``. ``back_s``: after that a process
    that ended is back; ``again``: it ends once more when it has been back for so long. ``whom``: whoever
    leads when it begins ("leader") instead of ``who``. ``share``: of transactions, answers, reports, or jobs.
    ``count``, without a step: how many jobs.
    """

    kind: str
    at_s: float
    for_s: float = 0.0
    who: list[int] = []
    back_s: float = 6.0
    again_s: float = 0.0
    step: str = ""
    count: int = 0
    late_s: tuple[float, float] = (1.0, 40.0)
    whom: str = ""
    share: float = 0.3


def draw(rng: random.Random, from_s: float, until_s: float, kinds: list[str] | None = None) -> list[Fault]:
    """Three to seven faults; each is over before ``until_s``."""
    out = []
    for _ in range(rng.randint(3, 7)):
        kind = rng.choice(kinds or DRAWN)
        subject, least_s, most_s = KINDS[kind]
        for_s = round(rng.uniform(least_s, most_s), 2)
        fault = Fault(
            kind,
            round(rng.uniform(from_s, until_s - for_s), 2),
            for_s,
            back_s=rng.choice(BACK_S),
            again_s=rng.choice([0.0, 0.0, 0.0, 0.05, 0.3, 3.0]),
        )
        if subject == "machine":
            fault.who = [rng.randrange(1000) for _ in range(rng.choice([1, 1, 2, 4, 8]))]
        elif subject != "all":
            fault.who = [rng.randrange(1000)]
        if kind == "command_copies":
            fault.share, fault.late_s = rng.choice(COMMAND_COPY_SHARES), rng.choice(COMMAND_COPY_LATE_S)
        if rng.random() < 0.3:
            fault.step, fault.count = (
                rng.choice(["part/", "leader", "p/", "h/", "d/", "r/"]),
                rng.randint(1, 3),
            )
        out.append(fault)
    return sorted(out, key=lambda f: f.at_s)
