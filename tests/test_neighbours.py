"""The HTTP client, the rate limiter and the agent gateway, against small test servers."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.testing import bind_unused_port

from pearstep.controller.agent_gateway import AgentGateway
from pearstep.domain.units import SECOND_US
from pearstep.state.records import LeaseHolderRecord
from pearstep.state.replica import Replica
from pearstep.state.shard_layout import shard_of
from pearstep.transport.http import NO_ANSWER, Client
from pearstep.transport.rate_limiter import NORMAL, URGENT, RateLimiter


class EchoServer:
    """Echoes bodies and counts the connections that requests came on."""

    def __init__(self, close=False):
        self.closes_connections = close
        self.connections = set()
        listener, port = bind_unused_port()
        self.addr = f"127.0.0.1:{port}"
        self.server = HTTPServer(self.echo)
        self.server.add_sockets([listener])

    def echo(self, request):
        # Holds the objects, because the id of a closed connection may be reused.
        self.connections.add(request.connection.stream)
        headers = HTTPHeaders({"Content-Length": str(len(request.body))})
        if self.closes_connections:
            headers["Connection"] = "close"
        request.connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), headers, request.body)
        request.connection.finish()


def run_with_servers(scenario):
    async def main():
        persistent, other, closing = EchoServer(), EchoServer(), EchoServer(close=True)
        client = Client(10, (persistent.addr, closing.addr))
        await scenario(client, persistent, other, closing)
        for echo_server in (persistent, other, closing):
            echo_server.server.stop()
            await echo_server.server.close_all_connections()

    asyncio.run(main())


def test_connections_to_persistent_addresses_are_reused_and_others_are_closed():
    async def scenario(client, persistent, other, closing):
        for server, connections in ((persistent, 1), (other, 5), (closing, 5)):
            for n in range(5):
                body = b"%d" % n
                assert await client.fetch(server.addr, "POST", "/txn", body) == (200, body)
            assert len(server.connections) == connections

    run_with_servers(scenario)


def test_requests_at_the_same_time_do_not_share_a_connection():
    async def scenario(client, persistent, other, closing):
        bodies = [b"%d" % n for n in range(6)]
        answers = await asyncio.gather(*(client.fetch(persistent.addr, "POST", "/txn", b) for b in bodies))
        assert [body for _, body in answers] == bodies
        assert len(persistent.connections) == 6

    run_with_servers(scenario)


def test_request_to_a_stopped_server_returns_no_answer():
    async def scenario(client, persistent, other, closing):
        assert await client.fetch(persistent.addr, "GET", "/kv") == (200, b"")
        persistent.server.stop()
        await persistent.server.close_all_connections()
        assert (await client.fetch(persistent.addr, "GET", "/kv"))[0] == NO_ANSWER
        assert (await client.fetch(persistent.addr, "GET", "/kv"))[0] == NO_ANSWER

    run_with_servers(scenario)


def test_persistent_address_is_reached_while_silent_agents_use_up_all_other_requests():
    # A node that takes over thousands of machines queries all of them at once and must renew its lease.
    async def scenario(client, persistent, other, closing):
        release = asyncio.Event()

        async def silent(reader, writer):
            await release.wait()
            writer.close()

        server = await asyncio.start_server(silent, "127.0.0.1")
        addr = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pending_requests = [
            asyncio.ensure_future(client.fetch(addr, "POST", "/commands", b"")) for _ in range(25)
        ]
        await asyncio.sleep(0.05)
        answer = await asyncio.wait_for(client.fetch(persistent.addr, "POST", "/leases/1/renew", b"x"), 2.0)
        assert answer == (200, b"x") and not any(request.done() for request in pending_requests)
        release.set()
        assert {status for status, _ in await asyncio.gather(*pending_requests)} == {NO_ANSWER}
        server.close()

    run_with_servers(scenario)


def test_urgent_requests_borrow_tokens_and_other_requests_wait_longer():
    now = 0
    rate_limiter = RateLimiter(10.0, 10.0, lambda: now)
    assert rate_limiter.try_acquire(16.0)  # a request may take more tokens than are left
    assert not rate_limiter.try_acquire(1.0)
    assert rate_limiter.try_acquire(1.0, URGENT)
    now += 600_000
    assert not rate_limiter.try_acquire(0.0, NORMAL)
    now += 200_000
    assert rate_limiter.try_acquire(0.0, NORMAL)


class MisdirectedAgent:
    """The gateway of node n1 of three nodes, and an agent whose shard n0 owns with fencing token 5."""

    def __init__(self, redirect_s=3):
        self.now = 100 * SECOND_US
        self.replica = Replica()
        self.set_shard_holders({0: ("n0", 5), 1: ("n1", 6), 2: ("n2", 7)})
        self.now += 10 * SECOND_US
        clock = lambda: self.now  # noqa: E731
        self.gateway = AgentGateway(
            None, self.replica, {}, "n1", 3, [], clock, clock, lambda: None, int(redirect_s * SECOND_US)
        )
        self.name = next(f"i-{n}" for n in range(99) if shard_of(f"i-{n}", 3) == 0)

    def set_shard_holders(self, holders):
        for shard_id, (node, version) in holders.items():
            self.replica.put(
                f"part/{shard_id}", version, msgspec.json.encode(LeaseHolderRecord(node)), self.now
            )

    def heartbeat(self, token):
        """Return the status and where the agent is redirected."""
        body = msgspec.json.encode(
            {
                "tree": self.name,
                "address": "10.0.0.1:9",
                "breed": "small",
                "plot": "a",
                "windfall": False,
                "tenure": 1,
                "tally": 1,
                "warrant": token,
                "warningS": None,
                "parcels": [],
            }
        )
        status, answer, _ = self.gateway.handle_heartbeat(SimpleNamespace(method="POST", body=body))
        return status, msgspec.json.decode(answer).get("steward")


def test_agent_that_gets_no_answer_from_the_shard_owner_is_redirected_to_another_node_first():
    # Seen: a node was cut off from its workers; redirected back to it, they waited four more of ten seconds.
    agent = MisdirectedAgent()
    assert agent.heartbeat(5) == (421, "n2")
    agent.now += 2 * SECOND_US
    assert agent.heartbeat(5) == (421, "n2")
    agent.now += 2 * SECOND_US
    assert agent.heartbeat(5) == (421, "n0")  # the owner may have lost only one answer
    agent.now += 7 * SECOND_US
    assert agent.heartbeat(5) == (421, "n2")  # a new series of misdirected heartbeats
    agent.set_shard_holders({0: ("n2", 9)})
    assert agent.heartbeat(5) == (421, "n2")


def test_agent_that_already_has_the_token_of_a_new_owner_is_redirected_to_it():
    agent = MisdirectedAgent()
    agent.set_shard_holders({0: ("n2", 9), 2: ("n0", 10)})
    assert agent.heartbeat(9) == (421, "n2")
    agent.now += 4 * SECOND_US
    assert agent.heartbeat(9) == (421, "n2")
    agent.now += 7 * SECOND_US
    assert agent.heartbeat(9) == (421, "n0")  # the owner is not new any more and did not answer the agent


def test_agent_without_the_owners_token_is_redirected_to_the_owner():
    agent = MisdirectedAgent()
    assert agent.heartbeat(3) == (421, "n0")
    agent.set_shard_holders({0: ("", 8)})
    assert agent.heartbeat(5) == (421, "n2")  # the shard goes to n1 or n2, not to n0, which released it
    agent.now += 4 * SECOND_US
    assert agent.heartbeat(5) == (503, None)
    agent = MisdirectedAgent()
    agent.set_shard_holders({2: ("n0", 8)})
    agent.now += 10 * SECOND_US
    assert agent.heartbeat(5) == (503, None)  # no third node is alive: it retries a second later


def test_count_of_misdirected_heartbeats_has_each_recent_machine_once():
    agent = MisdirectedAgent()
    for _ in range(3):
        agent.heartbeat(5)
    assert agent.gateway.count_misdirected(6 * SECOND_US) == {0: 1}
    agent.now += 7 * SECOND_US
    assert agent.gateway.count_misdirected(6 * SECOND_US) == {}


def test_agent_with_a_later_token_than_a_stale_replica_is_not_redirected():
    # Seen: two nodes without the state service redirected agents to each other, and 510 tasks were lost.
    agent = MisdirectedAgent()
    assert agent.heartbeat(8) == (503, None)
    agent.set_shard_holders({0: ("n2", 8)})
    assert agent.heartbeat(8) == (421, "n2")


@pytest.mark.parametrize("token", [5, 8])
def test_agent_whose_token_its_owner_has_raised_is_redirected_as_with_the_claim_s_token(token):
    agent = MisdirectedAgent()
    agent.replica.revision = 8
    assert agent.heartbeat(token) == (421, "n2")
    agent.now += 4 * SECOND_US
    assert agent.heartbeat(token) == (421, "n0")
    assert agent.heartbeat(9) == (503, None)


def test_owner_that_receives_a_later_token_gives_up_the_shard():
    # The agent would drop an answer with the older token, and stay with this node until its lease expires.
    agent = MisdirectedAgent()
    agent.gateway.owners[0] = owner = SimpleNamespace(
        fencing_token=5, is_of_later_owner=lambda token: token > 5
    )
    # While the state service is available, it decides: the agent's token may be of a rolled-back state.
    assert agent.heartbeat(9) == (503, None)
    assert agent.gateway.owners == {0: owner}
    agent.gateway.kv_unavailable = lambda: True
    assert agent.heartbeat(9) == (503, None)
    assert agent.gateway.owners == {}


def test_misdirected_heartbeats_of_unreachable_agents_are_not_counted():
    # Seen: the answers of all nodes to a zone were lost, and each owner gave up its shards.
    class Client:
        status = 0

        async def fetch(self, addr, method, path, timeout_s):
            return self.status, b"{}"

    agent = MisdirectedAgent()
    agent.gateway.client = Client()
    names = [f"i-{n}" for n in range(99) if shard_of(f"i-{n}", 3) == 0][:4]
    for agent.name in names:
        agent.heartbeat(5)
    assert agent.gateway.count_misdirected(6 * SECOND_US) == {0: 4}
    assert asyncio.run(agent.gateway.count_misdirected_reachable(6 * SECOND_US)) == {}
    Client.status = 200
    assert asyncio.run(agent.gateway.count_misdirected_reachable(6 * SECOND_US)) == {0: 4}
