"""Callers of a soak, and what they hold of their answers."""

from __future__ import annotations

from typing import NamedTuple

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.task import deferLater

from tests.soak._fleet import CUSTOMERS
from wisteriagw.connections import (
    ConnectFailedError,
    ConnectionPool,
    HttpRequest,
    ResponseLostError,
)
from wisteriagw.standins._worker_server import EVENTS

PATIENCE_SECONDS = 4.0
KINDS = ("unsafe", "safe", "ask", "long")
PROMPT = (
    (b"x-wisteriagw-model", b"m"),
    (b"x-wisteriagw-token-count", b"17000,50"),
    (b"x-wisteriagw-prompt-prefix", b"aa:13300,bb:3700"),
)


class Ended(NamedTuple):
    """A request that has ended.

    Attributes
    ----------
    status : int
        0 if there was no whole answer.
    fault : str
        What is wrong with the answer, empty if nothing is.
    """

    request_id: str
    kind: str
    customer: str
    sent_at: float
    seconds: float
    status: int
    fault: str


class Callers:
    """Send requests one after another, each on a random VM and kept connections."""

    def __init__(self, reactor, fleet, count: int) -> None:
        self.ended: list[Ended] = []
        self.started = 0
        self.stopping = False
        self._reactor = reactor
        self._fleet = fleet
        self._pool = ConnectionPool(reactor)
        self._random = fleet.random
        for number in range(count):
            Deferred.fromCoroutine(self._run(number)).addErrback(self._fail)

    def _fail(self, failure) -> None:
        fault = f"caller failed: {failure.value!r}"
        self.ended.append(Ended("", "", "", 0.0, 0.0, 0, fault))

    async def _run(self, number: int) -> None:
        while not self.stopping:
            await deferLater(self._reactor, self._random.uniform(0.01, 0.08))
            kind = self._random.choice(KINDS)
            self.started += 1
            request_id = f"c{number}-{self.started}"
            await self._send(request_id, kind, self._random.choice(CUSTOMERS))

    async def _send(self, request_id: str, kind: str, customer: str) -> None:
        port = self._fleet.fronts[self._random.choice(sorted(self._fleet.fronts))]
        body = b"body"
        headers = (
            (b"host", b"a.example"),
            (b"content-length", b"%d" % len(body)),
            (b"x-wisteriagw-request-id", request_id.encode()),
            (b"x-wisteriagw-deadline-ms", b"%d" % (PATIENCE_SECONDS * 1000)),
            (b"authorization", f"Token k-{customer}".encode()),
            *(PROMPT if kind in ("ask", "long") else ()),
        )
        request = HttpRequest(b"POST", f"/{kind}/x".encode(), headers, body)
        sent_at = self._reactor.seconds()
        call = Deferred.fromCoroutine(self._call(port, request, request_id, kind))
        call.addTimeout(PATIENCE_SECONDS + 2.0, self._reactor)
        try:
            status, fault = await call
        except (ConnectFailedError, ResponseLostError, TimeoutError):
            # The connection says nothing of the request.
            status, fault = 0, ""
        seconds = self._reactor.seconds() - sent_at
        self.ended.append(
            Ended(request_id, kind, customer, sent_at, seconds, status, fault)
        )

    async def _call(self, port, request, request_id, kind) -> tuple[int, str]:
        answer = await self._pool.send(("127.0.0.1", port), request, lambda head: True)
        try:
            head = await answer.read_head()
            body = await answer.read_body()
        finally:
            answer.abort()
        return head.status, judge_answer(request_id, kind, head, body)


def judge_answer(request_id: str, kind: str, head, body: bytes) -> str:
    """Return what is wrong with a whole answer."""
    if head.status != 200:
        return ""
    if head.find_header(b"x-wisteriagw-server-stamp") != f"s-{request_id}".encode():
        return "a success has the proof of another request, or none"
    expected = f"done {request_id}".encode()
    if kind in ("ask", "long"):
        expected = b"".join(
            f"id: {number}\ndata: {request_id}\n\n".encode()
            for number in range(1, EVENTS + 1)
        )
    if body != expected:
        return f"the body of a success is wrong: {body!r}"
    return ""
