"""Fault-injecting proxy between a gateway and the platform stand-in."""

from __future__ import annotations

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol


class FaultyProxy:
    """Forwards connections; can reset or delay them, or drop data one or both ways."""

    def __init__(self, reactor, target: tuple[str, int]) -> None:
        self.reactor = reactor
        self.target = target
        self.mode = "pass"
        self.delay = 0.0
        self.connections: set[ProxyConnection] = set()
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: ProxyConnection(self, None)
        self.port = reactor.listenTCP(0, factory, interface="127.0.0.1")

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def passes(self, to_target: bool) -> bool:
        """Return whether data in a direction is forwarded."""
        return self.mode == "pass" or (self.mode == "one_way" and to_target)


class ProxyConnection(Protocol):
    """One side of a forwarded connection."""

    def __init__(self, proxy: FaultyProxy, other: ProxyConnection | None) -> None:
        self.proxy = proxy
        self.other = other
        self.to_target = other is None
        self.buffered: list[bytes] = []

    def connectionMade(self) -> None:
        """Connect the caller's side to the target."""
        self.proxy.connections.add(self)
        if not self.to_target:
            return
        host, port = self.proxy.target
        other = ProxyConnection(self.proxy, self)
        self.other = other
        endpoint = TCP4ClientEndpoint(self.proxy.reactor, host, port, timeout=1)
        connecting = connectProtocol(endpoint, other)
        connecting.addCallbacks(
            lambda _: self.flush(), lambda _: self.transport.abortConnection()
        )

    def dataReceived(self, data: bytes) -> None:
        """Forward data after the delay, or drop it."""
        if not self.proxy.passes(self.to_target):
            return
        self.proxy.reactor.callLater(self.proxy.delay, self.forward, data)

    def forward(self, data: bytes) -> None:
        """Write to the other side, or buffer until it is connected."""
        self.buffered.append(data)
        self.flush()

    def flush(self) -> None:
        """Write the buffered data if the other side is connected."""
        if self.other is not None and self.other.transport is not None:
            for data in self.buffered:
                self.other.transport.write(data)
            self.buffered.clear()

    def connectionLost(self, reason) -> None:
        """Close the other side too."""
        self.proxy.connections.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.abortConnection()
