"""HTTP client whose results are tagged outcomes."""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool
from twisted.web.http_headers import Headers

from wisteriagw.http._attempt_endpoints import AttemptEndpoints
from wisteriagw.http._attempt_progress import AttemptProgress
from wisteriagw.http._body_collector import BodyCollector
from wisteriagw.http._refusal import read_refusal
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun
from wisteriagw.transport import PlainTransport

if TYPE_CHECKING:
    from collections.abc import Generator, Mapping

    from twisted.internet.defer import Deferred

    from wisteriagw.outcomes import Outcome

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 64


class HttpClient:
    """Sends requests and classifies their outcomes."""

    def __init__(
        self,
        reactor: Any,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        transport: Any = None,
    ) -> None:
        self.reactor = reactor
        self._connect_timeout = connect_timeout
        self._transport = transport or PlainTransport()
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        # The pool would retry a request after a lost connection, even one that ran.
        self._pool.retryAutomatically = False

    def open(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[Deferred[Any], AttemptProgress]:
        """Send a request; returns a deferred response and the attempt's progress."""
        progress = AttemptProgress()
        agent = Agent.usingEndpointFactory(
            self.reactor,
            AttemptEndpoints(
                self.reactor, progress, self._connect_timeout, self._transport
            ),
            pool=self._pool,
        )
        host, port = address
        host_part = f"[{host}]" if ":" in host else host
        producer = FileBodyProducer(BytesIO(body)) if body is not None else None
        response = agent.request(
            method.encode("ascii"),
            f"http://{host_part}:{port}{path}".encode("ascii"),
            Headers({name: [value] for name, value in (headers or {}).items()}),
            producer,
        )
        return response, progress

    @inlineCallbacks
    def send(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout: float = 30.0,
    ) -> Generator[Deferred[Any], Any, Outcome]:
        """Send a request and return its outcome; never fails."""
        try:
            opening, progress = self.open(address, method, path, body, headers)
        except Exception as error:
            # The request could not be built, for example because its path is not ASCII.
            return FailedNotRun(f"{type(error).__name__}: {error}")
        opening.addTimeout(timeout, self.reactor)
        try:
            response = yield opening
            collector = BodyCollector(MAX_RESPONSE_BYTES)
            response.deliverBody(collector)
            collector.finished.addTimeout(timeout, self.reactor)
            content = yield collector.finished
        except Exception as error:
            return classify_failure(error, progress)
        content_type = response.headers.getRawHeaders(b"content-type", [b""])[0]
        refusal = read_refusal(response.code, content)
        if refusal is not None:
            return refusal
        return Done(response.code, content, content_type.decode("latin-1"))

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()


def classify_failure(
    error: BaseException, progress: AttemptProgress
) -> FailedNotRun | MayHaveRun:
    """Return the outcome of a failed attempt from its progress.

    The type of the error is not used: the same error occurs before and after the first
    byte of the request was handed to the transport.
    """
    reason = f"{type(error).__name__}: {error}"
    if progress.may_have_been_sent:
        return MayHaveRun(reason)
    return FailedNotRun(reason)
