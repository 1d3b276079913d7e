"""WebSocket connection of the mesh."""

from __future__ import annotations

import logging
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from websockets.exceptions import InvalidState
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from zope.interface import implementer

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

logger = logging.getLogger(__name__)

MAX_FRAME_BYTES = 1024 * 1024
CONTROL_OPCODES = (Opcode.CLOSE, Opcode.PING, Opcode.PONG)


@implementer(IPushProducer)
class FrameProtocol(Protocol):
    """Carries binary frames over one connection through a sans-I/O protocol object.

    As the producer of its transport it is notified when the send buffer is full; until
    the buffer is empty again, frames are dropped. The buffer holds at most 64 KiB and
    one frame.

    Parameters
    ----------
    websocket : ClientProtocol or ServerProtocol
        Protocol object of ``websockets``.
    on_open : callable
        ``on_open(path)`` is called after the handshake; the path is empty on the client
        side.
    on_frame : callable
        ``on_frame(data)`` is called for each complete binary message.
    on_invalid_frame : callable
        ``on_invalid_frame()`` is called for each frame of another kind.
    on_close : callable
        ``on_close()`` is called when the connection is lost.
    """

    def __init__(
        self,
        websocket: Any,
        on_open: Callable[[str], None],
        on_frame: Callable[[bytes], None],
        on_invalid_frame: Callable[[], None],
        on_close: Callable[[], None],
    ) -> None:
        self._websocket = websocket
        self._on_open = on_open
        self._on_frame = on_frame
        self._on_invalid_frame = on_invalid_frame
        self._on_close = on_close
        self._buffer_full = False
        self._open = False

    def connectionMade(self) -> None:
        """Start the handshake on the client side."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if hasattr(self._websocket, "connect"):
            self._websocket.send_request(self._websocket.connect())
            self._flush()

    def dataReceived(self, data: bytes) -> None:
        """Feed data to the protocol object and handle its events."""
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            handle_event(event, self)
        self._flush()
        if self._websocket.close_expected():
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:
        """Report the loss of the connection."""
        if not self._open:
            # Without the reason, a rejected certificate looks like a peer that is down.
            logger.warning("mesh connection failed to open: %s", reason.value)
        self._open = False
        self._on_close()

    def send_frame(self, data: bytes) -> bool:
        """Send a binary message; False if it was dropped."""
        if not self._open or self._buffer_full or len(data) > MAX_FRAME_BYTES:
            return False
        try:
            self._websocket.send_binary(data)
        except InvalidState:
            return False
        self._flush()
        return True

    def close(self) -> None:
        """Abort the connection without waiting for the peer."""
        if self.transport is not None:
            self.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Drop frames: the send buffer is full."""
        self._buffer_full = True

    def resumeProducing(self) -> None:
        """Accept frames again: the send buffer is empty."""
        self._buffer_full = False

    def stopProducing(self) -> None:
        """Drop frames: the connection is lost."""
        self._buffer_full = True

    def accept_peer(self, request: Request) -> None:
        """Accept the handshake of a client."""
        self._websocket.send_response(self._websocket.accept(request))
        self.finish_handshake(request.path)

    def finish_handshake(self, path: str) -> None:
        """Accept frames if the handshake succeeded, else close the connection."""
        if self._websocket.state is not State.OPEN:
            logger.warning("mesh handshake failed: %s", self._websocket.handshake_exc)
            self.transport.loseConnection()
            return
        self._open = True
        self._on_open(path)

    def receive_frame(self, frame: Frame) -> None:
        """Pass on a complete binary message; other data frames are invalid."""
        if frame.opcode in CONTROL_OPCODES:
            return
        if frame.opcode is Opcode.BINARY and frame.fin:
            self._on_frame(bytes(frame.data))
            return
        self._on_invalid_frame()

    def _flush(self) -> None:
        for data in self._websocket.data_to_send():
            if data:
                self.transport.write(data)
                continue
            self.transport.loseConnection()


@singledispatch
def handle_event(event: Any, connection: FrameProtocol) -> None:
    """Apply an event of the protocol object to its connection."""


@handle_event.register(Request)
def _(event: Request, connection: FrameProtocol) -> None:
    connection.accept_peer(event)


@handle_event.register(Response)
def _(event: Response, connection: FrameProtocol) -> None:
    connection.finish_handshake("")


@handle_event.register(Frame)
def _(event: Frame, connection: FrameProtocol) -> None:
    connection.receive_frame(event)
