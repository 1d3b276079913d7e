"""Tests of the HTTP client and server connections."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from wisteriagw.connections import (
    ConnectionPool,
    HttpRequest,
    ResponseLostError,
    ServerFactory,
)
from wisteriagw.connections._client_connection import ClientConnection
from wisteriagw.routes import CallerLimits


class ClosableTransport(StringTransport):
    """Transport that records writes and whether it was closed or aborted."""

    aborted = False

    def abortConnection(self) -> None:
        self.aborted = True

    def setTcpNoDelay(self, enabled) -> None:
        pass

    def setTcpKeepAlive(self, enabled) -> None:
        pass


def collect(coroutine) -> list:
    """Start a coroutine and return a list that will hold its result."""
    results: list = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    return results


class TestServerConnection:
    """Guards against smuggled, mixed-up and late-answered requests."""

    def connect(self, limits: CallerLimits | None = None):
        self.received = []
        self.now = 0.0
        factory = ServerFactory(
            lambda request, responder: self.received.append((request, responder)),
            limits or CallerLimits(),
            lambda: self.now,
        )
        connection = factory.buildProtocol(None)
        transport = ClosableTransport()
        connection.makeConnection(transport)
        return factory, connection, transport

    def test_complete_request_is_passed_on(self) -> None:
        _, connection, transport = self.connect()
        connection.dataReceived(b"POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Le")
        connection.dataReceived(b"ngth: 4\r\n\r\nbo")
        assert self.received == []
        connection.dataReceived(b"dy")
        request, responder = self.received[0]
        assert (request.method, request.target) == (b"POST", b"/a?b")
        assert request.body == b"body"
        responder.reply(200, (), b"ok")
        assert transport.value().endswith(b"\r\n\r\nok")

    def test_chunked_body_is_joined(self) -> None:
        _, connection, _ = self.connect()
        connection.dataReceived(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert self.received[0][0].body == b"abcde"

    def test_second_request_waits_for_the_first_response(self) -> None:
        _, connection, _ = self.connect()
        one = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
        connection.dataReceived(one % 1 + one % 2)
        assert len(self.received) == 1
        self.received[0][1].reply(200)
        assert [request.target for request, _ in self.received] == [b"/1", b"/2"]

    @pytest.mark.parametrize(
        "data",
        [
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Content-Length: 5\r\n\r\nbodyx",
            b"GET http://other/ HTTP/1.1\r\nHost: x\r\n\r\n",
            b"GET /\x00 HTTP/1.1\r\nHost: x\r\n\r\n",
            b"\x16\x03\x01 nothing\r\n\r\n",
        ],
    )
    def test_ambiguous_request_is_refused_and_closed(self, data: bytes) -> None:
        factory, connection, transport = self.connect()
        connection.dataReceived(data)
        connection.dataReceived(b"GET /next HTTP/1.1\r\nHost: x\r\n\r\n")
        assert self.received == []
        assert transport.value().startswith(b"HTTP/1.1 4")
        assert transport.disconnecting
        assert factory.refused == 1

    def test_body_over_the_size_limit_is_refused(self) -> None:
        _, connection, transport = self.connect(CallerLimits(max_body_bytes=3))
        connection.dataReceived(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
        )
        assert transport.value().startswith(b"HTTP/1.1 413")
        assert self.received == []

    def test_disconnect_of_the_caller_is_reported_once(self) -> None:
        _, connection, _ = self.connect()
        connection.dataReceived(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        disconnects = []
        responder = self.received[0][1]
        responder.on_disconnect = lambda: disconnects.append(1)
        connection.connectionLost(Failure(ConnectionLost()))
        responder.reply(200)
        assert disconnects == [1]

    def test_aborted_response_does_not_look_complete(self) -> None:
        _, connection, transport = self.connect()
        connection.dataReceived(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        responder = self.received[0][1]
        responder.start(200, ())
        responder.write(b"part")
        responder.abort()
        assert transport.aborted
        assert b"0\r\n\r\n" not in transport.value()

    def test_closing_server_sends_connection_close(self) -> None:
        factory, connection, transport = self.connect()
        factory.closing = True
        connection.dataReceived(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.received[0][1].reply(200)
        assert b"connection: close" in transport.value().lower()
        assert transport.disconnecting

    def test_idle_and_slow_callers_are_closed_after_their_timeouts(self) -> None:
        limits = CallerLimits(header_timeout=3.0, idle_timeout=15.0)
        factory, connection, transport = self.connect(limits)
        self.now = 14.0
        factory.close_idle()
        assert not transport.disconnecting
        connection.dataReceived(b"GET / HT")
        self.now = 16.0
        factory.close_idle()
        assert not transport.disconnecting
        self.now = 17.5
        factory.close_idle()
        assert transport.disconnecting


class TestClientConnection:
    """Guards against accepting truncated responses or those to other requests."""

    REQUEST = HttpRequest(b"GET", b"/x", ((b"host", b"a"), (b"x-id", b"r1")))

    def connect(self):
        self.released = []
        connection = ClientConnection(self.released.append, lambda closed: None)
        transport = ClosableTransport()
        connection.makeConnection(transport)
        return connection, transport

    def send(self, connection):
        return connection.send(
            self.REQUEST, lambda head: head.find_header(b"x-id") in (None, b"r1")
        )

    def test_response_is_read_and_the_connection_released(self) -> None:
        connection, transport = self.connect()
        response = self.send(connection)
        assert transport.value().startswith(b"GET /x HTTP/1.1\r\n")
        body = collect(response.read_body())
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
        assert body == []
        connection.dataReceived(b"k")
        assert body == [b"ok"]
        assert self.released == [connection]

    def test_response_to_an_earlier_request_is_skipped(self) -> None:
        connection, _ = self.connect()
        response = self.send(connection)
        body = collect(response.read_body())
        connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 3\r\n\r\nold"
            b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nnew"
        )
        assert body == [b"new"]
        assert response.head.find_header(b"x-id") == b"r1"

    def test_own_response_may_come_later_than_a_skipped_one(self) -> None:
        """The end of the skipped response is not the end of the connection."""
        connection, _ = self.connect()
        body = collect(self.send(connection).read_body())
        old = b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 3\r\n\r\nold"
        connection.dataReceived(old)
        assert body == []
        connection.dataReceived(old[:9])
        connection.dataReceived(old[9:])
        connection.dataReceived(old.replace(b"r0", b"r1").replace(b"old", b"new"))
        assert body == [b"new"]

    def test_bytes_after_a_response_close_the_connection(self) -> None:
        connection, transport = self.connect()
        response = self.send(connection)
        collect(response.read_body())
        connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
        )
        assert transport.aborted
        assert self.released == []

    def test_bytes_on_an_idle_connection_close_it(self) -> None:
        connection, transport = self.connect()
        connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n")
        assert transport.aborted

    @pytest.mark.parametrize(
        ("reason", "complete"), [(ConnectionDone(), True), (ConnectionLost(), False)]
    )
    def test_response_without_a_length_ends_with_a_clean_close(
        self, reason, complete: bool
    ) -> None:
        connection, _ = self.connect()
        body = collect(self.send(connection).read_body())
        connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\npart")
        connection.connectionLost(Failure(reason))
        if complete:
            assert body == [b"part"]
        else:
            assert body[0].check(ResponseLostError)

    @pytest.mark.parametrize(
        "data",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
            b"",
        ],
    )
    def test_truncated_response_is_lost(self, data: bytes) -> None:
        connection, _ = self.connect()
        body = collect(self.send(connection).read_body())
        if data:
            connection.dataReceived(data)
        connection.connectionLost(Failure(ConnectionDone()))
        assert body[0].check(ResponseLostError)

    @pytest.mark.parametrize("reason", [ConnectionDone(), ConnectionLost()])
    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 100\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n",
        ],
    )
    def test_head_that_is_cut_anywhere_is_no_response(self, head, reason) -> None:
        for length in range(1, len(head)):
            connection, _ = self.connect()
            body = collect(self.send(connection).read_body())
            connection.dataReceived(head[:length])
            connection.connectionLost(Failure(reason))
            assert body[0].check(ResponseLostError), head[:length]
            assert self.released == []

    def test_invalid_response_is_lost(self) -> None:
        connection, transport = self.connect()
        body = collect(self.send(connection).read_body())
        connection.dataReceived(b"\x00\x01\x02\r\n\r\n")
        assert body[0].check(ResponseLostError)
        assert transport.aborted

    def test_early_response_does_not_truncate_the_request(self) -> None:
        connection, transport = self.connect()
        request = HttpRequest(
            b"POST", b"/x", ((b"host", b"a"), (b"content-length", b"4")), b"body"
        )
        response = connection.send(request, lambda head: True)
        collect(response.read_body())
        connection.dataReceived(b"HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n")
        assert transport.value().endswith(b"\r\n\r\nbody")

    def test_idle_time_is_shorter_than_the_stated_timeout(self) -> None:
        connection, _ = self.connect()
        response = self.send(connection)
        collect(response.read_body())
        connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
        )
        assert connection.idle_seconds < 4.0


class TestConnectionPool:
    """A response that a faulty server sends once more must reach no later request."""

    ADDRESS = ("10.0.0.1", 80)
    REFUSAL = b"HTTP/1.1 503 No\r\nX-Id: %b\r\nContent-Length: 0\r\n\r\n"

    def build(self) -> ConnectionPool:
        self.reactor = MemoryReactorClock()
        self.connections: list = []
        return ConnectionPool(self.reactor)

    def send(self, pool: ConnectionPool, request_id: bytes, any_head: bool = False):
        request = HttpRequest(b"GET", b"/", ((b"host", b"a"), (b"x-id", request_id)))
        sending = pool.send(
            self.ADDRESS,
            request,
            None if any_head else lambda head: head.find_header(b"x-id") == request_id,
        )
        results = collect(sending)
        if not results:
            factory = self.reactor.tcpClients[-1][2]
            connection = factory.buildProtocol(None)
            connection.makeConnection(ClosableTransport())
            self.connections.append(connection)
        return results[0]

    def reply(self, number: int, request_id: bytes) -> None:
        data = self.REFUSAL % request_id
        self.connections[number].dataReceived(data)

    def test_connection_is_reused_for_another_request(self) -> None:
        pool = self.build()
        self.send(pool, b"r1")
        self.reply(0, b"r1")
        self.send(pool, b"r2")
        assert pool.opened == 1

    def test_repeated_refusal_is_not_taken_for_that_of_a_later_attempt(self) -> None:
        """Prefill and run of one request have the same id."""
        pool = self.build()
        self.send(pool, b"r1")
        self.reply(0, b"r1")
        head = collect(self.send(pool, b"r1").read_head())
        self.reply(0, b"r1")
        assert head == []
        assert pool.opened == 2

    def test_connection_that_is_passed_over_serves_other_requests(self) -> None:
        pool = self.build()
        self.send(pool, b"r1")
        self.reply(0, b"r1")
        self.send(pool, b"r1")
        self.send(pool, b"r2")
        assert pool.opened == 2

    def test_calls_reuse_their_connection(self) -> None:
        pool = self.build()
        for _ in range(3):
            self.send(pool, b"call", any_head=True)
            self.reply(0, b"call")
        assert pool.opened == 1
