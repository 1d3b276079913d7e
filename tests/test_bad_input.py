"""Tests of requests that are not valid."""

from __future__ import annotations

import json
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase

from tests.support import LoopbackFleet
from wisteriagw.http import MAX_BODY_BYTES

CHAT = "POST /v1/chat/completions"
KEY = "Bearer key-market"
MESSAGES = b'"messages": [{"content": "x"}]'

# Request line, key, headers, body, and the expected status and code.
CASES = {
    "malformed JSON": (CHAT, KEY, "", b"{", 400, "invalid_request"),
    "bad UTF-8": (CHAT, KEY, "", b'{"model": "\xff"}', 400, "invalid_request"),
    "deep nesting": (CHAT, KEY, "", b"[" * 100_000, 400, "invalid_request"),
    "not an object": (CHAT, KEY, "", b"[1]", 400, "invalid_request"),
    "no messages": (CHAT, KEY, "", b'{"model": "ledger"}', 400, "invalid_request"),
    "lone surrogate": (
        CHAT,
        KEY,
        "",
        b'{"model": "ledger", "messages": [{"content": "\\ud800"}]}',
        400,
        "invalid_request",
    ),
    "unknown model": (
        CHAT,
        KEY,
        "",
        b'{"model": "x", ' + MESSAGES + b"}",
        404,
        "unknown_model",
    ),
    "model of a wrong type": (
        CHAT,
        KEY,
        "",
        b'{"model": [1], ' + MESSAGES + b"}",
        404,
        "unknown_model",
    ),
    "wrong key": (CHAT, "Bearer x", "", b"{}", 401, "invalid_key"),
    "key outside ASCII": (CHAT, "Bearer \xe9\xff", "", b"{}", 401, "invalid_key"),
    "no key": (CHAT, "Basic x", "", b"{}", 401, "invalid_key"),
    "bad deadline": (
        CHAT,
        KEY,
        "Wisteriagw-Deadline-Ms: -1\r\n",
        b'{"model": "ledger", ' + MESSAGES + b"}",
        400,
        "invalid_request",
    ),
    "large body": (CHAT, KEY, "", b" " * (MAX_BODY_BYTES + 1), 413, "body_too_large"),
    "dot segments": (
        "POST /v1/services/levy/sheets/../book",
        KEY,
        "",
        b"",
        400,
        "invalid_request",
    ),
    "encoded dots": (
        "POST /v1/services/levy/sheets/%2E%2e/book",
        KEY,
        "",
        b"",
        400,
        "invalid_request",
    ),
    "unknown service": ("GET /v1/services/x/y", KEY, "", b"", 404, "unknown_service"),
    "path beside a route": (
        "GET /v1/services/levy/sheetsx",
        KEY,
        "",
        b"",
        404,
        "unknown_service",
    ),
    "unknown path": ("GET /v1/nothing", KEY, "", b"", 404, "not_found"),
    "wrong method": ("GET /v1/chat/completions", KEY, "", b"", 405, "invalid_request"),
}


class RawCaller(Protocol):
    """Sends raw bytes and records the response until the connection is closed."""

    def __init__(self) -> None:
        self.data = b""
        self.closed: Deferred[bytes] = Deferred()

    def dataReceived(self, data: bytes) -> None:
        self.data += data

    def connectionLost(self, reason: Any) -> None:
        self.closed.callback(self.data)


class TestBadInput(TestCase):
    """Guards against hangs, tracebacks and false answers to invalid requests."""

    def setUp(self) -> None:
        self.fleet = LoopbackFleet(self)
        self.fleet.serve_engine("a")
        (self.address,) = self.fleet.start_entries(1)

    def connect(self) -> Deferred[RawCaller]:
        endpoint = TCP4ClientEndpoint(reactor, *self.address)
        return connectProtocol(endpoint, RawCaller())

    @inlineCallbacks
    def check_serving(self) -> Any:
        response, recorder = yield self.fleet.chat(self.address, 3)
        yield recorder.finished
        self.assertEqual(response.code, 200)

    @inlineCallbacks
    def test_invalid_requests(self) -> Any:
        for name, (line, key, headers, body, status, code) in CASES.items():
            caller = yield self.connect()
            head = f"{line} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            head += f"Authorization: {key}\r\n{headers}Content-Length: {len(body)}"
            caller.transport.write(head.encode("latin-1") + b"\r\n\r\n" + body)
            caller.closed.addTimeout(5, reactor)
            data = yield caller.closed
            self.assertEqual(int(data.split(b" ", 2)[1]), status, (name, data))
            found = json.loads(data[data.index(b"{") : data.rindex(b"}") + 1])["error"]
            self.assertEqual((found["code"], found["not_run"]), (code, True), name)
            self.assertNotIn(b"Traceback", data)
        yield self.check_serving()

    @inlineCallbacks
    def test_broken_connections_do_not_affect_other_callers(self) -> Any:
        starts = (
            b"GET / HTTP/1.1\r\n" + b"X: " + b"a" * 200_000,
            b"\x00\xff nonsense\r\n\r\n",
            b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{",
            b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        )
        for start in starts:
            caller = yield self.connect()
            caller.transport.write(start)
            caller.transport.loseWriteConnection()
            yield deferLater(reactor, 0.02)
        yield self.check_serving()

    @inlineCallbacks
    def test_models_of_the_sheet(self) -> Any:
        _, recorder = yield self.fleet.open(self.address, "GET", "/v1/models")
        yield recorder.finished
        models = json.loads(recorder.data)["data"]
        self.assertEqual([model["id"] for model in models], ["ledger"])
