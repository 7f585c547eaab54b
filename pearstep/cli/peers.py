"""`pearstep peers` and `pearstep loans`: whom this site lends to and borrows from, and what.

Peers are records of the state service, so that all controllers know of them at once; they are written here
under the condition that they are still what was read.
"""

from __future__ import annotations

import getpass
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from pearstep.cli.common import AWAY, NO, WRONG, Clients, command, fail, output, show
from pearstep.federation.keys import NAME
from pearstep.federation.offload_records import PeerRecord
from pearstep.federation.offload_selection import Grant
from pearstep.federation.operator_api import STATUS_PATH
from pearstep.transport.kv_client import CommitOutcome, open_kv_store
from pearstep.transport.settings_file import Address


async def ask(clients: Clients, ref: str = "") -> dict[str, Any]:
    """What the controller that leads says of lending; without one, what any of them says."""
    if not clients.cluster.site:
        fail("this cluster has no peers: start it with `pearstep up DIR --site NAME`", WRONG)
    found: dict[str, Any] = {}
    for addr in clients.cluster.nodes.values():
        path = f"{STATUS_PATH}?ref={ref}" if ref else STATUS_PATH
        status, data = await clients.http.fetch(addr, "GET", path, timeout_s=3.0)
        if status == 200:
            found = msgspec.json.decode(data)
            if ref or found["leads"]:
                return found
    if not found:
        fail("no controller answers; is the cluster up?", AWAY)
    return found


async def loan_of(clients: Clients, ref: str) -> dict[str, Any] | None:
    """The loan of a job, if there is or was one."""
    loan = (await ask(clients, ref))["loan"]
    return loan if isinstance(loan, dict) else None


def describe(loan: dict[str, Any]) -> str:
    """A loan in one line."""
    tasks = f"tasks {loan['tasks']}" if loan["tasks"] else "no tasks"
    text = f"{loan['ref']} as {loan['as']}: {loan['state']}, peer {loan['peer']}, {tasks}"
    for field, words in (("done", "done there: "), ("forced", "ended by an operator: ")):
        text += f", {words}{loan[field]}" if loan.get(field) else ""
    return text + (", being cancelled" if loan.get("cancel") and not loan.get("answer") else "")


async def change(root: Path, name: str, to: Any) -> None:
    """Write a peer's record.

    ``to`` makes the new record from the old one (None: there is none), or returns a string that says why not.
    """
    clients = Clients(root)
    store = open_kv_store(clients.http, clients.cluster.state, 100, 100)
    for _ in range(5):
        listing = await store.list_all(f"peer/{name}")
        if listing is None:
            fail(f"the state service at {clients.cluster.state} does not answer", AWAY)
        pair = next((p for p in listing[0] if p.key == f"peer/{name}"), None)
        old = msgspec.json.decode(bytes(pair.value), type=PeerRecord) if pair is not None else None
        new = to(old)
        if isinstance(new, str):
            fail(new, NO)
        outcome = await store.commit(
            {f"peer/{name}": pair.version if pair is not None else 0},
            {f"peer/{name}": (new, None)} if new is not None else {},
            [f"peer/{name}"] if new is None else None,
        )
        if outcome.state == CommitOutcome.COMMITTED:
            return
        if outcome.state != CommitOutcome.CONFLICT:
            break
    fail("the peer's record could not be written; look at `peers list` and try again", AWAY)


@click.group()
def peers() -> None:
    """Sites that this one lends work to and borrows from."""


@peers.command("list")
@output
@command
async def list_(root: Path, output: str) -> int:
    """List the peers: state, what they may take here, what they offer."""
    facts = await ask(Clients(root))
    lines = []
    for p in facts["peers"]:
        offer, grant = p["offers"], p["grant"]
        offers = f"offers {offer['cpus']:g} CPUs" if offer else "offers nothing yet"
        may = f"may take {grant.get('cpus', 0):g} CPUs here" + (", rented" if grant.get("rent") else "")
        may += "" if p["lend"] else ", we lend nothing"
        lines.append(f"{p['name']:20} {p['state']:9} {offers}, {may}")
    show(facts["peers"], output, "\n".join(lines) or "no peers; add one with `pearstep peers add`")
    return 0


@peers.command()
@click.argument("name")
@click.argument("addrs", nargs=-1, required=True)
@click.option("--cpus", type=click.FloatRange(min=0), default=0.0, help="What its work may take here.")
@click.option("--gpus", type=click.FloatRange(min=0), default=0.0)
@click.option("--memory-gb", type=click.FloatRange(min=0), default=0.0)
@click.option("--rent", is_flag=True, help="Machines may be rented for its work.")
@click.option("--lend/--no-lend", default=True, help="Whether our work may go there.")
@click.option("--price", type=click.FloatRange(min=0), default=1.0, help="Cost of its machines beside ours.")
@command
async def add(  # noqa: PLR0913 - one parameter for each option of the command
    root: Path,
    name: str,
    addrs: tuple[str, ...],
    cpus: float,
    gpus: float,
    memory_gb: float,
    rent: bool,
    lend: bool,
    price: float,
) -> int:
    """Add the peer NAME at ADDRS (host:port of its controllers' links), or change it.

    Its authority must be trusted under the same name first: `pearstep keys trust NAME FILE`.
    """
    if not NAME.match(name):
        fail(f"{name!r} is not a site's name (small letters, digits and dashes)", WRONG)
    try:
        msgspec.convert(list(addrs), list[Address])
    except msgspec.ValidationError:
        fail(f"not addresses of the form host:port: {' '.join(addrs)}", WRONG)
    grant = Grant(cpus, gpus, memory_gb, rent=rent)

    def to(old: PeerRecord | None) -> PeerRecord | str:
        if old is not None and old.forgotten:
            return f"{name} was forgotten ({old.forgotten}); `pearstep peers remove {name}` first"
        return PeerRecord(list(addrs), lend, grant, price, old is not None and old.drained)

    await change(root, name, to)
    return 0


@peers.command()
@click.argument("name")
@click.option("--undo", is_flag=True, help="Take the drain back.")
@command
async def drain(root: Path, name: str, undo: bool) -> int:
    """Nothing new goes to the peer NAME or comes from it; what is there ends in order."""

    def to(old: PeerRecord | None) -> PeerRecord | str:
        return f"{name}: no such peer" if old is None else msgspec.structs.replace(old, drained=not undo)

    await change(root, name, to)
    return 0


@peers.command()
@click.argument("name")
@click.option("--why", required=True, help="Kept with the record.")
@click.option("--yes", is_flag=True, help="Do not ask.")
@command
async def forget(root: Path, name: str, why: str, yes: bool) -> int:
    """Say that the peer NAME will never answer again: what it holds of ours comes home.

    If it still runs, its tasks run twice; its results will not be taken. Use it for a site that is gone,
    never for a link that is cut: loans wait for that to end.
    """
    if not yes:
        click.confirm(f"If {name} still runs, jobs that it holds will run twice. Go on?", abort=True)
    stamp = f"{why} ({getpass.getuser()}, {time.strftime('%Y-%m-%d %H:%M:%SZ', time.gmtime())})"

    def to(old: PeerRecord | None) -> PeerRecord | str:
        return f"{name}: no such peer" if old is None else msgspec.structs.replace(old, forgotten=stamp)

    await change(root, name, to)
    return 0


@peers.command()
@click.argument("name")
@command
async def remove(root: Path, name: str) -> int:
    """Remove the peer NAME, once nothing is lent between the two."""
    facts = await ask(Clients(root))
    left = [row["ref"] for row in facts["loans"] if row["peer"] == name]
    if left:
        fail(f"{len(left)} loans are open with {name} ({left[0]} ...); drain it first, or forget it", NO)
    await change(root, name, lambda old: f"{name}: no such peer" if old is None else None)
    return 0


@click.group()
def loans() -> None:
    """Jobs that are lent or borrowed."""


@loans.command("list")
@output
@command
async def list_loans(root: Path, output: str) -> int:
    """List the loans that are open."""
    facts = await ask(Clients(root))
    show(facts["loans"], output, "\n".join(describe(row) for row in facts["loans"]) or "no loans are open")
    return 0


@loans.command("show")
@click.argument("ref")
@output
@command
async def show_loan(root: Path, ref: str, output: str) -> int:
    """Tell what became of the loan of the job REF."""
    loan = await loan_of(Clients(root), ref)
    if loan is None:
        show(None, output, f"{ref} was never lent")
        return NO
    show(loan, output, describe(loan))
    return 0
