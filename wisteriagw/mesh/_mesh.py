"""Mesh of one VM."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Factory
from websockets.server import ServerProtocol

from wisteriagw.findings import Finding
from wisteriagw.mesh._frame_protocol import MAX_FRAME_BYTES, FrameProtocol
from wisteriagw.mesh._mesh_counters import MeshCounters
from wisteriagw.mesh._peer_connection import PeerConnection
from wisteriagw.mesh._plain_transport import PlainTransport
from wisteriagw.messages import decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.mesh._peer_address import PeerAddress

logger = logging.getLogger(__name__)

PATH_PREFIX = "/mesh/"


class Mesh:
    """Sends messages to peers and dispatches received ones to their handlers.

    Each VM opens a connection to every peer and sends only on that one, so that
    duplicate connections between two VMs need no resolution. A message to a peer that
    is not connected, or too slow, is dropped and counted.
    """

    def __init__(self, reactor: Any, vm: str, transport: Any = None) -> None:
        self.counters = MeshCounters()
        self._reactor = reactor
        self._vm = vm
        self._transport = transport or PlainTransport()
        self._connections: dict[str, PeerConnection] = {}
        self._handlers: dict[type, list[Callable[[str, Any], None]]] = {}
        # Only for the jitter of reconnects; seeded by the operating system.
        self._random = random.Random()

    def listen(self, host: str, port: int) -> Any:
        """Accept connections from peers; returns the listening port."""
        factory = Factory.forProtocol(self._build_server_protocol)
        return self._transport.listen(self._reactor, (host, port), factory)

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Connect to exactly these peers."""
        wanted = {peer.vm: peer for peer in peers if peer.vm != self._vm}
        for vm, connection in list(self._connections.items()):
            if wanted.get(vm) != connection.address:
                connection.stop()
                del self._connections[vm]
        for vm, peer in wanted.items():
            if vm in self._connections:
                continue
            connection = PeerConnection(
                self._reactor, self._vm, peer, self._random, self._transport
            )
            self._connections[vm] = connection
            connection.start()

    def send(self, vm: str, message: Any) -> bool:
        """Send a message to a peer; False if it was dropped."""
        return self._send_data(vm, encode_message(message))

    def multicast(self, vms: Iterable[str], message: Any) -> None:
        """Send a message to several peers."""
        names = tuple(vms)
        if not names:
            return
        data = encode_message(message)
        for vm in names:
            self._send_data(vm, data)

    def subscribe(
        self, message_type: type, handler: Callable[[str, Any], None]
    ) -> None:
        """Call ``handler(sender, message)`` for each message of a type."""
        self._handlers.setdefault(message_type, []).append(handler)

    def close(self) -> None:
        """Close all outgoing connections."""
        self.set_peers(())

    def receive(self, sender: str, data: bytes) -> None:
        """Decode a frame and call the handlers; errors are logged and counted."""
        self.counters.received_messages += 1
        self.counters.received_bytes += len(data)
        message = decode_message(data, f"frame of {sender}")
        if isinstance(message, Finding):
            self._count_invalid_frame()
            logger.warning("dropped %s: %s", message.place, message.message)
            return
        for handler in self._handlers.get(type(message), ()):
            try:
                handler(sender, message)
            except Exception:
                # A peer of another version may send values that a handler rejects.
                self.counters.failed_handlers += 1
                logger.exception("cannot handle %s", type(message).__name__)

    def _send_data(self, vm: str, data: bytes) -> bool:
        connection = self._connections.get(vm)
        if connection is None or not connection.send(data):
            self.counters.dropped_messages += 1
            return False
        self.counters.sent_messages += 1
        self.counters.sent_bytes += len(data)
        return True

    def _build_server_protocol(self) -> FrameProtocol:
        sender = ""

        def set_sender(path: str) -> None:
            nonlocal sender
            sender = path.removeprefix(PATH_PREFIX)

        return FrameProtocol(
            ServerProtocol(max_size=MAX_FRAME_BYTES),
            set_sender,
            lambda data: self.receive(sender, data),
            self._count_invalid_frame,
            lambda: None,
        )

    def _count_invalid_frame(self) -> None:
        self.counters.invalid_frames += 1
