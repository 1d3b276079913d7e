"""TCP forwarder that a scenario kills to interrupt connections.

Usage: _tcp_link.py LISTEN_PORT TARGET_PORT, both on 127.0.0.1.
"""

from __future__ import annotations

import sys

from twisted.internet import reactor
from twisted.protocols.portforward import ProxyFactory


def main(listen_port: int, target_port: int) -> None:
    """Forward until the process is killed."""
    factory = ProxyFactory("127.0.0.1", target_port)
    reactor.listenTCP(listen_port, factory, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
