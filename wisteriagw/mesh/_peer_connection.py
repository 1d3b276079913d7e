"""Outgoing connection to one peer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.protocol import Factory
from websockets.client import ClientProtocol
from websockets.uri import parse_uri

from wisteriagw.mesh._backoff import compute_backoff
from wisteriagw.mesh._frame_protocol import MAX_FRAME_BYTES, FrameProtocol

if TYPE_CHECKING:
    import random

    from wisteriagw.mesh._peer_address import PeerAddress

CONNECT_TIMEOUT_SECONDS = 2.0


class PeerConnection:
    """Keeps a connection to a peer open; it carries messages to the peer only."""

    def __init__(
        self,
        reactor: Any,
        vm: str,
        address: PeerAddress,
        random_source: random.Random,
        transport: Any,
    ) -> None:
        self.address = address
        self._reactor = reactor
        self._vm = vm
        self._random = random_source
        self._transport = transport
        self._attempts = 0
        self._protocol: FrameProtocol | None = None
        self._retry_call: Any = None
        self._stopped = False

    def start(self) -> None:
        """Connect, and reconnect after each loss."""
        self._retry_call = None
        host, port = self.address.host, self.address.port
        endpoint_type = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = endpoint_type(
            self._reactor, host, port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        endpoint = self._transport.wrap_endpoint(endpoint)
        connecting = endpoint.connect(Factory.forProtocol(self._build_protocol))
        connecting.addCallbacks(
            self._handle_connected, lambda _: self._schedule_retry()
        )

    def stop(self) -> None:
        """Close the connection and do not reconnect."""
        self._stopped = True
        if self._retry_call is not None:
            self._retry_call.cancel()
            self._retry_call = None
        if self._protocol is not None:
            self._protocol.close()

    def send(self, data: bytes) -> bool:
        """Send a frame; False if it was dropped."""
        return self._protocol is not None and self._protocol.send_frame(data)

    def _build_protocol(self) -> FrameProtocol:
        host, port = self.address.host, self.address.port
        host_part = f"[{host}]" if ":" in host else host
        uri = parse_uri(f"ws://{host_part}:{port}/mesh/{self._vm}")
        websocket = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
        return FrameProtocol(
            websocket,
            self._reset_backoff,
            _ignore_frame,
            _ignore_invalid_frame,
            self._handle_connection_lost,
        )

    def _handle_connected(self, protocol: FrameProtocol) -> None:
        self._protocol = protocol
        if self._stopped:
            protocol.close()

    def _reset_backoff(self, path: str) -> None:
        self._attempts = 0

    def _handle_connection_lost(self) -> None:
        self._protocol = None
        self._schedule_retry()

    def _schedule_retry(self) -> None:
        if self._stopped or self._retry_call is not None:
            return
        delay = compute_backoff(self._attempts, self._random.random())
        self._attempts += 1
        self._retry_call = self._reactor.callLater(delay, self.start)


def _ignore_frame(data: bytes) -> None:
    """Ignore a message: peers send on their own connection, not on this one."""


def _ignore_invalid_frame() -> None:
    """Ignore an invalid frame: peers send nothing on this connection."""
