"""Seeds of random faults in a cluster of simulated machines (``measurements/rig``), judged by the protocol's
rules. Prints one JSON line; exits 1 if a rule was broken, and says on standard error how to play a failing
seed again.

    python -m measurements.simulate [--quick] [--seeds N] [--first N] [--seed N [--log]] [--kinds a,b]
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import click
import msgspec

from .rig.cluster import Result, run, setup_of
from .rig.faults import KINDS

QUICK = 8


def _play(seed: int, kinds: list[str] | None) -> Result:
    return run(setup_of(seed, kinds))[0]


@click.command()
@click.option("--quick", is_flag=True, help=f"{QUICK} seeds.")
@click.option("--seeds", default=300, help="How many seeds.")
@click.option("--first", default=1, help="The first seed.")
@click.option("--seed", type=int, help="This one alone, with its trace on standard error.")
@click.option("--log", is_flag=True, help="With --seed: also the controllers' log.")
@click.option("--kinds", default="", help=f"Only faults of these kinds, of {', '.join(KINDS)}.")
@click.option("--jobs", default=os.cpu_count() or 1, help="Processes.")
def main(quick: bool, seeds: int, first: int, seed: int | None, log: bool, kinds: str, jobs: int) -> None:
    """Play seeds and judge them."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        # The order of sets must be the same each time.
        os.execve(sys.executable, [sys.executable, "-m", "measurements.simulate", *sys.argv[1:]],
                  {**os.environ, "PYTHONHASHSEED": "0"})  # fmt: skip
    only = kinds.split(",") if kinds else None
    begun = time.monotonic()
    if seed is not None:
        result, trace = run(setup_of(seed, only), log)
        click.echo("\n".join(trace), err=True)
        results = [result]
    else:
        numbers = range(first, first + (QUICK if quick else seeds))
        with ProcessPoolExecutor(jobs) as pool:
            results = list(pool.map(_play, numbers, [only] * len(numbers)))
    failed = [r for r in results if r.broken]
    for r in failed:
        click.echo(f"seed {r.seed}: {len(r.broken)} broken, first: {r.broken[0]}", err=True)
        again = f" --kinds {kinds}" if kinds else ""
        click.echo(f"  python -m measurements.simulate --seed {r.seed} --log{again}", err=True)
    rules = Counter(text.partition(":")[0] for r in results for text in r.broken)
    took_s = time.monotonic() - begun
    click.echo(msgspec.json.encode({
        "measurement": "simulate", "simulated": True, "seeds": len(results), "failed": len(failed),
        "rules_broken": dict(rules),
        **{name: sum(getattr(r, name) for r in results) for name in Result.__struct_fields__[2:]},
        "took_s": round(took_s, 1),
    }).decode())  # fmt: skip
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
