"""Connection to a server that carries one request at a time."""

from __future__ import annotations

import re
from functools import singledispatch
from typing import TYPE_CHECKING, Any

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from wisteriagw.connections._answer import Answer
from wisteriagw.connections._answer_head import AnswerHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from wisteriagw.connections._http_request import HttpRequest

KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
# A server closes an idle connection at the time that it states; a request sent just
# before would be lost.
IDLE_PART = 0.6
# Idle time where the server states none; the shortest usual default of servers is 5 s.
DEFAULT_IDLE_SECONDS = 3.0


class ClientConnection(Protocol):
    """One connection, with its protocol state in h11.

    Parameters
    ----------
    release : callable
        ``release(connection)`` is called when it can take another request.
    lose : callable
        ``lose(connection)`` is called when it is closed.
    """

    def __init__(
        self,
        release: Callable[[ClientConnection], None],
        lose: Callable[[ClientConnection], None],
    ) -> None:
        self.idle_seconds = DEFAULT_IDLE_SECONDS
        self.answer: Answer | None = None
        self.skipping = False
        self.closed = False
        self._release = release
        self._lose = lose
        self._http = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None

    def connectionMade(self) -> None:
        """Send small writes at once."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(1)

    def send(
        self, request: HttpRequest, accepts: Callable[[AnswerHead], bool]
    ) -> Answer:
        """Send a request and return its answer."""
        self.answer = Answer(accepts, self.close)
        self._request = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        self.transport.write(self._encode(request.body))
        return self.answer

    def close(self) -> None:
        """Drop the connection at once."""
        if not self.closed:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Handle what the server sent."""
        if self.answer is None:
            # Bytes that belong to no request.
            self.close()
            return
        self._receive(data)

    def connectionLost(self, reason: Failure) -> None:
        """End the answer: whole if it has no length and the server closed in order."""
        self.closed = True
        if self.answer is not None and reason.check(ConnectionDone):
            self._receive(b"")
        if self.answer is not None:
            answer, self.answer = self.answer, None
            answer.take_loss(f"connection lost: {reason.value}")
        self._lose(self)

    def finish_answer(self) -> None:
        """End the current answer and offer the connection for another request."""
        if self.skipping:
            self._expect_again()
            return
        answer, self.answer = self.answer, None
        trailing, _ = self._http.trailing_data
        reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not trailing
            and not self.closed
        )
        if reusable:
            self._http.start_next_cycle()
        else:
            self.close()
        answer.take_end()
        if reusable:
            self._release(self)

    def note_keep_alive(self, head: AnswerHead) -> None:
        """Take the idle time that the server states."""
        value = head.find_header(b"keep-alive")
        found = KEEP_ALIVE_TIMEOUT.search(value) if value else None
        if found:
            self.idle_seconds = int(found[1]) * IDLE_PART

    def _encode(self, body: bytes) -> bytes:
        data = self._http.send(self._request)
        if body:
            data += self._http.send(h11.Data(data=body))
        return data + self._http.send(h11.EndOfMessage())

    def _receive(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while self.answer is not None:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                handle_event(event, self)
        except h11.RemoteProtocolError as error:
            answer, self.answer = self.answer, None
            self.close()
            if answer is not None:
                answer.take_loss(f"not an answer: {error}")

    def _expect_again(self) -> None:
        """Read on: the answer that just ended belongs to an earlier request."""
        self.skipping = False
        trailing, _ = self._http.trailing_data
        reusable = self._http.their_state is h11.DONE
        self._http = h11.Connection(h11.CLIENT)
        if not reusable or self._request is None:
            answer, self.answer = self.answer, None
            self.close()
            answer.take_loss("the connection ended with an answer to another request")
            return
        # The request was sent already; only its protocol state is made again.
        headers = [pair for pair in self._request.headers if pair[0] == b"host"]
        self._http.send(
            h11.Request(
                method=self._request.method,
                target=self._request.target,
                headers=headers,
            )
        )
        self._http.send(h11.EndOfMessage())
        self._http.receive_data(trailing)


@singledispatch
def handle_event(event: Any, connection: ClientConnection) -> None:
    """Apply an event of h11 to a connection; informational answers are ignored."""


@handle_event.register(h11.Response)
def _(event: h11.Response, connection: ClientConnection) -> None:
    head = AnswerHead(event.status_code, tuple(event.headers))
    if not connection.answer.accepts(head):
        connection.skipping = True
        return
    connection.note_keep_alive(head)
    connection.answer.take_head(head)


@handle_event.register(h11.Data)
def _(event: h11.Data, connection: ClientConnection) -> None:
    if not connection.skipping:
        connection.answer.take_part(bytes(event.data))


@handle_event.register(h11.EndOfMessage)
def _(event: h11.EndOfMessage, connection: ClientConnection) -> None:
    connection.finish_answer()


@handle_event.register(h11.ConnectionClosed)
def _(event: h11.ConnectionClosed, connection: ClientConnection) -> None:
    answer, connection.answer = connection.answer, None
    connection.close()
    answer.take_loss("connection closed before the answer")
