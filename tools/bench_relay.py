"""Plain Twisted byte relay, the baseline of the entry process's benchmark."""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet import reactor
from twisted.protocols.portforward import ProxyFactory


def main(pairs: list[str]) -> None:
    """Relay each listening address to the address after it."""
    for listen, target in zip(pairs[::2], pairs[1::2], strict=True):
        host, _, port = listen.rpartition(":")
        target_host, _, target_port = target.rpartition(":")
        factory: Any = ProxyFactory(target_host, int(target_port))
        factory.noisy = False
        reactor.listenTCP(int(port), factory, interface=host)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
