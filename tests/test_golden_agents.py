"""Messages between agents and controllers match the golden files: heartbeats, commands, and error answers."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from pearstep.controller.agent_gateway import AgentGateway, to_heartbeat
from pearstep.protocol import agent_messages as agent
from pearstep.protocol import controller_messages as wire
from pearstep.shard.commands import Command, CommandAction
from pearstep.state.records import LeaseHolderRecord, ShardLayoutRecord, WriteFenceRecord
from pearstep.state.replica import Replica
from pearstep.worker import gangs
from pearstep.worker.agent import Agent
from pearstep.worker.session import Machine, Session, Timing
from tests.golden import files

HEARTBEAT = dict(
    machine="i-1",
    address="10.0.0.1:9000",
    type="g8",
    zone="north",
    spot=True,
    incarnation=4,
    sequence=77,
    fencing_token=12,
    tasks=[],
    notice_s=None,
)


def task_status(name, attempt, state, cause=None, saved=None):
    return dict(task=name, attempt=attempt, state=state, cause=cause, saved=saved)


HEARTBEATS = {
    "report_empty": HEARTBEAT | dict(spot=False),
    "report_all": HEARTBEAT
    | dict(
        notice_s=27.5,
        tasks=[
            task_status("req-7/0", 1, "fetching"),
            task_status("req-7/1", 2, "waiting"),
            task_status("req-7/2", 3, "running"),
            task_status("req-7/3", 4, "saving"),
            task_status("req-7/4", 5, "exited", "done", False),
            task_status("req-7/5", 6, "exited", "saved", True),
        ],
    ),
    "report_causes": HEARTBEAT
    | dict(
        tasks=[
            task_status("req-7/0", 1, "exited", "peers"),
            task_status("req-7/1", 1, "exited", "no_room"),
            task_status("req-7/2", 1, "exited", "busy"),
            task_status("req-7/3", 1, "exited", "unknown"),
            task_status("req-7/4", 1, "exited", "stopped"),
            task_status("req-7/5", 1, "exited", "alone"),
            task_status("req-7/6", 1, "exited", "error"),
        ],
    ),
}
COMMANDS = [
    Command(CommandAction.START, "req-7/0", 1),
    Command(CommandAction.STOP, "req-7/1", 2, 6.5),
    Command(CommandAction.STOP, "req-7/2", 3, 0.0),
    Command(CommandAction.FORGET, "req-7/3", 4),
]
# Fencing token, commands, and incarnation, which only direct commands have.
ENCODED_COMMANDS = {
    "answer_empty": (12, [], None),
    "answer_all": (12, COMMANDS, None),
    "commands_empty": (12, [], 4),
    "commands_all": (12, COMMANDS, 4),
}
REDIRECTS = {"elsewhere": "node-3", "elsewhere_nobody": None}
OTHER_FILES = {"paths", "beat", "exchanges", "exchanges_of_agents"}
EXCHANGES = files.table("agents/exchanges.json")
AGENT_EXCHANGES = files.table("agents/exchanges_of_agents.json")


def test_every_golden_file_of_the_area_is_covered():
    names = {*HEARTBEATS, *ENCODED_COMMANDS, *REDIRECTS, *OTHER_FILES}
    assert files.names("agents") == {f"agents/{name}.json" for name in names}
    assert EXCHANGES.keys() == SITUATIONS.keys() and AGENT_EXCHANGES.keys() == AGENT_SITUATIONS


@pytest.mark.parametrize("name", HEARTBEATS)
def test_heartbeats_are_decoded_and_encoded_as_in_the_golden_files(name):
    body = files.read(f"agents/{name}.json")
    heartbeat = wire.decode_heartbeat(body)
    assert files.fields(heartbeat) == HEARTBEATS[name]
    assert agent.encode_heartbeat(heartbeat) == body


def test_heartbeat_is_converted_to_the_type_of_the_core_with_times_in_microseconds():
    heartbeat = to_heartbeat(wire.decode_heartbeat(files.read("agents/report_all.json")))
    assert (heartbeat.machine, heartbeat.address, heartbeat.type, heartbeat.zone) == (
        "i-1",
        "10.0.0.1:9000",
        "g8",
        "north",
    )
    assert (heartbeat.spot, heartbeat.incarnation, heartbeat.sequence, heartbeat.fencing_token) == (
        True,
        4,
        77,
        12,
    )
    assert heartbeat.reclaim_notice_us == 27_500_000
    last_task = heartbeat.tasks[-1]
    assert (last_task.name, last_task.attempt, last_task.state, last_task.cause, last_task.saved) == (
        "req-7/5",
        6,
        "exited",
        "saved",
        True,
    )
    assert [task.saved for task in heartbeat.tasks] == [False] * 5 + [True]


@pytest.mark.parametrize("name", ENCODED_COMMANDS)
def test_commands_are_encoded_and_decoded_as_in_the_golden_files(name):
    body = files.read(f"agents/{name}.json")
    token, commands, incarnation = ENCODED_COMMANDS[name]
    assert wire.encode_commands(token, commands, incarnation) == body
    expected_commands = [
        dict(op=op, task=name, attempt=attempt, grace_s=grace or 0.0) for op, name, attempt, grace in commands
    ]
    if incarnation is None:
        assert files.fields(agent.decode_heartbeat_answer(body)) == dict(
            fencing_token=token, commands=expected_commands, node=""
        )
    else:
        expected = dict(fencing_token=token, incarnation=incarnation, commands=expected_commands)
        assert files.fields(agent.decode_direct_commands(body)) == expected


@pytest.mark.parametrize("name", REDIRECTS)
def test_redirects_are_encoded_and_decoded_as_in_the_golden_files(name):
    body, node = files.read(f"agents/{name}.json"), REDIRECTS[name]
    assert wire.encode_redirect(node) == body
    assert files.fields(agent.decode_heartbeat_answer(body)) == dict(
        fencing_token=0, commands=[], node=node or ""
    )


def test_messages_between_gang_members_are_decoded_and_encoded_as_in_the_golden_file():
    body = files.read("agents/beat.json")
    message = msgspec.json.decode(body, type=gangs.Beat)
    phases = {
        "0": "ready",
        "1": "running",
        "2": "finished",
        "3": "saving",
        "4": "saved",
        "5": "done",
        "6": "kept",
        "7": "gone",
    }
    assert files.fields(message) == dict(job="req-7", attempt=2, phases=phases)
    assert msgspec.json.encode(message) == body


def test_paths_are_as_in_the_golden_file():
    assert files.table("agents/paths.json") == {
        "report": wire.HEARTBEAT_PATH,
        "commands": wire.COMMANDS_PATH,
        "inspect": wire.INSPECT_PATH,
        "gang": gangs.GANG,
    }


# -- heartbeats and their answers ------------------------------------------------------------------


class StubOwner:
    """Accepts all heartbeats, with the same commands for all machines; ``machine``: None if unusable."""

    shard_id = 0
    fencing_token = 12
    pass_due = False
    pending_writes: dict = {}

    def __init__(self, machine):
        self.machine = machine

    def is_of_later_owner(self, token):
        return token > self.fencing_token

    def token_for(self, machine):
        return self.fencing_token

    def on_heartbeat(self, heartbeat, now_us, wall_us):
        return self.machine

    def commands_for(self, machine, starts):
        return COMMANDS if starts else COMMANDS[1:]

    def on_heartbeat_answered(self, machine, now_us):
        pass


STUB_MACHINE = SimpleNamespace(name="i-1", incarnation=4, unknown_tasks={}, tasks_to_forget={})
LAYOUT_RECORDS = [("layout", 1, ShardLayoutRecord(["north", "south"])), ("e/part/0", 2, WriteFenceRecord())]


def lease_holder(node, shard_id=0, version=12):
    return (f"part/{shard_id}", version, LeaseHolderRecord(node, 2))


def make_gateway(records=(), owner=None, may_act=True, kv_unavailable=False, redirect_us=0, now_us=10**12):
    replica = Replica()
    for key, version, record in [*LAYOUT_RECORDS, *records]:
        replica.put(key, version, msgspec.json.encode(record), 0)
    owners = {} if owner is None else {0: owner}
    gateway = AgentGateway(
        None,
        replica,
        owners,
        "node-0",
        2,
        ["north", "south"],
        lambda: now_us,
        lambda: 1,
        lambda: None,
        redirect_us,
    )
    gateway.may_act = lambda: may_act
    gateway.kv_unavailable = lambda: kv_unavailable
    return gateway


def gateway_without_layout():
    gateway = make_gateway()
    gateway.replica = Replica()
    return gateway


SITUATIONS = {
    "ours": lambda: make_gateway(owner=StubOwner(STUB_MACHINE)),
    "ours, cut off from the state service": lambda: make_gateway(
        owner=StubOwner(STUB_MACHINE), kv_unavailable=True
    ),
    "machine not usable": lambda: make_gateway(owner=StubOwner(None)),
    "another's": lambda: make_gateway([lease_holder("node-3")]),
    "another's, and its holder did not answer": lambda: make_gateway(
        [lease_holder("node-3"), lease_holder("node-4", 1, 13)], redirect_us=10**9
    ),
    "another's, and nobody else is there": lambda: make_gateway([lease_holder("node-3")], redirect_us=10**9),
    "nobody's": lambda: make_gateway([lease_holder("")]),
    "nobody's, and nothing is known": lambda: make_gateway(),
    "a later holder's": lambda: make_gateway([lease_holder("node-3", version=11)]),
    "token later than ours": lambda: make_gateway(
        [lease_holder("node-0", version=11)], StubOwner(STUB_MACHINE)
    ),
    "standing still": lambda: make_gateway(owner=StubOwner(STUB_MACHINE), may_act=False),
    "not laid out": gateway_without_layout,
    "wrong method": lambda: make_gateway(),
    "not JSON": lambda: make_gateway(),
    "field missing": lambda: make_gateway(),
    "unknown state": lambda: make_gateway(),
}


@pytest.mark.parametrize("name", SITUATIONS)
def test_heartbeats_are_answered_as_in_the_golden_file(name):
    golden = EXCHANGES[name]
    request = SimpleNamespace(method=golden["method"], body=golden["body"].encode())
    status, body, headers = SITUATIONS[name]().handle_heartbeat(request)
    assert (status, body.decode(), headers) == (golden["status"], golden["answer"], golden["headers"])


# -- direct commands and their answers -------------------------------------------------------------

AGENT_SITUATIONS = {
    "commands",
    "commands of another session",
    "commands of an earlier holder",
    "commands with a stop",
    "commands not JSON",
    "commands without a session",
    "inspect",
    "gang",
    "gang not JSON",
    "no such path",
}


def make_agent():
    """Return an agent of incarnation 4 with fencing token 12, which has sent five heartbeats."""
    machine = Machine("i-1", "10.0.0.1:9000", "g8", "north", True, 8.0, 1.0, 64.0)
    timing = Timing(2_000_000, 16_000_000, 30_000_000, 8_000_000)
    random_stub = SimpleNamespace(choice=min, uniform=max)
    session = Session(machine, timing, {"node-0": "10.0.0.2:8080"}, 4, 0, random_stub)
    session.seq, session.token = 5, 12
    agent_under_test = Agent.__new__(Agent)
    agent_under_test.session, agent_under_test.gangs = session, gangs.Gangs(None, None, "10.0.0.1:9000")
    agent_under_test._carry_out = lambda effects: None
    return agent_under_test


@pytest.mark.parametrize("name", sorted(AGENT_SITUATIONS))
def test_requests_to_an_agent_are_answered_as_in_the_golden_file(name):
    golden = AGENT_EXCHANGES[name]
    request = SimpleNamespace(method=golden["method"], path=golden["path"], body=golden["body"].encode())
    status, body, headers = asyncio.run(make_agent().handle(request))
    assert (status, body.decode(), headers) == (golden["status"], golden["answer"], golden["headers"])
