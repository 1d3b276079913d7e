"""Tests of the memory that peers can make a process take."""

from __future__ import annotations

import gc
import tracemalloc

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from tests.support._gateway_fixture import GatewayFixture
from tests.test_connections import ClosableTransport, collect
from wisteriagw.connections import (
    BufferBudget,
    ConnectionPool,
    HttpRequest,
    ResponseLostError,
    ServerFactory,
)
from wisteriagw.connections._read_pacer import PARTS_PER_TURN, PAUSE_SECONDS
from wisteriagw.connections._server_connection import ServerConnection
from wisteriagw.gateway._request_handler import RequestHandler
from wisteriagw.routes import CallerLimits

BUDGET_BYTES = 4_000_000
# Beside the buffers a connection has its own state, and bytearrays grow in advance.
MAX_TRACED_BYTES = 2 * BUDGET_BYTES
CONNECTIONS = 60
ADDRESS = ("10.0.0.1", 80)
REQUEST = HttpRequest(b"GET", b"/x", ((b"host", b"a"),))
CHUNK = b"x" * 65_536
# Kept one by one, parts of a byte take fifty times their size.
SMALL_PARTS = 200_000
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_BODY_BYTES = 4_194_304
CALL = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def traced():
    """Trace allocations; yields a function that returns the peak in bytes."""
    tracemalloc.start()
    yield lambda: tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


class Recorder:
    """Holder of a buffer that records why it was dropped."""

    def __init__(self) -> None:
        self.reasons: list[str] = []

    def drop_buffer(self, reason: str) -> None:
        self.reasons.append(reason)


class TestBufferBudget:
    """Many buffers, each within its own limit, filled the memory."""

    def test_largest_buffer_is_dropped(self) -> None:
        budget = BufferBudget(100)
        small, large = Recorder(), Recorder()
        budget.set_size(large, 80)
        budget.set_size(small, 20)
        assert large.reasons == []
        budget.set_size(small, 21)
        assert large.reasons and not small.reasons
        assert (budget.used, budget.dropped) == (21, 1)

    def test_buffer_that_alone_exceeds_the_limit_is_dropped(self) -> None:
        budget = BufferBudget(100)
        holder = Recorder()
        budget.set_size(holder, 101)
        assert holder.reasons and budget.used == 0

    def test_reserved_bytes_leave_less_for_buffers(self) -> None:
        budget = BufferBudget(100)
        holder = Recorder()
        budget.reserve(90)
        budget.set_size(holder, 11)
        assert holder.reasons and budget.used == 90
        budget.reserve(-90)
        budget.set_size(holder, 11)
        assert len(holder.reasons) == 1

    def test_freed_buffers_leave_nothing_behind(self) -> None:
        budget = BufferBudget(100)
        for _ in range(1_000):
            holder = Recorder()
            budget.set_size(holder, 60)
            budget.set_size(holder, 0)
        assert budget.used == 0 and not budget._sizes


class TestEndlessServers:
    """Endless answers on many connections ended the process and all its requests."""

    def open(self, count: int):
        """Return responses in progress, and the connections that receive them."""
        self.reactor = MemoryReactorClock()
        self.pool = ConnectionPool(self.reactor, BufferBudget(BUDGET_BYTES))
        responses, connections = [], []
        for _ in range(count):
            sending = collect(self.pool.send(ADDRESS, REQUEST, None))
            connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
            connection.makeConnection(ClosableTransport())
            connections.append(connection)
            responses.append(sending[0])
        return responses, connections

    @pytest.mark.parametrize(
        ("head", "data"),
        [
            (b"", b"HTTP/1.1 200 OK\r\nX-A: " + b"b" * 16_000),
            (HEAD, CHUNK),
            (CHUNKED_HEAD, b"10000\r\n" + CHUNK + b"\r\n"),
        ],
        ids=["head", "body", "chunks"],
    )
    @pytest.mark.parametrize("read", [True, False], ids=["read", "unread"])
    def test_memory_is_bounded(
        self, head: bytes, data: bytes, read: bool, traced
    ) -> None:
        responses, connections = self.open(CONNECTIONS)
        if read:
            for response in responses:
                reading = Deferred.fromCoroutine(response.read_body(MAX_BODY_BYTES))
                # A failure that is kept would keep the body.
                reading.addErrback(lambda failure: failure.trap(ResponseLostError))
        for connection in connections:
            connection.dataReceived(head)
        for _ in range(30):
            for connection in connections:
                if (
                    not connection.transport.aborted
                    and connection._wrappedProtocol._reading
                ):
                    connection.dataReceived(data)
            self.reactor.advance(PAUSE_SECONDS)
        assert traced() < MAX_TRACED_BYTES
        for response in responses:
            response.abort()
        assert self.pool.budget.used == 0

    @pytest.mark.parametrize("read", [True, False], ids=["read", "unread"])
    def test_small_parts_take_little_more_than_their_size(
        self, read: bool, traced
    ) -> None:
        responses, _ = self.open(1)
        if read:
            collect(responses[0].read_body(MAX_BODY_BYTES))
        for _ in range(SMALL_PARTS // PARTS_PER_TURN):
            responses[0].handle_part(b"x" * PARTS_PER_TURN, PARTS_PER_TURN)
        assert traced() < 4 * SMALL_PARTS

    def test_sound_answer_beside_them_is_whole(self) -> None:
        responses, connections = self.open(20)
        bodies = [collect(response.read_body(MAX_BODY_BYTES)) for response in responses]
        connections[0].dataReceived(
            b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"
        )
        for connection in connections[1:]:
            connection.dataReceived(HEAD)
        for _ in range(60):
            for connection in connections[1:]:
                if not connection.transport.aborted:
                    connection.dataReceived(CHUNK)
            connections[0].dataReceived(b"y" * 15_000)
        assert bodies[0] == [b"y" * 900_000]
        lost = [body for body in bodies[1:] if body]
        assert lost and all(body[0].check(ResponseLostError) for body in lost)

    def test_answer_that_is_dropped_when_it_ends_is_no_whole_one(self) -> None:
        responses, connections = self.open(1)
        body = collect(responses[0].read_body(MAX_BODY_BYTES))
        self.pool.budget.max_bytes = 100_000
        connections[0].dataReceived(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"30d40\r\n" + b"x" * 200_000 + b"\r\n0\r\n\r\n"
        )
        assert body[0].check(ResponseLostError)
        assert connections[0].transport.aborted
        assert not self.pool._idle.get(ADDRESS)

    def test_unread_answer_that_is_dropped_later_is_no_whole_one(self) -> None:
        responses, connections = self.open(2)
        connections[0].dataReceived(
            b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 200_000
        )
        self.pool.budget.max_bytes = 250_000
        connections[1].dataReceived(HEAD + CHUNK)
        body = collect(responses[0].read_body())
        assert body[0].check(ResponseLostError)
        # Its connection is free for other requests.
        assert not connections[0].transport.aborted

    @pytest.mark.parametrize("route", ["ask", "long"])
    def test_memory_of_streams_is_bounded(self, route: str, traced) -> None:
        """The incomplete event of each stream counts too."""
        responses, connections = self.open(0)
        gateway = GatewayFixture()
        gateway.context = gateway.context._replace(pool=self.pool)
        gateway.handler = RequestHandler(gateway.context)
        while True:
            gateway.request(route, prompt="300,50")
            if len(self.reactor.tcpClients) == len(connections):
                # The engines have no place for more.
                break
            connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
            connection.makeConnection(ClosableTransport())
            connection.dataReceived(
                b"HTTP/1.1 200 OK\r\nX-Wisteriagw-Request-Id: r1\r\n"
                b"X-Wisteriagw-Server-Stamp: s\r\n\r\nid: 1\ndata: t\n\ndata: "
            )
            connections.append(connection)
        assert len(connections) >= 20
        for _ in range(15):
            for connection in connections:
                if not connection.transport.aborted:
                    connection.dataReceived(CHUNK)
        assert traced() < MAX_TRACED_BYTES
        gateway.handler.end_requests()
        assert self.pool.budget.used == 0

    def test_answer_that_was_passed_on_is_freed(self, traced) -> None:
        """A request that has ended kept its bodies until the next collection."""
        gateway = GatewayFixture()
        gc.disable()
        try:
            for _ in range(20):
                gateway.request("unsafe")
                gateway.pool.sent.pop().reply(200, b"x" * 1_000_000)
            assert traced() < 5_000_000
        finally:
            gc.enable()

    def test_error_answers_that_wait_for_another_attempt_are_bounded(
        self, traced
    ) -> None:
        gateway = GatewayFixture()
        gateway.pool.budget.max_bytes = BUDGET_BYTES
        responders = [gateway.request("safe") for _ in range(20)]
        for sent in list(gateway.pool.sent):
            sent.reply(500, b"x" * 1_000_000)
        assert traced() < MAX_TRACED_BYTES
        for sent in gateway.pool.sent[20:]:
            sent.response.handle_loss("reset")
        # The caller gets the answer of its server, or learns that it may have run.
        statuses = sorted({responder.status for responder in responders})
        assert statuses == [500, 502]
        assert gateway.pool.budget.used == 0


class TestEndlessCallers:
    """Callers' bodies on many connections ended the process too."""

    LIMITS = CallerLimits(max_header_bytes=16_384, max_body_bytes=MAX_BODY_BYTES)
    START = b"POST / HTTP/1.1\r\nHost: x\r\n"

    def connect(self, count: int):
        self.clock = Clock()
        self.requests: list = []
        self.factory = ServerFactory(
            lambda request, responder: self.requests.append((request, responder)),
            self.LIMITS,
            self.clock.seconds,
            BufferBudget(BUDGET_BYTES),
        )
        connections = []
        for _ in range(count):
            connection = ServerConnection(self.factory, self.clock.callLater)
            connection.makeConnection(ClosableTransport())
            connections.append(connection)
        return connections

    @pytest.mark.parametrize(
        ("head", "data"),
        [
            (b"Content-Length: 4194304\r\n\r\n", CHUNK),
            (b"\r\n", CHUNK),
        ],
        ids=["body", "behind a request"],
    )
    def test_memory_is_bounded(self, head: bytes, data: bytes, traced) -> None:
        connections = self.connect(CONNECTIONS)
        for connection in connections:
            connection.dataReceived(self.START + head)
        for _ in range(30):
            for connection in connections:
                transport = connection.transport
                if transport.producerState == "producing" and not transport.aborted:
                    connection.dataReceived(data)
            self.clock.advance(PAUSE_SECONDS)
        assert traced() < MAX_TRACED_BYTES
        for connection in connections:
            connection.connectionLost(None)
        assert self.factory.budget.used == 0

    def test_small_parts_take_little_more_than_their_size(self, traced) -> None:
        (connection,) = self.connect(1)
        connection.dataReceived(self.START + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(SMALL_PARTS):
            connection.handle_data(b"x")
        assert traced() < 4 * SMALL_PARTS

    def test_request_that_does_not_fit_is_refused_at_once_and_truly(self) -> None:
        connections = self.connect(4)
        for connection in connections[:3]:
            connection.dataReceived(self.START + b"Content-Length: 4000000\r\n\r\n")
            for _ in range(4):
                connection.dataReceived(b"x" * 350_000)
        refused = [c for c in connections if b"HTTP/1.1 503" in c.transport.value()]
        assert len(refused) == 1
        assert b"retry-after: 1\r\n" in refused[0].transport.value()
        assert refused[0].transport.disconnecting
        connections[3].dataReceived(CALL)
        self.requests.pop()[1].reply(200, (), b"ok")
        assert connections[3].transport.value().endswith(b"ok")

    def test_bodies_of_requests_in_progress_are_not_dropped(self) -> None:
        connections = self.connect(3)
        for connection in connections[:2]:
            connection.dataReceived(self.START + b"Content-Length: 1900000\r\n\r\n")
            connection.dataReceived(b"x" * 1_900_000)
        assert len(self.requests) == 2
        connections[2].dataReceived(self.START + b"Content-Length: 900000\r\n\r\n")
        connections[2].dataReceived(b"x" * 400_000)
        assert b"503" in connections[2].transport.value()
        for request, responder in self.requests:
            assert len(request.body) == 1_900_000
            responder.reply(200)
        assert self.factory.budget.used == 0
