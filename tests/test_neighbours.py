"""The client and the budgets towards neighbours, met through small stand-ins."""

import asyncio

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.testing import bind_unused_port

from pearstep.links.budget import NORMAL, URGENT, Budget
from pearstep.links.http import NO_ANSWER, Client


class StandIn:
    """Echoes bodies and counts the connections that requests came on."""

    def __init__(self, close=False):
        self.close = close
        self.connections = set()
        sock, port = bind_unused_port()
        self.addr = f"127.0.0.1:{port}"
        self.server = HTTPServer(self.answer)
        self.server.add_sockets([sock])

    def answer(self, request):
        # Kept as an object: an id may be used again once its connection is gone.
        self.connections.add(request.connection.stream)
        head = HTTPHeaders({"Content-Length": str(len(request.body))})
        if self.close:
            head["Connection"] = "close"
        request.connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), head, request.body)
        request.connection.finish()


def run(work):
    async def main():
        kept, other, closing = StandIn(), StandIn(), StandIn(close=True)
        client = Client(10, (kept.addr, closing.addr))
        await work(client, kept, other, closing)
        for each in (kept, other, closing):
            each.server.stop()
            await each.server.close_all_connections()

    asyncio.run(main())


def test_connections_to_chosen_neighbours_are_used_again_and_others_are_closed():
    async def work(client, kept, other, closing):
        for stand_in, connections in ((kept, 1), (other, 5), (closing, 5)):
            for n in range(5):
                body = b"%d" % n
                assert await client.fetch(stand_in.addr, "POST", "/txn", body) == (200, body)
            assert len(stand_in.connections) == connections

    run(work)


def test_requests_at_the_same_time_do_not_share_a_connection():
    async def work(client, kept, other, closing):
        bodies = [b"%d" % n for n in range(6)]
        answers = await asyncio.gather(*(client.fetch(kept.addr, "POST", "/txn", b) for b in bodies))
        assert [body for _, body in answers] == bodies
        assert len(kept.connections) == 6

    run(work)


def test_neighbour_that_refuses_or_has_gone_is_no_answer():
    async def work(client, kept, other, closing):
        assert await client.fetch(kept.addr, "GET", "/kv") == (200, b"")
        kept.server.stop()
        await kept.server.close_all_connections()
        assert (await client.fetch(kept.addr, "GET", "/kv"))[0] == NO_ANSWER
        assert (await client.fetch(kept.addr, "GET", "/kv"))[0] == NO_ANSWER

    run(work)


def test_urgent_changes_are_taken_in_advance_and_the_rest_waits_the_longer():
    now = 0
    budget = Budget(10.0, 10.0, lambda: now)
    assert budget.try_take(16.0)  # whoever finds something may take more than there is
    assert not budget.try_take(1.0)
    assert budget.try_take(1.0, URGENT)
    now += 600_000
    assert not budget.try_take(0.0, NORMAL)
    now += 200_000
    assert budget.try_take(0.0, NORMAL)
