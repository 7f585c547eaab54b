"""The API for operators of offloading: JSON for the commands, and metrics."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry, Gauge, generate_latest
from tornado.httputil import HTTPServerRequest

from pearstep.domain.task_set import format_task_ranges
from pearstep.federation import peer_health
from pearstep.federation.coordinator import Coordinator
from pearstep.federation.ledger import OriginRecord
from pearstep.federation.offload_records import OffloadRecords
from pearstep.transport.http import Answer

STATUS_PATH = "/v1/federation"
METRICS_PATH = "/v1/federation/metrics"
MAX_OFFLOADS_LISTED = 1000
PEER_STATES = (
    peer_health.NEW,
    peer_health.UP,
    peer_health.SUSPECT,
    peer_health.UNREACHABLE,
    peer_health.GONE,
    peer_health.RECONCILING,
    peer_health.DRAINED,
)


class FederationMetrics:
    """The metrics of offloading by peer."""

    def __init__(self) -> None:
        """Register the metrics with a registry of their own."""
        self.registry = CollectorRegistry()

        def gauge(name: str, text: str, *labels: str) -> Gauge:
            return Gauge(f"federation_{name}", text, labels, registry=self.registry)

        self.peer_up = gauge("peer_up", "1 if the peer is up.", "peer")
        self.peer_state = gauge("peer_state", "1 for the state that the peer is in.", "peer", "state")
        self.offloads_to_peer = gauge("loans_home", "Loans to the peer that are open.", "peer")
        self.offloads_from_peer = gauge("loans_guest", "Loans of the peer that are open here.", "peer")
        self.offered_cpus = gauge("offered_cpus", "CPUs that the peer offers.", "peer")
        self.refused = gauge("refused", "Requests on the link that were refused since the start.")

    def update(self, coordinator: Coordinator, records: OffloadRecords, refused: int) -> None:
        """Set the metrics to the current state."""
        count_to_peer = Counter(records.origin_records[ref].peer for ref in records.open_origin)
        count_from_peer = Counter(peer for peer, _ in records.open_remote)
        for name, peer in coordinator.peers.items():
            self.peer_up.labels(name).set(peer.state == peer_health.UP)
            for state in PEER_STATES:
                self.peer_state.labels(name, state).set(peer.state == state)
            self.offloads_to_peer.labels(name).set(count_to_peer[name])
            self.offloads_from_peer.labels(name).set(count_from_peer[name])
            self.offered_cpus.labels(name).set(
                coordinator.offers[name][0].cpus if name in coordinator.offers else 0
            )
        self.refused.set(refused)


def offload_status(ref: str, record: OriginRecord) -> dict[str, Any]:
    """Return the status of a job of this cluster that was offloaded."""
    offload = record.offload
    return {
        "ref": ref,
        "as": "home",
        "peer": record.peer,
        "state": offload.state,
        "number": offload.number,
        "tasks": format_task_ranges(offload.task_mask),
        "done": format_task_ranges(offload.done_mask),
        "returned": record.returned,
        "cancel": offload.cancel_requested,
        "answer": offload.final_state,
        "forced": record.forced,
    }


def answer_request(
    request: HTTPServerRequest,
    base_fields: dict[str, Any],
    coordinator: Coordinator | None,
    records: OffloadRecords,
    metrics: FederationMetrics,
) -> Answer | None:
    """Answer a request of an operator's command or of a metrics collector; None for any other path."""
    if request.path == METRICS_PATH:
        return 200, generate_latest(metrics.registry), {"Content-Type": "text/plain; version=0.0.4"}
    if request.path != STATUS_PATH:
        return None
    ref = (request.arguments.get("ref") or [b""])[0].decode()
    if ref:
        record = records.origin_records.get(ref)
        return (
            200,
            msgspec.json.encode({**base_fields, "loan": offload_status(ref, record) if record else None}),
            {},
        )
    peers = []
    for name, peer_record in sorted(records.peers.items()):
        peer = coordinator.peers.get(name) if coordinator else None
        offer = coordinator.offers.get(name) if coordinator else None
        peers.append(
            {
                "name": name,
                "state": "forgotten" if peer_record.forgotten else peer.state if peer else "unknown",
                "addrs": peer_record.addrs,
                "lend": peer_record.lend,
                "grant": msgspec.to_builtins(peer_record.grant),
                "drained": peer_record.drained,
                "offers": msgspec.to_builtins(offer[0]) if offer else None,
            }
        )
    offloads = [
        offload_status(ref, records.origin_records[ref])
        for ref in sorted(records.open_origin)[:MAX_OFFLOADS_LISTED]
    ]
    for peer_name, job in sorted(records.open_remote)[:MAX_OFFLOADS_LISTED]:
        offload = records.remote_records[peer_name, job].offload
        offloads.append(
            {
                "ref": job,
                "as": "guest",
                "peer": peer_name,
                "state": offload.state,
                "number": offload.number,
                "tasks": format_task_ranges(offload.task_mask),
                "done": format_task_ranges(offload.done_mask),
            }
        )
    return (
        200,
        msgspec.json.encode(
            {**base_fields, "leads": coordinator is not None, "peers": peers, "loans": offloads}
        ),
        {},
    )
