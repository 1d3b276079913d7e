"""Client connection that carries one request at a time."""

from __future__ import annotations

import re
from functools import singledispatch
from typing import TYPE_CHECKING, Any

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from wisteriagw.connections._read_pacer import ReadPacer, call_later
from wisteriagw.connections._response import Response
from wisteriagw.connections._response_head import ResponseHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from wisteriagw.connections._buffer_budget import BufferBudget
    from wisteriagw.connections._http_request import HttpRequest

KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
# Part of the idle timeout stated by the server after which a connection is no longer
# used: a request sent just before the server closes it would be lost.
IDLE_TIMEOUT_FRACTION = 0.6
# Used if the server states no idle timeout; common server defaults are 5 s and more.
DEFAULT_IDLE_SECONDS = 3.0
# Informational responses and responses to earlier requests before the own one. A server
# that sends them without end would keep the process busy.
MAX_OTHER_RESPONSES = 100
# Bytes of their bodies, which are dropped.
MAX_OTHER_BYTES = 8_388_608


class ClientConnection(Protocol):
    """Connection to a server, with its protocol state in h11.

    Parameters
    ----------
    release : callable
        ``release(connection)`` is called when it can take another request.
    on_close : callable
        ``on_close(connection)`` is called when it is closed.
    call_later : callable
        ``call_later(seconds, function)`` calls a function after some seconds.

    Attributes
    ----------
    last_head : ResponseHead or None
        Head of the last response, which a faulty server may send once more.
    """

    def __init__(
        self,
        release: Callable[[ClientConnection], None],
        on_close: Callable[[ClientConnection], None],
        call_later: Callable[[float, Callable[[], None]], Any] = call_later,
    ) -> None:
        self.last_head: ResponseHead | None = None
        self.idle_seconds = DEFAULT_IDLE_SECONDS
        self.response: Response | None = None
        self.skipping = False
        self.closed = False
        self._release = release
        self._on_close = on_close
        self._http = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._other_responses = 0
        self._other_bytes = 0
        self._pacer = ReadPacer(self._resume_parsing, call_later)
        self._reading = True
        self._wanted = True
        # Parts of the body that are handed over at the end of the turn.
        self._parts: list[bytes] = []

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm and enable TCP keep-alive."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(1)

    def send(
        self,
        request: HttpRequest,
        accepts: Callable[[ResponseHead], bool],
        budget: BufferBudget | None = None,
    ) -> Response:
        """Send a request and return its response, whose body the budget counts."""
        self._other_responses = self._other_bytes = 0
        self.response = Response(accepts, self.close, self._set_reading, budget)
        self._request = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        self.transport.write(self._encode(request.body))
        return self.response

    def close(self) -> None:
        """Abort the connection without waiting for pending writes."""
        if not self.closed:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Handle data from the server."""
        if self.response is None:
            # Data that belongs to no request is a protocol error.
            self.close()
            return
        self._http.receive_data(data)
        if not self._pacer.waiting:
            self._parse()

    def connectionLost(self, reason: Failure) -> None:
        """End the response, which is complete if a clean close delimits its body."""
        self.closed = True
        if self.response is not None:
            if reason.check(ConnectionDone):
                self._http.receive_data(b"")
            # What waits for a later turn was received before the loss.
            self._parse()
        if self.response is not None:
            response, self.response = self.response, None
            response.handle_loss(f"connection lost: {reason.value}")
        self._on_close(self)

    def finish_response(self) -> None:
        """End the current response and release the connection if it can be reused."""
        if self.skipping:
            self._restart_parser()
            return
        self.flush_parts()
        response, self.response = self.response, None
        trailing, _ = self._http.trailing_data
        reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not trailing
            and not self.closed
            and not response.abandoned
        )
        if reusable:
            self._http.start_next_cycle()
        else:
            self.close()
        response.handle_end()
        if reusable:
            self._release(self)

    def add_part(self, data: bytes) -> None:
        """Add a part of the current response's body."""
        if not self.closed:
            self._pacer.count_part()
        if not self.skipping:
            self._parts.append(data)
            return
        self._other_bytes += len(data)
        if self._other_bytes > MAX_OTHER_BYTES:
            raise h11.RemoteProtocolError("too long a response before the own one")

    def flush_parts(self) -> None:
        """Hand over the parts of the body, so that their reader wakes up once."""
        if not self._parts:
            return
        parts, self._parts = self._parts, []
        if self.response is not None:
            self.response.handle_part(b"".join(parts), len(parts))

    def count_other_response(self) -> None:
        """Count a response that is not the own one; fails if there are too many."""
        self._other_responses += 1
        if self._other_responses > MAX_OTHER_RESPONSES:
            raise h11.RemoteProtocolError("too many responses before the own one")

    def apply_keep_alive(self, head: ResponseHead) -> None:
        """Derive the idle time from the ``Keep-Alive`` header of a response."""
        value = head.find_header(b"keep-alive")
        found = KEEP_ALIVE_TIMEOUT.search(value) if value else None
        if found:
            self.idle_seconds = int(found[1]) * IDLE_TIMEOUT_FRACTION

    def _set_reading(self, reading: bool) -> None:
        self._wanted = reading
        self._update_reading()

    def _update_reading(self) -> None:
        reading = self._wanted and not self._pacer.waiting
        if self.closed or reading is self._reading:
            return
        self._reading = reading
        if reading:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def _resume_parsing(self) -> None:
        if not self.closed and self.response is not None:
            self._parse()
        self._update_reading()

    def _encode(self, body: bytes) -> bytes:
        data = self._http.send(self._request)
        if body:
            data += self._http.send(h11.Data(data=body))
        return data + self._http.send(h11.EndOfMessage())

    def _parse(self) -> None:
        self._pacer.start_turn()
        try:
            while self.response is not None and not self.response.abandoned:
                if self._pacer.waiting and not self.closed:
                    break
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                handle_event(event, self)
            self.flush_parts()
            self._update_reading()
        except h11.RemoteProtocolError as error:
            self.flush_parts()
            response, self.response = self.response, None
            self.close()
            if response is not None:
                response.handle_loss(f"invalid HTTP response: {error}")

    def _restart_parser(self) -> None:
        """Expect another response: the one just ended belongs to an earlier request."""
        self.skipping = False
        trailing, _ = self._http.trailing_data
        reusable = self._http.their_state is h11.DONE
        self._http = h11.Connection(h11.CLIENT)
        if not reusable or self._request is None:
            response, self.response = self.response, None
            self.close()
            response.handle_loss(
                "the connection ended after a response to another request"
            )
            return
        # The request has already been sent; only its protocol state is rebuilt.
        headers = [pair for pair in self._request.headers if pair[0] == b"host"]
        self._http.send(
            h11.Request(
                method=self._request.method,
                target=self._request.target,
                headers=headers,
            )
        )
        self._http.send(h11.EndOfMessage())
        if trailing:
            # No data would mean the end of the connection to h11.
            self._http.receive_data(trailing)


@singledispatch
def handle_event(event: Any, connection: ClientConnection) -> None:
    """Apply an h11 event to a connection."""


@handle_event.register(h11.InformationalResponse)
def _(event: h11.InformationalResponse, connection: ClientConnection) -> None:
    connection.count_other_response()


@handle_event.register(h11.Response)
def _(event: h11.Response, connection: ClientConnection) -> None:
    head = ResponseHead(event.status_code, tuple(event.headers))
    connection.last_head = head
    if not connection.response.accepts(head):
        connection.skipping = True
        connection.count_other_response()
        return
    connection.apply_keep_alive(head)
    connection.response.handle_head(head)


@handle_event.register(h11.Data)
def _(event: h11.Data, connection: ClientConnection) -> None:
    connection.add_part(bytes(event.data))


@handle_event.register(h11.EndOfMessage)
def _(event: h11.EndOfMessage, connection: ClientConnection) -> None:
    connection.finish_response()


@handle_event.register(h11.ConnectionClosed)
def _(event: h11.ConnectionClosed, connection: ClientConnection) -> None:
    response, connection.response = connection.response, None
    connection.close()
    response.handle_loss("connection closed before the response")
