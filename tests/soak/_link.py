"""Proxy between the gateways and the platform stand-in."""

from __future__ import annotations

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol


class Link:
    """Forwards connections; they can be silenced, reset, delayed or cut one way."""

    def __init__(self, reactor, target: tuple[str, int]) -> None:
        self.reactor = reactor
        self.target = target
        self.mode = "pass"
        self.delay = 0.0
        self.ends: set[End] = set()
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: End(self, None)
        self.port = reactor.listenTCP(0, factory, interface="127.0.0.1")

    def reset(self) -> None:
        """Reset all open connections."""
        for end in list(self.ends):
            end.transport.abortConnection()

    def passes(self, to_target: bool) -> bool:
        """Return whether bytes of a direction go through."""
        return self.mode == "pass" or (self.mode == "one_way" and to_target)


class End(Protocol):
    """One side of a forwarded connection."""

    def __init__(self, link: Link, other: End | None) -> None:
        self.link = link
        self.other = other
        self.to_target = other is None
        self.waiting: list[bytes] = []

    def connectionMade(self) -> None:
        """Connect the caller's side to the target."""
        self.link.ends.add(self)
        if not self.to_target:
            return
        host, port = self.link.target
        other = End(self.link, self)
        self.other = other
        endpoint = TCP4ClientEndpoint(self.link.reactor, host, port, timeout=1)
        connecting = connectProtocol(endpoint, other)
        connecting.addCallbacks(
            lambda _: self.flush(), lambda _: self.transport.abortConnection()
        )

    def dataReceived(self, data: bytes) -> None:
        """Pass data on after the delay, or drop it."""
        if not self.link.passes(self.to_target):
            return
        self.link.reactor.callLater(self.link.delay, self.forward, data)

    def forward(self, data: bytes) -> None:
        """Write to the other side, once it is there."""
        self.waiting.append(data)
        self.flush()

    def flush(self) -> None:
        """Write what waits."""
        if self.other is not None and self.other.transport is not None:
            for data in self.waiting:
                self.other.transport.write(data)
            self.waiting.clear()

    def connectionLost(self, reason) -> None:
        """Close the other side too."""
        self.link.ends.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.abortConnection()
