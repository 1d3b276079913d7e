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

    As the producer of its transport it learns when the send buffer is full; until the
    buffer is empty again, frames are refused. The buffer holds at most 64 KiB and one
    frame.

    Parameters
    ----------
    websocket : ClientProtocol or ServerProtocol
        Protocol object of ``websockets``.
    on_open : callable
        ``on_open(path)`` is called once the handshake is done; the path is empty at
        the client.
    on_frame : callable
        ``on_frame(data)`` is called for each whole binary message.
    on_garbage : callable
        ``on_garbage()`` is called for each frame of another kind.
    on_close : callable
        ``on_close()`` is called when the connection is lost.
    """

    def __init__(
        self,
        websocket: Any,
        on_open: Callable[[str], None],
        on_frame: Callable[[bytes], None],
        on_garbage: Callable[[], None],
        on_close: Callable[[], None],
    ) -> None:
        self._websocket = websocket
        self._on_open = on_open
        self._on_frame = on_frame
        self._on_garbage = on_garbage
        self._on_close = on_close
        self._full = False
        self._open = False

    def connectionMade(self) -> None:
        """Start the handshake at the client."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if hasattr(self._websocket, "connect"):
            self._websocket.send_request(self._websocket.connect())
            self._flush()

    def dataReceived(self, data: bytes) -> None:
        """Pass the data through the protocol object and handle its events."""
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            handle_event(event, self)
        self._flush()
        if self._websocket.close_expected():
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:
        """Report the end of the connection."""
        if not self._open:
            # Names a refused certificate, which looks like a peer that is down.
            logger.warning("mesh connection was not opened: %s", reason.value)
        self._open = False
        self._on_close()

    def send_frame(self, data: bytes) -> bool:
        """Send a binary message; False if it was dropped."""
        if not self._open or self._full or len(data) > MAX_FRAME_BYTES:
            return False
        try:
            self._websocket.send_binary(data)
        except InvalidState:
            return False
        self._flush()
        return True

    def close(self) -> None:
        """Drop the connection without waiting for the peer."""
        if self.transport is not None:
            self.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Refuse frames: the send buffer is full."""
        self._full = True

    def resumeProducing(self) -> None:
        """Take frames again: the send buffer is empty."""
        self._full = False

    def stopProducing(self) -> None:
        """Refuse frames: the connection is lost."""
        self._full = True

    def accept_peer(self, request: Request) -> None:
        """Answer the handshake of a client."""
        self._websocket.send_response(self._websocket.accept(request))
        self.finish_handshake(request.path)

    def finish_handshake(self, path: str) -> None:
        """Take frames from now on, if the handshake succeeded."""
        if self._websocket.state is not State.OPEN:
            logger.warning("mesh handshake failed: %s", self._websocket.handshake_exc)
            self.transport.loseConnection()
            return
        self._open = True
        self._on_open(path)

    def receive_frame(self, frame: Frame) -> None:
        """Pass on a whole binary message; other data frames are garbage."""
        if frame.opcode in CONTROL_OPCODES:
            return
        if frame.opcode is Opcode.BINARY and frame.fin:
            self._on_frame(bytes(frame.data))
            return
        self._on_garbage()

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
