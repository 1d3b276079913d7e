"""Tests of the classification of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import Factory
from twisted.internet.task import deferLater
from twisted.internet.testing import MemoryReactorClock
from twisted.trial.unittest import TestCase

from tests.support import ScriptedPeer
from wisteriagw.http import HttpClient
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun, RefusedNotRun

if TYPE_CHECKING:
    from collections.abc import Callable

REFUSAL = b'{"error": {"code": "overloaded", "message": "full", "not_run": true}}'

# Behaviour of the peer once it has read a request, and the expected outcome.
ON_REQUEST = {
    "reset": (lambda peer, _: peer.transport.abortConnection(), MayHaveRun),
    "half-closed": (lambda peer, _: peer.transport.loseWriteConnection(), MayHaveRun),
    "cut body": (
        lambda peer, _: (peer.answer(200, b"abc", 9), peer.transport.loseConnection()),
        MayHaveRun,
    ),
    "cut refusal": (
        lambda peer, _: (
            peer.answer(503, REFUSAL, len(REFUSAL) + 1),
            peer.transport.loseConnection(),
        ),
        MayHaveRun,
    ),
    "not HTTP": (lambda peer, _: peer.transport.write(b"nonsense\r\n\r\n"), MayHaveRun),
    "never answers": (lambda peer, _: None, MayHaveRun),
    "trickles": (lambda peer, _: peer.answer(200, b"a", 9), MayHaveRun),
    "refusal": (lambda peer, _: peer.answer(503, REFUSAL), RefusedNotRun),
    "refusal 429": (
        lambda peer, _: peer.answer(429, b'{"not_run": true}'),
        RefusedNotRun,
    ),
    "503 without not_run": (lambda peer, _: peer.answer(503, b"{}"), Done),
    "503 with a text": (lambda peer, _: peer.answer(503, b'{"not_run": "true"}'), Done),
    "not_run in a 200": (lambda peer, _: peer.answer(200, REFUSAL), Done),
}


class TestAttemptOutcome(TestCase):
    """Guards against ``not_run`` for a request that may have reached a server."""

    def setUp(self) -> None:
        self.client = HttpClient(reactor)
        self.addCleanup(self.client.close)

    def listen(
        self,
        on_request: Callable[[Any, int], None] | None = None,
        on_connect: Callable[[Any], None] | None = None,
    ) -> tuple[str, int]:
        factory = Factory.forProtocol(lambda: ScriptedPeer(on_connect, on_request))
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return "127.0.0.1", port.getHost().port

    @inlineCallbacks
    def test_outcome_by_peer_behaviour(self) -> Any:
        for name, (on_request, expected) in ON_REQUEST.items():
            address = self.listen(on_request)
            outcome = yield self.client.send(address, "GET", "/", timeout=0.2)
            self.assertIsInstance(outcome, expected, name)

    @inlineCallbacks
    def test_reset_before_the_request_was_read(self) -> Any:
        address = self.listen(None, lambda peer: peer.transport.abortConnection())
        outcome = yield self.client.send(address, "GET", "/", timeout=1)
        self.assertIsInstance(outcome, MayHaveRun)

    @inlineCallbacks
    def test_refused_connection(self) -> Any:
        port = reactor.listenTCP(0, Factory(), interface="127.0.0.1")
        address = ("127.0.0.1", port.getHost().port)
        yield port.stopListening()
        outcome = yield self.client.send(address, "GET", "/", timeout=1)
        self.assertIsInstance(outcome, FailedNotRun)

    def test_connection_that_is_never_established(self) -> None:
        clock = MemoryReactorClock()
        sending = HttpClient(clock).send(("127.0.0.1", 1), "GET", "/", timeout=5)
        clock.advance(6)
        self.assertIsInstance(self.successResultOf(sending), FailedNotRun)

    @inlineCallbacks
    def test_pooled_connection_lost_at_the_second_request(self) -> Any:
        def act(peer: Any, number: int) -> None:
            if number == 1:
                peer.answer(200, b"first")
                return
            peer.transport.abortConnection()

        address = self.listen(act)
        first = yield self.client.send(address, "GET", "/", timeout=1)
        self.assertIsInstance(first, Done)
        second = yield self.client.send(address, "GET", "/", timeout=1)
        self.assertIsInstance(second, MayHaveRun)

    @inlineCallbacks
    def test_pooled_connection_closed_while_idle_is_replaced(self) -> Any:
        def act(peer: Any, number: int) -> None:
            peer.answer(200, b"answer")
            peer.transport.loseConnection()

        address = self.listen(act)
        for _ in range(2):
            outcome = yield self.client.send(address, "GET", "/", timeout=1)
            self.assertIsInstance(outcome, Done)
            yield deferLater(reactor, 0.05)
