"""Tests of plain service calls through an entry process."""

from __future__ import annotations

import json
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from tests.support import LoopbackFleet
from wisteriagw.http import write_error


class FaultyService(Resource):
    """Records its calls; aborts the connection or refuses, as ``fault`` says."""

    isLeaf = True

    def __init__(self, fault: str = "") -> None:
        super().__init__()
        self.fault = fault
        self.targets: list[bytes] = []

    def render(self, request: Any) -> Any:
        if self.fault == "refuse":
            write_error(request, 503, "overloaded", "full", not_run=True)
            return NOT_DONE_YET
        self.targets.append(request.uri)
        if self.fault == "cut":
            request.transport.abortConnection()
            return NOT_DONE_YET
        return b"answer"


class TestServiceCalls(TestCase):
    """Guards against duplicate runs, false refusals and forbidden retries."""

    def setUp(self) -> None:
        self.fleet = LoopbackFleet(self)

    @inlineCallbacks
    def call(self, services: dict, method: str, path: str, **headers: str) -> Any:
        if not self.fleet.contexts:
            for name, service in services.items():
                self.fleet.serve(name, service, "service")
            (self.address,) = self.fleet.start_entries(1)
        target = f"/v1/services/levy{path}"
        body = {"stall": 7} if method == "POST" else None
        response, recorder = yield self.fleet.open(
            self.address, method, target, body, **headers
        )
        yield recorder.finished
        return response.code, recorder.data

    @inlineCallbacks
    def test_idempotent_call_is_retried_with_its_query(self) -> Any:
        services = {"a": FaultyService("cut"), "b": FaultyService()}
        result = yield self.call(services, "GET", "/sheets/1?day=2")
        self.assertEqual(result, (200, b"answer"))
        self.assertEqual(services["b"].targets, [b"/sheets/1?day=2"])

    @inlineCallbacks
    def test_unknown_run_is_not_hidden_by_a_later_refusal(self) -> Any:
        services = {"a": FaultyService("cut"), "b": FaultyService("refuse")}
        status, body = yield self.call(services, "GET", "/sheets")
        self.assertEqual(len(services["a"].targets), 1)
        self.assertFalse(json.loads(body)["error"]["not_run"])

    @inlineCallbacks
    def test_call_that_may_not_repeat(self) -> Any:
        services = {"a": FaultyService("refuse"), "b": FaultyService("cut")}
        status, body = yield self.call(services, "POST", "/book")
        self.assertEqual(json.loads(body)["error"]["code"], "may_have_run")
        self.assertEqual(len(services["b"].targets), 1)

    @inlineCallbacks
    def test_keyed_call_runs_once_and_its_answer_is_kept(self) -> Any:
        services = {"a": FaultyService()}
        key = {"idempotency-key": "k1"}
        first = yield self.call(services, "POST", "/book", **key)
        yield deferLater(reactor, 0.15)
        second = yield self.call(services, "POST", "/book", **key)
        self.assertEqual((first, second), ((200, b"answer"), (200, b"answer")))
        self.assertEqual(len(services["a"].targets), 1)
        status, body = yield self.call(services, "POST", "/book?other=1", **key)
        error = json.loads(body)["error"]
        self.assertEqual((status, error["code"]), (409, "conflict"))

    @inlineCallbacks
    def test_keyed_call_with_the_log_down_is_refused(self) -> Any:
        services = {"a": FaultyService()}
        yield self.call(services, "GET", "/sheets")
        self.fleet.log.down = True
        key = {"idempotency-key": "k1"}
        status, body = yield self.call(services, "POST", "/book", **key)
        error = json.loads(body)["error"]
        self.assertEqual(
            (status, error["code"], error["not_run"]), (503, "log_unavailable", True)
        )
        self.assertEqual(len(services["a"].targets), 1)

    @inlineCallbacks
    def test_deadline_bounds_a_call(self) -> Any:
        class UnresponsiveService(FaultyService):
            def render(self, request: Any) -> Any:
                request.notifyFinish().addErrback(lambda _: None)
                return NOT_DONE_YET

        deadline = {"wisteriagw-deadline-ms": "150"}
        started = reactor.seconds()
        status, body = yield self.call(
            {"a": UnresponsiveService()}, "GET", "/sheets", **deadline
        )
        self.assertLess(reactor.seconds() - started, 2)
        self.assertFalse(json.loads(body)["error"]["not_run"])
