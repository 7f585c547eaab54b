"""Golden files of the messages between clusters and of the answers to operators about offloads."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from prometheus_client import generate_latest

from pearstep.domain.job_spec import JobSpec
from pearstep.federation import handoff, keys, link, offload_transactions, operator_api, transfers
from pearstep.federation.coordinator import Coordinator
from pearstep.federation.keys import SiteKeyError
from pearstep.federation.ledger import RemoteRecord, ResourceAmounts
from pearstep.federation.link import Envelope, Link, NotCoordinatorError, Offer
from pearstep.federation.offload_records import OffloadRecords
from pearstep.federation.operator_api import FederationMetrics
from pearstep.federation.peer_health import HealthTimeouts
from pearstep.federation.transfers import Transfers
from pearstep.state.replica import Replica
from tests.golden import files
from tests.test_golden_state import SPEC

# fmt: off
ENVELOPES = {
    "envelope_all": (Envelope, dict(version=1, site="south", items=[dict(ref="req-000412",
        message=dict(kind="offer", number=4_294_967_297, task_mask=10, done_mask=2, rerunnable=True,
        version=3), need=dict(cpus=8.0, gpus=1.5, memory_gb=64.25), spec=SPEC, term_us=60_000_000,
        at_us=1_700_000_000_000_001)], whole=True, offer=dict(cpus=32.0, gpus=2.0, memory_gb=128.5,
        start_us=5_000_000, price=1.5))),
    "envelope_defaults": (Envelope, dict(version=1, site="south", items=[], whole=False, offer=None)),
}
# fmt: on
KINDS = ["offer", "accept", "refuse", "grant", "recall", "over", "result", "confirm", "renew", "renewed"]
OTHER_FILES = {
    "envelope_kinds.bin",
    "names.json",
    "facts.json",
    "facts_not_leading.json",
    "fact_of_a_loan.json",
    "fact_of_no_loan.json",
    "exchanges.json",
    "metrics.json",
}
EXCHANGES = files.table("federation/exchanges.json")


def test_every_golden_file_has_a_test():
    names = {f"{name}.bin" for name in ENVELOPES} | OTHER_FILES
    assert files.names("federation") == {f"federation/{name}" for name in names}


@pytest.mark.parametrize("name", ENVELOPES)
def test_envelopes_decode_and_encode_as_recorded(name):
    _, values = ENVELOPES[name]
    body = files.read(f"federation/{name}.bin")
    envelope = link.decode(body)
    assert files.fields(envelope) == values
    assert link.encode(envelope) == body


def test_each_kind_of_message_decodes_and_encodes_as_recorded():
    body = files.read("federation/envelope_kinds.bin")
    envelope = link.decode(body)
    message_values = [
        (item.ref, item.message.kind, item.message.number, item.message.version) for item in envelope.items
    ]
    assert message_values == [("req-7", kind, 7, 1) for kind in KINDS]
    kinds = [
        handoff.OFFER,
        handoff.ACCEPT,
        handoff.REFUSE,
        handoff.GRANT,
        handoff.RECALL,
        handoff.ENDED,
        handoff.RESULT,
        handoff.CONFIRM,
        handoff.RENEW,
        handoff.RENEWED,
    ]
    assert kinds == KINDS
    assert link.encode(envelope) == body


def test_names_are_as_recorded():
    assert files.table("federation/names.json") == {
        "borrowed job": offload_transactions.local_job_id("south", "req-7", 4_294_967_297),
        "team": offload_transactions.team_of_peer("south"),
        "certificate": keys.server_name("south"),
        "loans": link.OFFLOADS_PATH,
        "facts": operator_api.STATUS_PATH,
        "metrics": operator_api.METRICS_PATH,
        "description": transfers.DESCRIPTION_PATH,
        "attempts": transfers.ATTEMPTS_PATH,
        "read": transfers.READ_PATH,
        "file": transfers.FILE_PATH,
    }


def test_the_record_of_a_peers_job_is_as_recorded():
    spec = JobSpec("req-7", "batch", "dev", "array", 2, 2, 10.0, 0.0, 8.0, "img", 1.0)
    offload = handoff.RemoteOffload(handoff.HOLDING, 4_294_967_297, 0b01)
    remote_record = RemoteRecord(offload, ResourceAmounts(), 0, spec)
    record = offload_transactions.remote_job_record(
        "south", "req-7", remote_record, 1_700_000_000_000_001, 1_700_000_060_000_000
    )
    assert msgspec.json.encode(record) == files.read("state/job_of_peer.json")


# -- requests and answers --------------------------------------------------------------------------

RECORDS = {
    "l/req-000412": "loan_home_all",
    "l/req-7": "loan_home_defaults",
    "g/south/req-000412": "loan_guest_all",
    "peer/south": "peer_all",
    "peer/north": "peer_defaults",
}


def make_records():
    replica = Replica()
    out = OffloadRecords(replica, lambda key: None)
    for revision, (key, name) in enumerate(RECORDS.items(), 1):
        assert replica.put(key, revision, files.read(f"state/{name}.json"), 0)
    return out


def make_coordinator():
    out = Coordinator(
        "here", None, ["south", "north"], HealthTimeouts(), None, None, None, lambda: 0, lambda: 0
    )
    out.offers["north"] = (Offer(32.0, 2.0, 128.5, 5_000_000, 1.5), 0)
    return out


STATUS_CASES = {
    "facts": ("", True),
    "facts_not_leading": ("", False),
    "fact_of_a_loan": ("req-000412", True),
    "fact_of_no_loan": ("req-9", True),
}


@pytest.mark.parametrize("name", STATUS_CASES)
def test_answers_to_operators_are_as_recorded(name):
    ref, leads = STATUS_CASES[name]
    request = SimpleNamespace(path=operator_api.STATUS_PATH, arguments={"ref": [ref.encode()]})
    status, body, _ = operator_api.answer_request(
        request, {"site": "here"}, make_coordinator() if leads else None, make_records(), None
    )
    assert (status, body) == (200, files.read(f"federation/{name}.json"))


def test_names_of_metrics_are_as_recorded():
    metrics = FederationMetrics()
    metrics.update(make_coordinator(), make_records(), 3)
    names = sorted(
        line.split(" ")[0]
        for line in generate_latest(metrics.registry).decode().splitlines()
        if not line.startswith("#")
    )
    assert names == files.table("federation/metrics.json")


def make_link(peer, is_coordinator):
    """This site's end of a link; the certificate is that of ``peer``, or a revoked one if it is None."""

    def peer_of(certificate):
        if peer is None:
            raise SiteKeyError("this certificate was revoked")
        return peer

    async def receive(name, envelope):
        if not is_coordinator:
            raise NotCoordinatorError
        return link.decode(files.read("federation/envelope_defaults.bin"))

    out = Link.__new__(Link)
    out.keys, out.refused, out.peers = SimpleNamespace(peer_of=peer_of), 0, {"south": ["10.1.0.1:7101"]}
    out._serve, out._receive = Transfers([], None, make_records(), None).serve, receive
    return out


EXCHANGE_CASES = {
    "envelope": ("south", True),
    "no certificate": ("south", True),
    "revoked": (None, True),
    "not an envelope": ("south", True),
    "speaks for another": ("north", True),
    "another controller": ("south", False),
    "no such path": ("north", True),
    "no archive": ("south", True),
}


@pytest.mark.parametrize("name", EXCHANGE_CASES)
def test_answers_to_peers_are_as_recorded(name):
    golden = EXCHANGES[name]
    certificate = None if name == "no certificate" else b"certificate"
    body = files.read(golden["file"]) if golden["file"] else golden["body"].encode()
    request = SimpleNamespace(
        method=golden["method"],
        path=golden["path"],
        body=body,
        arguments={},
        get_ssl_certificate=lambda binary_form: certificate,
    )
    status, answer, headers = asyncio.run(make_link(*EXCHANGE_CASES[name]).handle(request))
    assert (status, answer.hex(), headers) == (golden["status"], golden["answer_hex"], golden["headers"])
