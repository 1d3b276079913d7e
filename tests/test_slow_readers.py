"""Responses to callers that read slowly or not at all."""

from __future__ import annotations

import tracemalloc

from twisted.internet.error import ConnectionAborted
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from tests.test_connections import ClosableTransport
from wisteriagw.connections import BufferBudget, ServerFactory
from wisteriagw.connections._server_connection import ServerConnection
from wisteriagw.routes import CallerLimits

BUDGET_BYTES = 4_000_000
# One response is built while the others wait, and pieces are copied once.
MAX_TRACED_BYTES = 2 * BUDGET_BYTES
TRANSPORT_BYTES = 65_536
BODY = b"x" * 1_000_000
CALL = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class SlowTransport(ClosableTransport):
    """Transport that asks its producer to wait, as Twisted's do, until it is read."""

    def __init__(self) -> None:
        super().__init__()
        self.unread = 0

    def write(self, data: bytes) -> None:
        """Keep data for the caller."""
        super().write(data)
        self.unread += len(data)
        if self.unread > TRANSPORT_BYTES and self.producer is not None:
            self.producer.pauseProducing()

    def read(self) -> int:
        """Let the caller read all that was written; return its size."""
        size, self.unread = self.unread, 0
        if size and self.producer is not None:
            self.producer.resumeProducing()
        return size


class TestSlowReaders:
    """What callers do not read must not end the process."""

    def connect(self, count: int = 1) -> list[ServerConnection]:
        self.clock = Clock()
        self.responders: list = []
        self.factory = ServerFactory(
            lambda request, responder: self.responders.append(responder),
            CallerLimits(idle_timeout=15.0),
            self.clock.seconds,
            None,
            BufferBudget(BUDGET_BYTES),
        )
        connections = []
        for _ in range(count):
            connection = ServerConnection(self.factory, self.clock.callLater)
            connection.makeConnection(SlowTransport())
            connections.append(connection)
        return connections

    def test_memory_of_unread_answers_is_bounded(self) -> None:
        connections = self.connect(40)
        tracemalloc.start()
        for connection in connections:
            connection.dataReceived(CALL)
            self.responders.pop().reply(200, (), BODY)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert peak < MAX_TRACED_BYTES + 40 * 2 * TRANSPORT_BYTES
        assert self.factory.response_budget.used <= BUDGET_BYTES
        kept = [c for c in connections if not c.transport.aborted]
        assert 0 < len(kept) < 40

    def test_slow_caller_gets_the_whole_answer(self) -> None:
        (connection,) = self.connect()
        connection.dataReceived(CALL)
        self.responders.pop().reply(200, (), BODY)
        assert connection.transport.unread < 4 * TRANSPORT_BYTES
        while connection.transport.read():
            pass
        assert connection.transport.value().endswith(b"\r\n\r\n" + BODY)
        assert self.factory.response_budget.used == 0

    def test_next_request_waits_until_the_answer_was_read(self) -> None:
        (connection,) = self.connect()
        connection.dataReceived(CALL + CALL)
        self.responders.pop().reply(200, (), BODY)
        assert not self.responders
        while connection.transport.read():
            pass
        assert len(self.responders) == 1

    def test_unread_answer_keeps_a_stopping_process_busy(self) -> None:
        (connection,) = self.connect()
        self.factory.closing = True
        connection.dataReceived(CALL)
        self.responders.pop().reply(200, (), BODY)
        assert self.factory.count_busy() == 1
        assert not connection.transport.disconnecting
        while connection.transport.read():
            pass
        assert self.factory.count_busy() == 0
        assert connection.transport.disconnecting

    def test_caller_that_reads_nothing_is_cut(self) -> None:
        connection, other = self.connect(2)
        for one in (connection, other):
            one.dataReceived(CALL)
            self.responders.pop().reply(200, (), BODY)
        for _ in range(31):
            self.clock.advance(1.0)
            other.transport.read()
            self.factory.close_idle()
        assert connection.transport.aborted
        assert not other.transport.aborted

    def test_request_of_a_cut_caller_is_cancelled(self) -> None:
        # Its server went on with a stream that nobody reads any more.
        for cut in ("idle", "budget"):
            (connection,) = self.connect()
            connection.dataReceived(CALL)
            (responder,) = self.responders
            left: list[bool] = []
            responder.on_disconnect = lambda left=left: left.append(True)
            responder.start(200, ())
            while responder._connection.transport.unread < TRANSPORT_BYTES:
                responder.write(b"x" * 1_000)
            responder.write(b"x" * (2 * BUDGET_BYTES if cut == "budget" else 1))
            for _ in range(31):
                self.clock.advance(1.0)
                self.factory.close_idle()
            assert connection.transport.aborted
            connection.connectionLost(Failure(ConnectionAborted()))
            assert left == [True], cut
            assert self.factory.response_budget.used == 0
