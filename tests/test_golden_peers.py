"""Messages between the controllers of a cluster match the golden files: status, cancellations, errors."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from pearstep.controller.peers import CancellationBroadcast, PeerClient, PeerQuery, PeerStatus
from pearstep.protocol import controller_messages as wire
from tests.golden import files

MINIMAL_STATUS = dict(
    node="node-3",
    kv_reachable=False,
    cloud_reachable=False,
    misdirected_by_shard={},
    cancelled=None,
    more=False,
    uptime_us=None,
)
STATUSES = {
    "status_all": dict(
        node="node-3",
        kv_reachable=True,
        cloud_reachable=True,
        misdirected_by_shard={0: 3, 4: 17},
        cancelled=[["req-7", 412, 1_700_000_000_000_001], ["req-8", 413, 1_700_000_000_000_002]],
        more=True,
        uptime_us=2_500_000,
    ),
    "status_nulls": MINIMAL_STATUS,
    "status_none_cancelled": MINIMAL_STATUS | dict(cancelled=[]),
}
# A status from a node of an earlier release: missing fields get their defaults.
STATUSES_OF_EARLIER_RELEASE = {"status_earlier": MINIMAL_STATUS | dict(node="node-3", kv_reachable=True)}
BROADCASTS = {"ends": [["req-7", 412, 1_700_000_000_000_001]], "ends_none": []}
QUERIES = {
    "cloud and workers": PeerQuery(check_cloud=True),
    "workers": PeerQuery(),
    "nothing": PeerQuery(count_misdirected=False),
    "what may be told": PeerQuery(count_misdirected=False, after=412),
    "everything": PeerQuery(True, True, 0),
}
EXCHANGES = files.table("peers/exchanges.json")
OTHER_FILES = {"questions", "exchanges"}


def test_every_golden_file_of_the_area_is_covered():
    names = {*STATUSES, *STATUSES_OF_EARLIER_RELEASE, *BROADCASTS, *OTHER_FILES}
    assert files.names("peers") == {f"peers/{name}.json" for name in names}
    assert EXCHANGES.keys() == SITUATIONS.keys()


@pytest.mark.parametrize("name", STATUSES | STATUSES_OF_EARLIER_RELEASE)
def test_statuses_are_decoded_and_encoded_as_in_the_golden_files(name):
    body = files.read(f"peers/{name}.json")
    status = msgspec.json.decode(body, type=PeerStatus)
    assert files.fields(status) == (STATUSES | STATUSES_OF_EARLIER_RELEASE)[name]
    assert name in STATUSES_OF_EARLIER_RELEASE or msgspec.json.encode(status) == body


@pytest.mark.parametrize("name", BROADCASTS)
def test_cancellation_broadcasts_are_decoded_and_encoded_as_in_the_golden_files(name):
    body = files.read(f"peers/{name}.json")
    broadcast = msgspec.json.decode(body, type=CancellationBroadcast)
    assert files.fields(broadcast) == {"cancelled": BROADCASTS[name]}
    assert msgspec.json.encode(broadcast) == body


def test_paths_of_queries_are_as_in_the_golden_file():
    paths = {"status": wire.PEER_STATUS_PATH, "ends": wire.PEER_CANCELLATIONS_PATH}
    assert files.table("peers/questions.json") == paths | {
        name: query.path for name, query in QUERIES.items()
    }


@pytest.mark.parametrize(
    "query_string, query",
    [
        ("", PeerQuery(False, True, None)),
        ("cloud=1", PeerQuery(True, True, None)),
        ("after=412", PeerQuery(False, False, 412)),
        ("cloud=1&workers=1&after=0", PeerQuery(True, True, 0)),
        ("after=x", PeerQuery(False, True, None)),
    ],
)
def test_query_strings_are_parsed(query_string, query):
    arguments = {
        name: [value.encode()] for name, _, value in (part.partition("=") for part in query_string.split("&"))
    }
    assert PeerQuery.from_arguments(arguments) == query


def make_peer_client(is_starting=False):
    """Return the interface of a node that answers with ``status_all``, or of one that is still starting."""
    peer_client = PeerClient(None, {})

    async def status(query):
        return msgspec.json.decode(files.read("peers/status_all.json"), type=PeerStatus)

    async def acknowledge(cancelled):
        return True

    if not is_starting:
        peer_client.answer_query, peer_client.acknowledge_cancellations = status, acknowledge
    return peer_client


SITUATIONS = {
    "status": {},
    "status, starting": dict(is_starting=True),
    "status, wrong method": {},
    "ends": {},
    "ends, starting": dict(is_starting=True),
    "ends, wrong method": {},
    "ends, not JSON": {},
    "ends, field missing": {},
    "no such path": {},
}


@pytest.mark.parametrize("name", SITUATIONS)
def test_requests_of_peers_are_answered_as_in_the_golden_file(name):
    golden = EXCHANGES[name]
    request = SimpleNamespace(
        method=golden["method"], path=golden["path"], body=golden["body"].encode(), arguments={}
    )
    status, body, headers = asyncio.run(make_peer_client(**SITUATIONS[name]).handle(request))
    assert (status, body.decode(), headers) == (golden["status"], golden["answer"], golden["headers"])
