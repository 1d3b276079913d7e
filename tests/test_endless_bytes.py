"""Tests of servers and callers that send bytes without end."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from tests.support._gateway_fixture import GatewayFixture
from tests.test_connections import ClosableTransport, collect
from wisteriagw.connections import HttpRequest, ResponseLostError, ServerFactory
from wisteriagw.connections._client_connection import ClientConnection
from wisteriagw.connections._read_pacer import (
    FREE_TURNS,
    PARTS_PER_TURN,
    PAUSE_SECONDS,
)
from wisteriagw.connections._response import MAX_QUEUED_BYTES
from wisteriagw.connections._server_connection import ServerConnection
from wisteriagw.gateway._event_splitter import (
    MAX_EVENT_BYTES,
    MAX_EVENT_PARTS,
    EventSplitter,
)
from wisteriagw.routes import CallerLimits

CHUNK = b"x" * 65_536
# Bytes that a hostile peer sends in a test; none of it may be kept.
SENT_BYTES = 64 * 1_048_576
REQUEST = HttpRequest(b"GET", b"/x", ((b"host", b"a"),))
CALL = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class CountingTransport(ClosableTransport):
    """Transport that counts the calls which pause and resume reading."""

    def __init__(self) -> None:
        super().__init__()
        self.paused = 0
        self.resumed = 0

    def pauseProducing(self) -> None:
        self.paused += 1

    def resumeProducing(self) -> None:
        self.resumed += 1


def open_response():
    """Return a connection with a request in progress, its transport and response."""
    connection = ClientConnection(lambda used: None, lambda closed: None)
    transport = CountingTransport()
    connection.makeConnection(transport)
    return connection, transport, connection.send(REQUEST, lambda head: True)


def feed_until_closed(connection, transport, chunk: bytes) -> int:
    """Feed chunks until the connection is aborted; return the bytes fed."""
    fed = 0
    while not transport.aborted and fed < SENT_BYTES:
        connection.dataReceived(chunk)
        fed += len(chunk)
    return fed


class TestEndlessServer:
    """A server's endless bytes must not fill the memory or delay other requests."""

    @pytest.mark.parametrize(
        "start",
        [
            b"",
            b"HTTP/1.1 ",
            b"HTTP/1.1 200 OK\r\nX-A: ",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ",
            b"HTTP/1.1 103 Early\r\nX-A: ",
        ],
        ids=["none", "status", "header", "extension", "trailer", "1xx header"],
    )
    def test_line_without_end_is_lost(self, start: bytes) -> None:
        connection, transport, response = open_response()
        body = collect(response.read_body())
        connection.dataReceived(start)
        assert feed_until_closed(connection, transport, CHUNK) <= 2 * len(CHUNK)
        assert body[0].check(ResponseLostError)

    def test_header_lines_without_end_are_lost(self) -> None:
        connection, transport, response = open_response()
        body = collect(response.read_body())
        connection.dataReceived(b"HTTP/1.1 200 OK\r\n")
        fed = feed_until_closed(connection, transport, b"X-A: b\r\n" * 1_000)
        assert fed <= 100_000
        assert body[0].check(ResponseLostError)

    @pytest.mark.parametrize(
        "other",
        [
            b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 1\r\n\r\nx",
        ],
        ids=["1xx", "of an earlier request"],
    )
    def test_other_responses_without_end_are_lost(self, other: bytes) -> None:
        """Parsing them kept the process busy, so that other requests were refused."""
        connection = ClientConnection(lambda used: None, lambda closed: None)
        transport = CountingTransport()
        connection.makeConnection(transport)
        response = connection.send(REQUEST, lambda head: not head.find_header(b"x-id"))
        head = collect(response.read_head())
        fed = feed_until_closed(connection, transport, other)
        assert fed <= 200 * len(other)
        assert head[0].check(ResponseLostError)

    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 200 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        ],
        ids=["until close", "long length"],
    )
    def test_body_without_end_is_lost(self, head: bytes) -> None:
        connection, transport, response = open_response()
        body = collect(response.read_body(max_bytes=1_000_000))
        connection.dataReceived(head)
        assert feed_until_closed(connection, transport, CHUNK) <= 1_200_000
        assert body[0].check(ResponseLostError)

    def test_unread_body_pauses_reading(self) -> None:
        connection, transport, response = open_response()
        connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n")
        while not transport.paused:
            connection.dataReceived(CHUNK)
        assert response._queued_bytes <= MAX_QUEUED_BYTES + len(CHUNK)
        while not transport.resumed:
            collect(response.read_part())
        assert response._queued_bytes <= MAX_QUEUED_BYTES

    def test_connection_that_is_used_again_is_read(self) -> None:
        """The next response would never come if reading stayed paused."""
        released: list = []
        connection = ClientConnection(released.append, lambda closed: None)
        transport = CountingTransport()
        connection.makeConnection(transport)
        response = connection.send(REQUEST, lambda head: True)
        size = 2 * MAX_QUEUED_BYTES
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        connection.dataReceived(b"x" * size)
        assert released == [connection]
        assert transport.paused == transport.resumed == 1
        assert len(collect(response.read_body())[0]) == size

    def test_event_without_end_is_lost(self) -> None:
        splitter = EventSplitter()
        fed = 0
        with pytest.raises(ResponseLostError):
            while fed < SENT_BYTES:
                splitter.feed(CHUNK)
                fed += len(CHUNK)
        assert fed <= MAX_EVENT_BYTES

    @pytest.mark.parametrize(("route", "retried"), [("unsafe", 0), ("safe", 1)])
    def test_answer_is_true_and_repeatable_work_goes_elsewhere(
        self, route: str, retried: int
    ) -> None:
        gateway = GatewayFixture()
        responder = gateway.request(route)
        first = gateway.pool.sent[0]
        first.start(200)
        fed = 0
        while not first.aborted and fed < SENT_BYTES:
            first.response.handle_part(CHUNK)
            fed += len(CHUNK)
        assert fed <= gateway.configuration.table.limits.max_body_bytes + len(CHUNK)
        assert len(gateway.pool.sent) == 1 + retried
        if retried:
            gateway.pool.sent[1].reply(200, b"ok")
            assert (responder.status, responder.body) == (200, b"ok")
        else:
            assert responder.status == 502

    def test_endless_event_does_not_look_complete(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("ask", prompt="300,50")
        first = gateway.pool.sent[0]
        first.start(200)
        first.response.handle_part(b"id: 1\ndata: t\n\nid: 2\ndata: ")
        for _ in range(40):
            first.response.handle_part(CHUNK)
        assert first.aborted and responder.aborted
        assert responder.body == b"id: 1\ndata: t\n\n"


class TestSmallParts:
    """Small parts without end kept the loop from all other work for seconds."""

    HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    # What one read of the socket may hold.
    READ = b"8\r\ndata: a\n\r\n" * 5_000

    def open(self):
        """Return a connection in virtual time, its transport and response."""
        self.clock = Clock()
        connection = ClientConnection(
            lambda used: None, lambda closed: None, self.clock.callLater
        )
        transport = CountingTransport()
        connection.makeConnection(transport)
        response = connection.send(REQUEST, lambda head: True)
        connection.dataReceived(self.HEAD)
        return connection, transport, response

    def take_turns(self, seconds: float) -> None:
        """Run what is due now and in the next seconds."""
        self.clock.pump([0.0, *[PAUSE_SECONDS] * round(seconds / PAUSE_SECONDS)])

    def test_turn_is_shared_with_other_connections(self) -> None:
        turns: list = []
        connection = ClientConnection(
            lambda used: None,
            lambda closed: None,
            lambda seconds, function: turns.append(function),
        )
        transport = CountingTransport()
        connection.makeConnection(transport)
        response = connection.send(REQUEST, lambda head: True)
        connection.dataReceived(self.HEAD + self.READ)
        for number in range(1, 4):
            assert transport.paused - transport.resumed == len(turns) == 1
            collect(response.read_part())
            assert response.parts_read == number * PARTS_PER_TURN
            turns.pop()()

    def test_reader_wakes_once_a_turn(self) -> None:
        connection, _, response = self.open()
        parts = collect(response.read_part())
        connection.dataReceived(self.READ[: 13 * 200])
        assert parts == [b"data: a\n" * 200]

    def test_endless_parts_take_a_bounded_share_of_the_time(self) -> None:
        connection, transport, response = self.open()
        seconds = 10.0
        while self.clock.seconds() < seconds:
            if transport.paused == transport.resumed:
                connection.dataReceived(self.READ)
            collect(response.read_part())
            self.clock.advance(PAUSE_SECONDS / 2)
        turns = FREE_TURNS + seconds / PAUSE_SECONDS + 1
        assert response.parts_read <= turns * PARTS_PER_TURN

    def test_nothing_is_lost_or_reordered(self) -> None:
        connection, _, response = self.open()
        body = collect(response.read_body())
        expected = b""
        for number in range(3_000):
            data = b"%d;" % number
            expected += data
            connection.dataReceived(b"%x\r\n%b\r\n" % (len(data), data))
        sent = b"".join(b"%x\r\n%b\r\n" % (4, b"%04d" % n) for n in range(3_000))
        connection.dataReceived(sent + b"0\r\n\r\n")
        expected += b"".join(b"%04d" % n for n in range(3_000))
        self.take_turns(5.0)
        assert body == [expected]

    def test_close_behind_parts_that_wait_ends_the_body(self) -> None:
        connection, _, response = self.open()
        body = collect(response.read_body())
        connection.dataReceived(b"1\r\nx\r\n" * 1_000 + b"0\r\n\r\n")
        connection.connectionLost(Failure(ConnectionDone()))
        self.take_turns(1.0)
        assert body == [b"x" * 1_000]

    def test_lost_connection_behind_parts_that_wait_is_a_loss(self) -> None:
        connection, _, response = self.open()
        body = collect(response.read_body())
        connection.dataReceived(b"1\r\nx\r\n" * 1_000)
        connection.connectionLost(Failure(ConnectionLost()))
        self.take_turns(1.0)
        assert body[0].check(ResponseLostError)

    def test_answer_that_was_whole_before_a_reset_is_kept(self) -> None:
        connection, _, response = self.open()
        body = collect(response.read_body())
        connection.dataReceived(b"1\r\nx\r\n" * 1_000 + b"0\r\n\r\n")
        connection.connectionLost(Failure(ConnectionLost()))
        assert body == [b"x" * 1_000]

    @pytest.mark.parametrize("size", [1, 8, 64])
    def test_event_in_endless_parts_is_lost(self, size: int) -> None:
        splitter = EventSplitter()
        fed = 0
        with pytest.raises(ResponseLostError):
            while fed <= MAX_EVENT_BYTES:
                splitter.feed(b"x" * size)
                fed += size
        assert fed == MAX_EVENT_PARTS * size

    def test_large_event_in_few_parts_is_passed_on(self) -> None:
        splitter = EventSplitter()
        size = MAX_EVENT_BYTES // MAX_EVENT_PARTS
        parts = [b"x" * size] * (MAX_EVENT_PARTS - 2)
        for part in parts:
            assert splitter.feed(part) == b""
        assert splitter.feed(b"\n\n") == b"".join(parts) + b"\n\n"

    def test_many_events_in_small_parts_are_no_endless_event(self) -> None:
        splitter = EventSplitter()
        for number in range(3 * MAX_EVENT_PARTS):
            splitter.feed(b"id: %d" % number)
            assert splitter.feed(b"\n\n") == b"id: %d\n\n" % number

    def test_stream_of_endless_parts_is_given_up_early(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("ask", prompt="300,50")
        first = gateway.pool.sent[0]
        first.start(200)
        first.response.handle_part(b"id: 1\ndata: t\n\n")
        first.response.handle_part(b"data: a\n" * 2_000, MAX_EVENT_PARTS + 1)
        assert first.aborted and responder.aborted

    def test_body_of_another_response_without_end_is_lost(self) -> None:
        connection = ClientConnection(lambda used: None, lambda closed: None)
        transport = CountingTransport()
        connection.makeConnection(transport)
        response = connection.send(REQUEST, lambda head: False)
        head = collect(response.read_head())
        connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n")
        assert feed_until_closed(connection, transport, CHUNK) < SENT_BYTES
        assert head[0].check(ResponseLostError)


class TestEndlessCaller:
    """A caller's endless bytes must not fill the memory either."""

    LIMITS = CallerLimits(max_header_bytes=8_192, max_body_bytes=100_000)

    def connect(self):
        self.received = []
        self.now = 0.0
        factory = ServerFactory(
            lambda request, responder: self.received.append(responder),
            self.LIMITS,
            lambda: self.now,
        )
        connection = factory.buildProtocol(None)
        transport = ClosableTransport()
        connection.makeConnection(transport)
        return factory, connection, transport

    def feed(self, connection, transport, chunk: bytes) -> int:
        fed = 0
        while not transport.aborted and not transport.disconnecting:
            connection.dataReceived(chunk)
            fed += len(chunk)
            assert fed < SENT_BYTES
        return fed

    @pytest.mark.parametrize(
        "start",
        [
            b"GET /",
            b"GET / HTTP/1.1\r\nX-A: ",
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4;",
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
        ],
        ids=["target", "header", "extension", "trailer"],
    )
    def test_line_without_end_is_refused(self, start: bytes) -> None:
        _, connection, transport = self.connect()
        connection.dataReceived(start)
        assert self.feed(connection, transport, CHUNK) <= 2 * len(CHUNK)
        assert self.received == []

    def test_body_without_end_is_refused(self) -> None:
        _, connection, transport = self.connect()
        connection.dataReceived(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        chunk = b"10000\r\n" + CHUNK + b"\r\n"
        assert self.feed(connection, transport, chunk) <= 3 * len(chunk)

    def test_bytes_behind_a_request_in_progress_are_bounded(self) -> None:
        _, connection, transport = self.connect()
        connection.dataReceived(CALL)
        assert self.feed(connection, transport, CHUNK) <= 4 * len(CHUNK)

    def test_pipelined_requests_within_the_limits_are_served(self) -> None:
        _, connection, transport = self.connect()
        connection.dataReceived(CALL * 20)
        while self.received:
            self.received.pop(0).reply(200)
        assert transport.value().count(b"HTTP/1.1 200") == 20

    def test_many_pipelined_requests_that_are_answered_at_once(self) -> None:
        """Each was handled within the one before it, until the stack was full."""
        clock = Clock()
        factory = ServerFactory(
            lambda request, responder: responder.reply(404), self.LIMITS, clock.seconds
        )
        connection = ServerConnection(factory, clock.callLater)
        transport = ClosableTransport()
        connection.makeConnection(transport)
        connection.dataReceived(CALL * 3_000)
        assert transport.value().count(b"HTTP/1.1 404") <= PARTS_PER_TURN
        clock.pump([0.0] * FREE_TURNS + [PAUSE_SECONDS] * 30)
        assert transport.value().count(b"HTTP/1.1 404") == 3_000

    def test_body_in_small_chunks_is_read_in_several_turns(self) -> None:
        clock = Clock()
        received: list = []
        factory = ServerFactory(
            lambda request, responder: received.append(request.body),
            self.LIMITS,
            clock.seconds,
        )
        connection = ServerConnection(factory, clock.callLater)
        connection.makeConnection(ClosableTransport())
        connection.dataReceived(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 9_000
            + b"0\r\n\r\n"
        )
        assert received == []
        clock.pump([0.0] * FREE_TURNS + [PAUSE_SECONDS] * 30)
        assert received == [b"x" * 9_000]

    def test_requests_behind_one_in_progress_follow_in_their_order(self) -> None:
        _, connection, transport = self.connect()
        connection.dataReceived(CALL)
        for number in range(50):
            for part in (b"GET /%d HT" % number, b"TP/1.1\r\nHost: x\r\n\r\n"):
                connection.dataReceived(part)
        for number in range(51):
            self.received.pop(0).reply(200, (), b"%d;" % number)
        assert transport.value().endswith(b"50;")
        assert not transport.aborted

    def test_refused_caller_that_reads_nothing_is_aborted(self) -> None:
        """A close that waits for pending writes would never end."""
        factory, connection, transport = self.connect()
        connection.dataReceived(b"\x16\x03 nothing\r\n\r\n")
        assert not transport.aborted
        self.now = 2 * self.LIMITS.header_timeout - 1
        factory.close_idle()
        assert not transport.aborted
        self.now += 2
        factory.close_idle()
        assert transport.aborted

    def test_stream_waits_for_a_caller_that_does_not_read(self) -> None:
        _, connection, transport = self.connect()
        connection.dataReceived(CALL)
        responder = self.received[0]
        responder.start(200, ())
        connection.pauseProducing()
        waiting = Deferred.fromCoroutine(responder.wait_writable())
        assert not waiting.called
        connection.resumeProducing()
        assert waiting.called
        responder.end()
        assert transport.producer is None
