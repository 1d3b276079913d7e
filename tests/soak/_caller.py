"""Callers of a soak, and the requests that they have completed."""

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
from wisteriagw.standins._backend_server_stand_in import EVENTS_PER_STREAM

DEADLINE_SECONDS = 4.0
REQUEST_KINDS = ("unsafe", "safe", "ask", "long")
PROMPT_HEADERS = (
    (b"x-wisteriagw-model", b"m"),
    (b"x-wisteriagw-token-count", b"17000,50"),
    (b"x-wisteriagw-prompt-prefix", b"aa:13300,bb:3700"),
)


class CompletedRequest(NamedTuple):
    """A completed request and its result.

    Attributes
    ----------
    status : int
        0 if no complete answer was received.
    violation : str
        Description of an incorrect answer; empty if the answer is correct.
    """

    request_id: str
    kind: str
    customer: str
    sent_at: float
    seconds: float
    status: int
    violation: str


class Callers:
    """Callers that send requests in turn to random VMs over kept-alive connections."""

    def __init__(self, reactor, fleet, count: int) -> None:
        self.completed: list[CompletedRequest] = []
        self.started = 0
        self.stopping = False
        self._reactor = reactor
        self._fleet = fleet
        self._pool = ConnectionPool(reactor)
        self._random = fleet.random
        for number in range(count):
            Deferred.fromCoroutine(self._run(number)).addErrback(self._record_failure)

    def _record_failure(self, failure) -> None:
        violation = f"caller failed: {failure.value!r}"
        self.completed.append(CompletedRequest("", "", "", 0.0, 0.0, 0, violation))

    async def _run(self, number: int) -> None:
        while not self.stopping:
            await deferLater(self._reactor, self._random.uniform(0.01, 0.08))
            kind = self._random.choice(REQUEST_KINDS)
            self.started += 1
            request_id = f"c{number}-{self.started}"
            await self._send(request_id, kind, self._random.choice(CUSTOMERS))

    async def _send(self, request_id: str, kind: str, customer: str) -> None:
        port = self._fleet.front_ports[
            self._random.choice(sorted(self._fleet.front_ports))
        ]
        body = b"body"
        headers = (
            (b"host", b"a.example"),
            (b"content-length", b"%d" % len(body)),
            (b"x-wisteriagw-request-id", request_id.encode()),
            (b"x-wisteriagw-deadline-ms", b"%d" % (DEADLINE_SECONDS * 1000)),
            (b"authorization", f"Token k-{customer}".encode()),
            *(PROMPT_HEADERS if kind in ("ask", "long") else ()),
        )
        request = HttpRequest(b"POST", f"/{kind}/x".encode(), headers, body)
        sent_at = self._reactor.seconds()
        call = Deferred.fromCoroutine(self._call(port, request, request_id, kind))
        call.addTimeout(DEADLINE_SECONDS + 2.0, self._reactor)
        try:
            status, violation = await call
        except (ConnectFailedError, ResponseLostError, TimeoutError):
            # A lost connection does not show whether the request ran.
            status, violation = 0, ""
        seconds = self._reactor.seconds() - sent_at
        self.completed.append(
            CompletedRequest(
                request_id, kind, customer, sent_at, seconds, status, violation
            )
        )

    async def _call(self, port, request, request_id, kind) -> tuple[int, str]:
        answer = await self._pool.send(("127.0.0.1", port), request, lambda head: True)
        try:
            head = await answer.read_head()
            body = await answer.read_body()
        finally:
            answer.abort()
        return head.status, check_answer(request_id, kind, head, body)


def check_answer(request_id: str, kind: str, head, body: bytes) -> str:
    """Return a description of an incorrect complete answer, or an empty string."""
    if head.status != 200:
        return ""
    if head.find_header(b"x-wisteriagw-server-stamp") != f"s-{request_id}".encode():
        return "the server stamp of a 200 answer is missing or of another request"
    expected = f"done {request_id}".encode()
    if kind in ("ask", "long"):
        expected = b"".join(
            f"id: {number}\ndata: {request_id}\n\n".encode()
            for number in range(1, EVENTS_PER_STREAM + 1)
        )
    if body != expected:
        return f"the body of a 200 answer is wrong: {body!r}"
    return ""
