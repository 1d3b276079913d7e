"""Tests of work that is cancelled while it connects."""

from __future__ import annotations

import pytest
from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.testing import MemoryReactorClock

from tests.support._gateway_fixture import GatewayFixture
from tests.test_connections import ClosableTransport
from wisteriagw.connections import CallClient, ConnectionPool, HttpRequest
from wisteriagw.gateway._authority_controller import AuthorityController
from wisteriagw.gateway._member import Member
from wisteriagw.gateway._members import Members
from wisteriagw.gateway._request_handler import RequestHandler
from wisteriagw.gateway._usage_counter import UsageCounter
from wisteriagw.gateway._usage_writer import UsageWriter
from wisteriagw.platform import EngineClient, StoreClient

ADDRESS = ("10.0.0.1", 80)
REQUEST = HttpRequest(b"GET", b"/", ((b"host", b"a"),))
# No connection is accepted or refused, as with a peer that has lost its power.
EXIT_SECONDS = 0.35


def collect(coroutine) -> tuple[Deferred, list]:
    """Start a coroutine; return its Deferred and a list that will hold its result."""
    results: list = []
    running = Deferred.fromCoroutine(coroutine)
    running.addBoth(results.append)
    return running, results


class TestConnectionPool:
    """A cancelled connect was taken for one that failed."""

    @pytest.mark.parametrize("call", ["send", "probe"])
    def test_cancelling_ends_the_caller(self, call: str) -> None:
        reactor = MemoryReactorClock()
        pool = ConnectionPool(reactor)
        arguments = (ADDRESS, REQUEST, None) if call == "send" else (ADDRESS,)
        running, results = collect(getattr(pool, call)(*arguments))
        running.cancel()
        assert results[0].check(CancelledError)
        assert reactor.connectors[0].stoppedConnecting


class TestRequestThatIsLeft:
    """A request whose caller had left while it connected went on to another server."""

    def start(self, route: str, prompt: str = "", prefill: bool = False):
        gateway = GatewayFixture()
        if prefill:
            gateway.add_server("prefill-1", "lm", 20, stage="prefill")
        self.reactor = MemoryReactorClock()
        pool = ConnectionPool(self.reactor)
        calls = CallClient(self.reactor, pool)
        gateway.context = gateway.context._replace(
            pool=pool, engines=EngineClient(calls)
        )
        gateway.handler = RequestHandler(gateway.context)
        responder = gateway.request(route, prompt=prompt)
        assert len(self.reactor.tcpClients) == 1
        return gateway, responder

    @pytest.mark.parametrize("reason", ["gone", "deadline", "shutdown"])
    @pytest.mark.parametrize(
        ("route", "prompt", "prefill"),
        [
            ("unsafe", "", False),
            ("safe", "", False),
            ("ask", "300,50", False),
            ("long", "17000,100", False),
            ("long", "17000,100", True),
            ("ask", "17000,100", True),
        ],
    )
    def test_no_other_server_is_tried(
        self, route: str, prompt: str, prefill: bool, reason: str
    ) -> None:
        gateway, responder = self.start(route, prompt, prefill)
        if reason == "gone":
            responder.on_disconnect()
        elif reason == "deadline":
            gateway.clock.advance(4.0)
        else:
            gateway.handler.end_requests()
        assert self.reactor.connectors[0].stoppedConnecting
        for _ in range(20):
            gateway.clock.advance(0.5)
            self.reactor.advance(0.5)
        assert len(self.reactor.tcpClients) == 1
        if reason != "gone":
            # Nothing was sent, so the refusal is true.
            assert responder.status == 503

    def test_check_of_a_silent_engine_ends_with_its_request(self) -> None:
        gateway, responder = self.start("long", "17000,100")
        protocol = self.reactor.tcpClients[0][2].buildProtocol(None)
        protocol.makeConnection(ClosableTransport())
        protocol.dataReceived(
            b"HTTP/1.1 200 OK\r\nX-Wisteriagw-Request-Id: r1\r\n"
            b"X-Wisteriagw-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"f\r\nid: 1\ndata: t\n\n\r\n"
        )
        gateway.clock.advance(2.5)
        assert responder.started and len(self.reactor.tcpClients) == 2
        responder.on_disconnect()
        gateway.clock.advance(2.0)
        assert self.reactor.connectors[1].stoppedConnecting
        assert len(self.reactor.tcpClients) == 2


class TestTaskThatIsStopped:
    """A cancelled task went on: a process did not end, a VM that had left returned."""

    def build_store(self) -> tuple[MemoryReactorClock, StoreClient]:
        self.reactor = MemoryReactorClock()
        calls = CallClient(self.reactor, ConnectionPool(self.reactor))
        return self.reactor, StoreClient(calls, ADDRESS)

    def count_attempts(self) -> int:
        return len(self.reactor.tcpClients)

    def test_writing_usage_ends_at_its_timeout(self) -> None:
        reactor, store = self.build_store()
        counter = UsageCounter(5.0, reactor.seconds)
        counter.count("t")
        writer = UsageWriter(reactor, store, counter, "vm-1", "a", 5.0, reactor.seconds)
        writing = Deferred.fromCoroutine(writer.write(counter.get_window() + 1))
        writing.addTimeout(EXIT_SECONDS, reactor)
        results: list = []
        writing.addBoth(results.append)
        reactor.advance(EXIT_SECONDS)
        assert results[0].check(TimeoutError)
        reactor.pump([0.5] * 20)
        assert self.count_attempts() == 1

    def test_vm_that_leaves_is_not_registered_again(self) -> None:
        reactor, store = self.build_store()
        own = Member("vm-1", "north", "10.0.0.1:80", "10.0.0.1", 81, "a")
        members = Members(reactor, store, own)
        members.follower.start = lambda: None
        members.register()
        members.leave()
        assert reactor.connectors[0].stoppedConnecting
        removal = reactor.tcpClients[1][2].buildProtocol(None)
        removal.makeConnection(ClosableTransport())
        removal.dataReceived(
            b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
            b'{"offset": 0, "end_offset": 1}'
        )
        reactor.pump([0.5] * 20)
        assert self.count_attempts() == 2

    def test_authority_is_not_claimed_after_its_stop(self) -> None:
        reactor, store = self.build_store()
        controller = AuthorityController(
            reactor, store, "vm-1", "a", 3.0, lambda: ["vm-1"], reactor.seconds
        )
        controller.start()
        assert self.count_attempts() == 1
        controller.stop()
        reactor.pump([0.5] * 20)
        assert self.count_attempts() == 1
