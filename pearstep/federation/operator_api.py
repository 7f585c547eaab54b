"""What operators are told of offloading: JSON for the commands, and metrics."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry, Gauge, generate_latest
from tornado.httputil import HTTPServerRequest

from pearstep.domain.task_set import format_task_ranges
from pearstep.federation import peer_health
from pearstep.federation.desk import Desk
from pearstep.federation.ledger import OriginRecord
from pearstep.federation.offload_records import Loans
from pearstep.transport.http import Answer

FACTS = "/v1/federation"
METRICS = "/v1/federation/metrics"
MOST_LOANS = 1000
STATES = (
    peer_health.NEW,
    peer_health.UP,
    peer_health.SUSPECT,
    peer_health.CUT,
    peer_health.GONE,
    peer_health.BACK,
    peer_health.DRAINED,
)


class Facts:
    """The metrics of offloading by peer."""

    def __init__(self) -> None:
        """Register the metrics with a registry of their own."""
        self.registry = CollectorRegistry()

        def gauge(name: str, text: str, *labels: str) -> Gauge:
            return Gauge(f"federation_{name}", text, labels, registry=self.registry)

        self.up = gauge("peer_up", "1 if the peer is up.", "peer")
        self.state = gauge("peer_state", "1 for the state that the peer is in.", "peer", "state")
        self.home = gauge("loans_home", "Loans to the peer that are open.", "peer")
        self.guest = gauge("loans_guest", "Loans of the peer that are open here.", "peer")
        self.offer = gauge("offered_cpus", "CPUs that the peer offers.", "peer")
        self.refused = gauge("refused", "Requests on the link that were refused since the start.")

    def follow(self, desk: Desk, loans: Loans, refused: int) -> None:
        """Set the metrics to the present state."""
        home = Counter(loans.home[ref].peer for ref in loans.open_home)
        guest = Counter(peer for peer, _ in loans.open_guest)
        for name, peer in desk.peers.items():
            self.up.labels(name).set(peer.state == peer_health.UP)
            for state in STATES:
                self.state.labels(name, state).set(peer.state == state)
            self.home.labels(name).set(home[name])
            self.guest.labels(name).set(guest[name])
            self.offer.labels(name).set(desk.offers[name][0].cpus if name in desk.offers else 0)
        self.refused.set(refused)


def loan_facts(ref: str, book: OriginRecord) -> dict[str, Any]:
    """Return the facts of work that this cluster has offloaded."""
    loan = book.offload
    return {
        "ref": ref,
        "as": "home",
        "peer": book.peer,
        "state": loan.state,
        "number": loan.number,
        "tasks": format_task_ranges(loan.task_mask),
        "done": format_task_ranges(loan.done_mask),
        "returned": book.returned,
        "cancel": loan.cancel_requested,
        "answer": loan.final_state,
        "forced": book.forced,
    }


def answer(
    request: HTTPServerRequest, known: dict[str, Any], desk: Desk | None, loans: Loans, facts: Facts
) -> Answer | None:
    """Answer a request of an operator's command or of a collector of metrics; None if it is neither."""
    if request.path == METRICS:
        return 200, generate_latest(facts.registry), {"Content-Type": "text/plain; version=0.0.4"}
    if request.path != FACTS:
        return None
    ref = (request.arguments.get("ref") or [b""])[0].decode()
    if ref:
        book = loans.home.get(ref)
        return 200, msgspec.json.encode({**known, "loan": loan_facts(ref, book) if book else None}), {}
    peers = []
    for name, rec in sorted(loans.peers.items()):
        peer = desk.peers.get(name) if desk else None
        offer = desk.offers.get(name) if desk else None
        peers.append(
            {
                "name": name,
                "state": "forgotten" if rec.forgotten else peer.state if peer else "unknown",
                "addrs": rec.addrs,
                "lend": rec.lend,
                "grant": msgspec.to_builtins(rec.grant),
                "drained": rec.drained,
                "offers": msgspec.to_builtins(offer[0]) if offer else None,
            }
        )
    rows = [loan_facts(ref, loans.home[ref]) for ref in sorted(loans.open_home)[:MOST_LOANS]]
    for peer_name, job in sorted(loans.open_guest)[:MOST_LOANS]:
        loan = loans.guest[peer_name, job].offload
        rows.append(
            {
                "ref": job,
                "as": "guest",
                "peer": peer_name,
                "state": loan.state,
                "number": loan.number,
                "tasks": format_task_ranges(loan.task_mask),
                "done": format_task_ranges(loan.done_mask),
            }
        )
    return 200, msgspec.json.encode({**known, "leads": desk is not None, "peers": peers, "loans": rows}), {}
